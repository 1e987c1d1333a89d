/** Keep-alive connections that are dropped as soon as one of them goes silent. */
import {Agent, type AgentOptions} from 'node:http';
import type {Socket} from 'node:net';
import {platformTraffic} from './traffic.js';

/** Most sockets to one service. */
const MAX_SOCKETS = 32;

/** Most idle sockets that are kept for the next request. */
const MAX_IDLE_SOCKETS = 8;

/** An idle socket is closed after this time, in milliseconds. */
const IDLE_TIMEOUT_MS = 15_000;

/**
 * The pooled sockets to one service. Something between the two ends may lose
 * track of open connections, all of them at once and without a reset; a
 * request that timed out is therefore evidence against every idle socket.
 */
export class ConnectionPool {
  readonly agent: Agent;

  constructor(agent?: Agent) {
    this.agent =
      agent ??
      new CountedAgent({
        keepAlive: true,
        maxSockets: MAX_SOCKETS,
        maxFreeSockets: MAX_IDLE_SOCKETS,
        timeout: IDLE_TIMEOUT_MS,
        scheduling: 'lifo',
      });
  }

  /** Closes the sockets that carry no request, so that the next request opens a new one. */
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

/** Counts the traffic of its connections. */
class CountedAgent extends Agent {
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
