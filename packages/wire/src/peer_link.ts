/** The connection from this instance to one peer, and the calls on it. */
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
} from '@galenavalve/shared';
import {type ByteCounter, Connection} from './connection.js';
import {type Message, type Refusal, WIRE_VERSION} from './message.js';
import type {WireOptions} from './wire_options.js';
import type {PeerAddress} from './peer_address.js';

/** What a client needs. */
export interface PeerClientSettings {
  /** Name of this instance. */
  instance: string;
  logger: Logger;
  clock: Clock;
  random: Random;
  options?: Partial<WireOptions>;
}

/** Counts what happens on all links of a client. */
export interface LinkCounter extends ByteCounter {
  /** Answers that came after their deadline, or that nobody asked for. */
  lateResponses: number;
}

interface PendingCall {
  resolve: (body: unknown) => void;
  reject: (error: Failure) => void;
  /** Whether the peer may have seen it. */
  isSent: boolean;
}

/** The connection to one peer, with the calls that wait for its answers. */
export class PeerLink {
  lastUsedAt: Instant;
  private connection: Connection | undefined;
  private opening: Promise<Connection> | undefined;
  private readonly pending = new Map<number, PendingCall>();
  private nextId = 1;
  private failures = 0;
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

  async call(
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    const id = this.nextId++;
    const answered = new AbortController();
    const answer = new Promise<unknown>((resolve, reject) => {
      this.pending.set(id, {resolve, reject, isSent: false});
    });
    void this.expire(id, timeoutMs, answered.signal);
    this.sendWhenOpen(id, {type: 'request', id, method, timeoutMs, body});
    try {
      return await answer;
    } finally {
      answered.abort();
    }
  }

  notify(method: string, body: unknown): void {
    this.sendWhenOpen(undefined, {type: 'notification', method, body});
  }

  close(problem: string): void {
    this.connection?.close(problem);
    this.rejectAll(problem);
  }

  private sendWhenOpen(id: number | undefined, message: Message): void {
    this.lastUsedAt = this.settings.clock.now();
    this.open().then(
      connection => this.send(connection, id, message),
      error => this.reject(id, error as Failure),
    );
  }

  private send(
    connection: Connection,
    id: number | undefined,
    message: Message,
  ): void {
    // The deadline may have passed while the connection was being opened.
    if (id !== undefined && !this.pending.has(id)) {
      return;
    }
    try {
      connection.send(message);
      const call = id === undefined ? undefined : this.pending.get(id);
      if (call) {
        call.isSent = true;
      }
    } catch (error) {
      this.reject(id, error as Failure);
    }
  }

  private async expire(
    id: number,
    timeoutMs: Milliseconds,
    answered: AbortSignal,
  ): Promise<void> {
    const {clock} = this.settings;
    const startedAt = clock.now();
    await clock.sleep(timeoutMs, answered);
    if (!this.pending.has(id)) {
      return;
    }
    const peer = this.peer.instance;
    this.reject(id, new Failure('peer-timeout', {peer, timeoutMs}));
    this.dropIfSilentSince(startedAt, timeoutMs);
  }

  /** A connection that brought nothing during a whole call may have gone silent for good. */
  private dropIfSilentSince(startedAt: Instant, duration: Milliseconds): void {
    const {connection} = this;
    const isLongEnough = duration >= this.options.minSilentCallDuration;
    if (connection && isLongEnough && connection.lastReceivedAt < startedAt) {
      connection.close('it was silent during a call');
    }
  }

  private reject(id: number | undefined, error: Failure): void {
    if (id === undefined) {
      return;
    }
    const call = this.pending.get(id);
    this.pending.delete(id);
    const details = {...error.details, wasSent: call?.isSent ?? true};
    call?.reject(new Failure(error.code, details, {cause: error}));
  }

  private rejectAll(problem: string): void {
    for (const id of [...this.pending.keys()]) {
      this.reject(id, this.unavailable(problem));
    }
  }

  private async open(): Promise<Connection> {
    if (this.connection) {
      return this.connection;
    }
    if (this.settings.clock.now() < this.retryAt) {
      throw this.unavailable('it failed a moment ago');
    }
    this.opening ??= this.connect().finally(() => {
      this.opening = undefined;
    });
    return this.opening;
  }

  /** Opens a connection and greets the peer; resolves after its greeting. */
  private connect(): Promise<Connection> {
    const {clock} = this.settings;
    return new Promise((resolve, reject) => {
      const greeted = new AbortController();
      const socket = createConnection(this.peer.port, this.peer.host);
      const connection = new Connection(
        socket,
        {
          onMessage: message => {
            if (message.type !== 'hello') {
              this.onAnswer(connection, message);
            } else if (this.isExpected(message.from, message.version)) {
              greeted.abort();
              this.onOpen(connection);
              resolve(connection);
            } else {
              connection.close(`${message.from} is there instead`);
            }
          },
          onClose: problem => {
            greeted.abort();
            this.onClose(connection, problem);
            reject(this.unavailable(problem));
          },
        },
        this.counter,
        clock,
        this.options,
      );
      const {instance: from} = this.settings;
      const to = this.peer.instance;
      connection.send({type: 'hello', version: WIRE_VERSION, from, to});
      void clock.sleep(this.options.connectTimeout, greeted.signal).then(() => {
        if (!greeted.signal.aborted) {
          connection.close('it did not answer in time');
        }
      });
    });
  }

  private isExpected(from: string, version: number): boolean {
    return from === this.peer.instance && version === WIRE_VERSION;
  }

  private onOpen(connection: Connection): void {
    this.connection = connection;
    this.failures = 0;
  }

  private onClose(connection: Connection, problem: string): void {
    if (this.connection === connection) {
      this.connection = undefined;
    }
    const {clock, logger} = this.settings;
    this.retryAt = clock.now() + this.chooseBackoff();
    this.failures += 1;
    logger.debug('peer-connection-closed', {peer: this.peer.instance, problem});
    this.rejectAll(problem);
  }

  /** A connection that had worked is opened again at once. */
  private chooseBackoff(): Milliseconds {
    const {backoffBase, backoffCap} = this.options;
    return this.failures === 0
      ? 0
      : computeJitteredBackoff(
          this.failures,
          backoffBase,
          backoffCap,
          this.settings.random,
        );
  }

  private onAnswer(connection: Connection, message: Message): void {
    if (message.type !== 'response' && message.type !== 'refusal') {
      connection.close(`it sent an unexpected ${message.type}`);
      return;
    }
    const call = this.pending.get(message.id);
    if (!call) {
      this.counter.lateResponses += 1;
      return;
    }
    this.pending.delete(message.id);
    if (message.type === 'response') {
      call.resolve(message.body);
    } else {
      call.reject(toFailure(message));
    }
  }

  private unavailable(problem: string): Failure {
    return new Failure('peer-unavailable', {
      peer: this.peer.instance,
      problem,
    });
  }
}

function toFailure(refusal: Refusal): Failure {
  return refusal.code in ERROR_TEMPLATES
    ? new Failure(refusal.code as ErrorCode, refusal.details)
    : new Failure('internal', {problem: `the peer failed: ${refusal.code}`});
}
