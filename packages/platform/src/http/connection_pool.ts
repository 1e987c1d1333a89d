/** Keep-alive connection pool that closes its idle sockets when a request times out. */
import {Agent, type AgentOptions} from 'node:http';
import type {Socket} from 'node:net';
import {platformTraffic} from './traffic.js';

/** Maximum number of sockets to one service. */
const MAX_SOCKETS = 32;

/** Maximum number of idle sockets that are kept for reuse. */
const MAX_IDLE_SOCKETS = 8;

/** Time after which an idle socket is closed. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * Pool of keep-alive sockets to one service. A middlebox can drop the state of
 * all open connections at once and without a reset, so after a request timed
 * out no idle socket can be trusted.
 */
export class ConnectionPool {
  /** Agent to pass to the HTTP client. */
  readonly agent: Agent;

  constructor(agent?: Agent) {
    this.agent =
      agent ??
      new TrafficCountingAgent({
        keepAlive: true,
        maxSockets: MAX_SOCKETS,
        maxFreeSockets: MAX_IDLE_SOCKETS,
        timeout: IDLE_TIMEOUT_MS,
        scheduling: 'lifo',
      });
  }

  /** Closes idle sockets, so that the next request opens a new one. */
  closeIdle(): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      for (const socket of [...(sockets ?? [])]) {
        socket.destroy();
      }
    }
  }

  /** Closes every socket. */
  close(): void {
    this.agent.destroy();
  }
}

/** Adds the sockets it opens to `platformTraffic`. */
class TrafficCountingAgent extends Agent {
  constructor(options: AgentOptions) {
    super(options);
  }

  override createConnection(
    ...args: Parameters<Agent['createConnection']>
  ): ReturnType<Agent['createConnection']> {
    const socket = super.createConnection(...args);
    platformTraffic.add(socket as Socket);
    return socket;
  }
}
