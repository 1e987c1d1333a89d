/** Connection from this instance to one peer, and the calls on it. */
import {createConnection} from 'node:net';
import {
  type Clock,
  type ErrorCode,
  Failure,
  type Instant,
  type Logger,
  type Milliseconds,
  type Random,
  ERROR_TEMPLATES,
  computeJitteredBackoff,
  describeError,
  isFailure,
} from '@galenavalve/shared';
import {type ByteCounter, Connection} from './connection.js';
import {type Message, type Refusal, WIRE_VERSION} from './message.js';
import type {WireOptions} from './wire_options.js';
import type {PeerAddress} from './peer_address.js';

/** Settings and dependencies of a client. */
export interface PeerClientSettings {
  /** Name of this instance. */
  instance: string;
  logger: Logger;
  clock: Clock;
  random: Random;
  options?: Partial<WireOptions>;
}

/** Counters over all links of a client. */
export interface LinkCounter extends ByteCounter {
  /** Responses that arrived after the timeout of their call, or that match no call. */
  lateResponses: number;
}

/** Call whose response has not arrived. */
interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (error: Failure) => void;
  /** Whether the peer may have received the request. */
  isSent: boolean;
}

/** Connection to one peer, reopened on demand, with its pending calls by correlation id. */
export class PeerLink {
  /** Time of the latest call or notification. */
  lastUsedAt: Instant;
  private connection: Connection | undefined;
  private pendingConnection: Promise<Connection> | undefined;
  private readonly pendingCalls = new Map<number, PendingCall>();
  private nextId = 1;
  private consecutiveFailures = 0;
  private retryAt: Instant = -Infinity;

  constructor(
    private readonly peer: PeerAddress,
    private readonly settings: PeerClientSettings,
    private readonly options: WireOptions,
    private readonly counter: LinkCounter,
  ) {
    this.lastUsedAt = settings.clock.now();
  }

  get isOpen(): boolean {
    return this.connection !== undefined;
  }

  /** Calls a method. Throws like `PeerClient.call`; the details of failures other than refusals hold `wasSent`. */
  async call(
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    const id = this.nextId++;
    const settled = new AbortController();
    const response = new Promise<unknown>((resolve, reject) => {
      this.pendingCalls.set(id, {resolve, reject, isSent: false});
    });
    void this.failAfterTimeout(id, timeoutMs, settled.signal);
    this.sendWhenOpen(id, {type: 'request', id, method, timeoutMs, body});
    try {
      return await response;
    } finally {
      settled.abort();
    }
  }

  /** Sends a notification. */
  notify(method: string, body: unknown): void {
    this.sendWhenOpen(undefined, {type: 'notification', method, body});
  }

  /** Closes the connection; pending calls fail. */
  close(problem: string): void {
    this.connection?.close(problem);
    this.rejectAll(problem);
  }

  private sendWhenOpen(id: number | undefined, message: Message): void {
    this.lastUsedAt = this.settings.clock.now();
    this.getConnection().then(
      connection => this.send(connection, id, message),
      error => this.reject(id, this.toFailure(error)),
    );
  }

  private send(
    connection: Connection,
    id: number | undefined,
    message: Message,
  ): void {
    // The call may have timed out while the connection was being opened.
    if (id !== undefined && !this.pendingCalls.has(id)) {
      return;
    }
    try {
      connection.send(message);
      const call = id === undefined ? undefined : this.pendingCalls.get(id);
      if (call) {
        call.isSent = true;
      }
    } catch (error) {
      this.reject(id, this.toFailure(error));
    }
  }

  /** Translates errors of the platform, such as for a port out of range. */
  private toFailure(error: unknown): Failure {
    return isFailure(error)
      ? error
      : this.createUnavailableFailure(describeError(error));
  }

  /** Rejects a call with `peer-timeout` unless it settles in time. */
  private async failAfterTimeout(
    id: number,
    timeoutMs: Milliseconds,
    settled: AbortSignal,
  ): Promise<void> {
    const {clock} = this.settings;
    const startedAt = clock.now();
    await clock.sleep(timeoutMs, settled);
    if (!this.pendingCalls.has(id)) {
      return;
    }
    const peer = this.peer.instance;
    this.reject(id, new Failure('peer-timeout', {peer, timeoutMs}));
    this.dropIfSilentSince(startedAt, timeoutMs);
  }

