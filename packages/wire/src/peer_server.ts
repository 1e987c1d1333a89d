/** Answers the calls of peers. */
import {type Server, type Socket, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import * as z from 'zod';
import {
  type Clock,
  Failure,
  type Logger,
  describeError,
  isFailure,
} from '@galenavalve/shared';
import {type ByteCounter, Connection} from './connection.js';
import {
  type Message,
  type Notification,
  type Refusal,
  type Request,
  WIRE_VERSION,
} from './message.js';
import {type WireOptions, applyDefaultOptions} from './wire_options.js';

/** Runs a method for the instance `from`; its result goes back to it. */
export type PeerHandler<Body> = (body: Body, from: string) => Promise<unknown>;

/** What a server needs. */
export interface PeerServerSettings {
  host: string;
  /** 0 for any free port. */
  port: number;
  /** Name of this instance. */
  instance: string;
  logger: Logger;
  clock: Clock;
  options?: Partial<WireOptions>;
}

interface Method {
  schema: z.ZodType;
  handler: PeerHandler<never>;
}

/** Listens for peers and runs the registered methods. */
export class PeerServer implements ByteCounter {
  bytesSent = 0;
  bytesReceived = 0;
  private readonly options: WireOptions;
  private readonly methods = new Map<string, Method>();
  private readonly sessions = new Set<Session>();
  private readonly server: Server;

  constructor(private readonly settings: PeerServerSettings) {
    this.options = applyDefaultOptions(settings.options);
    this.server = createServer(socket => this.onSocket(socket));
  }

  /** Registers a method; its body is checked by `schema` first. */
  handle<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: PeerHandler<z.output<Schema>>,
  ): void {
    this.methods.set(method, {schema, handler});
  }

  /** Starts to listen; resolves to the port. */
  start(): Promise<{port: number}> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.settings.port, this.settings.host, () => {
        this.server.off('error', reject);
        this.server.on('error', error => this.onServerError(error));
        resolve({port: (this.server.address() as AddressInfo).port});
      });
    });
  }

  /** Stops to listen and drops all connections. */
  close(): Promise<void> {
    for (const session of this.sessions) {
      session.connection.close('this instance is stopping');
    }
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private onServerError(error: Error): void {
    this.settings.logger.error('peer-server-error', {problem: error.message});
  }

  private onSocket(socket: Socket): void {
    const session: Session = {from: undefined, requests: 0} as Session;
    session.connection = new Connection(
      socket,
      {
        onMessage: message => this.onMessage(session, message),
        onClose: problem => this.onClose(session, problem),
      },
      this,
      this.settings.clock,
      this.options,
    );
    this.sessions.add(session);
  }

  private onClose(session: Session, problem: string): void {
    this.sessions.delete(session);
    this.settings.logger.debug('peer-connection-closed', {
      peer: session.from,
      problem,
    });
  }

  private onMessage(session: Session, message: Message): void {
    if (message.type === 'hello') {
      this.onHello(session, message.version, message.from, message.to);
      return;
    }
    if (session.from === undefined) {
      session.connection.close('it did not say who it is');
      return;
    }
    if (message.type === 'request') {
      void this.onRequest(session, session.from, message);
    } else if (message.type === 'notification') {
      void this.onNotification(session.from, message);
    } else {
      session.connection.close(`it sent an unexpected ${message.type}`);
    }
  }

  private onHello(
    session: Session,
    version: number,
    from: string,
    to: string,
  ): void {
    session.from = from;
    session.connection.send({
      type: 'hello',
      version: WIRE_VERSION,
      from: this.settings.instance,
      to: from,
    });
    if (version !== WIRE_VERSION || to !== this.settings.instance) {
      session.connection.close('it looks for another instance or version');
    }
  }

  private async onRequest(
    session: Session,
    from: string,
    request: Request,
  ): Promise<void> {
    if (session.requests >= this.options.maxConcurrentRequests) {
      reply(session, toRefusal(request.id, new Failure('overloaded')));
      return;
    }
    const receivedAt = this.settings.clock.now();
    session.requests += 1;
    const answer = await this.answer(request, from);
    session.requests -= 1;
    if (this.settings.clock.now() - receivedAt <= request.timeoutMs) {
      reply(session, answer);
    }
  }

  private async answer(request: Request, from: string): Promise<Message> {
    try {
      const body = await this.run(request.method, request.body, from);
      return {type: 'response', id: request.id, body};
    } catch (error) {
      return toRefusal(request.id, error);
    }
  }

  private async onNotification(
    from: string,
    notification: Notification,
  ): Promise<void> {
    try {
      await this.run(notification.method, notification.body, from);
    } catch (error) {
      this.settings.logger.warn('peer-notification-failed', {
        peer: from,
        method: notification.method,
        problem: describeError(error),
      });
    }
  }

  private async run(
    method: string,
    body: unknown,
    from: string,
  ): Promise<unknown> {
    const found = this.methods.get(method);
    if (!found) {
      throw new Failure('not-found', {kind: 'peer method', id: method});
    }
    const parsed = found.schema.safeParse(body);
    if (!parsed.success) {
      throw new Failure('bad-request', {
        problem: z.prettifyError(parsed.error),
      });
    }
    return found.handler(parsed.data as never, from);
  }
}

interface Session {
  connection: Connection;
  /** Undefined until the client said who it is. */
  from: string | undefined;
  /** Requests that are being handled. */
  requests: number;
}

function reply(session: Session, message: Message): void {
  try {
    session.connection.send(message);
  } catch (error) {
    // An answer that is too long becomes a failure; a closed connection needs none.
    if (isFailure(error, 'frame-invalid') && message.type === 'response') {
      reply(session, toRefusal(message.id, error));
    }
  }
}

function toRefusal(id: number, error: unknown): Refusal {
  const failure = isFailure(error)
    ? error
    : new Failure('internal', {problem: describeError(error)});
  return {type: 'refusal', id, code: failure.code, details: failure.details};
}