  /** Closes a connection that received nothing during a whole call: it may be dead without an error. */
  private dropIfSilentSince(startedAt: Instant, duration: Milliseconds): void {
    const {connection} = this;
    const isLongEnough = duration >= this.options.minSilentCallDuration;
    if (connection && isLongEnough && connection.lastReceivedAt < startedAt) {
      connection.close('nothing was received during a call that timed out');
    }
  }

  private reject(id: number | undefined, error: Failure): void {
    if (id === undefined) {
      return;
    }
    const call = this.pendingCalls.get(id);
    this.pendingCalls.delete(id);
    const details = {...error.details, wasSent: call?.isSent ?? true};
    call?.reject(new Failure(error.code, details, {cause: error}));
  }

  private rejectAll(problem: string): void {
    for (const id of [...this.pendingCalls.keys()]) {
      this.reject(id, this.createUnavailableFailure(problem));
    }
  }

  /** Returns the open connection, or opens one unless the backoff is running. */
  private async getConnection(): Promise<Connection> {
    if (this.connection) {
      return this.connection;
    }
    if (this.settings.clock.now() < this.retryAt) {
      throw this.createUnavailableFailure(
        'the last connection failed and the backoff has not ended',
      );
    }
    this.pendingConnection ??= this.connect().finally(() => {
      this.pendingConnection = undefined;
    });
    return this.pendingConnection;
  }

  /** Opens a connection and exchanges hello messages. */
  private connect(): Promise<Connection> {
    const {clock} = this.settings;
    return new Promise((resolve, reject) => {
      const handshakeDone = new AbortController();
      const socket = createConnection(this.peer.port, this.peer.host);
      const connection = new Connection(
        socket,
        {
          onMessage: message => {
            if (message.type !== 'hello') {
              this.onResponse(connection, message);
            } else if (this.isExpectedPeer(message.from, message.version)) {
              handshakeDone.abort();
              this.onOpen(connection);
              resolve(connection);
            } else {
              connection.close(
                `${message.from} responded, which is another instance or uses another protocol version`,
              );
            }
          },
          onClose: problem => {
            handshakeDone.abort();
            this.onClose(connection, problem);
            reject(this.createUnavailableFailure(problem));
          },
        },
        this.counter,
        clock,
        this.options,
      );
      const {instance: from} = this.settings;
      const to = this.peer.instance;
      connection.send({type: 'hello', version: WIRE_VERSION, from, to});
      void clock
        .sleep(this.options.connectTimeout, handshakeDone.signal)
        .then(() => {
          if (!handshakeDone.signal.aborted) {
            connection.close(
              'no hello message arrived within the connect timeout',
            );
          }
        });
    });
  }

  private isExpectedPeer(from: string, version: number): boolean {
    return from === this.peer.instance && version === WIRE_VERSION;
  }

  private onOpen(connection: Connection): void {
    this.connection = connection;
    this.consecutiveFailures = 0;
  }

  private onClose(connection: Connection, problem: string): void {
    if (this.connection === connection) {
      this.connection = undefined;
    }
    const {clock, logger} = this.settings;
    this.retryAt = clock.now() + this.chooseBackoff();
    this.consecutiveFailures += 1;
    logger.debug('peer-connection-closed', {peer: this.peer.instance, problem});
    this.rejectAll(problem);
  }

  /** Chooses the delay before the next attempt to connect. A connection that had worked is reopened without delay. */
  private chooseBackoff(): Milliseconds {
    const {backoffBase, backoffCap} = this.options;
    return this.consecutiveFailures === 0
      ? 0
      : computeJitteredBackoff(
          this.consecutiveFailures,
          backoffBase,
          backoffCap,
          this.settings.random,
        );
  }

  private onResponse(connection: Connection, message: Message): void {
    if (message.type !== 'response' && message.type !== 'refusal') {
      connection.close(`unexpected message of type ${message.type}`);
      return;
    }
    const call = this.pendingCalls.get(message.id);
    if (!call) {
      this.counter.lateResponses += 1;
      return;
    }
    this.pendingCalls.delete(message.id);
    if (message.type === 'response') {
      call.resolve(message.body);
    } else {
      call.reject(toFailure(message));
    }
  }

  private createUnavailableFailure(problem: string): Failure {
    return new Failure('peer-unavailable', {
      peer: this.peer.instance,
      problem,
    });
  }
}

/** Translates a refusal; unknown error codes become `internal`. */
function toFailure(refusal: Refusal): Failure {
  return refusal.code in ERROR_TEMPLATES
    ? new Failure(refusal.code as ErrorCode, refusal.details)
    : new Failure('internal', {
        problem: `the peer responded with the unknown error code ${refusal.code}`,
      });
}
