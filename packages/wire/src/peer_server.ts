/** Server of the peer protocol. */
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

/** Handles a call of the instance `from`; the result is sent as the response. */
export type PeerHandler<Body> = (body: Body, from: string) => Promise<unknown>;

/** Settings and dependencies of a server. */
export interface PeerServerSettings {
  host: string;
  /** Port to listen at; 0 selects a free port. */
  port: number;
  /** Name of this instance. */
  instance: string;
  logger: Logger;
  clock: Clock;
  options?: Partial<WireOptions>;
}

/** Method with the schema of its body. */
interface RegisteredMethod {
  schema: z.ZodType;
  handler: PeerHandler<never>;
}

/** Accepts connections of peers and executes the registered methods. */
export class PeerServer implements ByteCounter {
  bytesSent = 0;
  bytesReceived = 0;
  private readonly options: WireOptions;
  private readonly methods = new Map<string, RegisteredMethod>();
  private readonly sessions = new Set<Session>();
  private readonly server: Server;

  constructor(private readonly settings: PeerServerSettings) {
    this.options = applyDefaultOptions(settings.options);
    this.server = createServer(socket => this.onSocket(socket));
  }

  /** Registers a method. Bodies are validated with `schema` first. */
  handle<Schema extends z.ZodType>(
    method: string,
    schema: Schema,
    handler: PeerHandler<z.output<Schema>>,
  ): void {
    this.methods.set(method, {schema, handler});
  }

  /** Starts listening; resolves to the port. */
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

  /** Stops listening and closes all connections. */
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
    const session: Session = {peer: undefined, activeRequests: 0} as Session;
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
      peer: session.peer,
      problem,
    });
  }

  private onMessage(session: Session, message: Message): void {
    if (message.type === 'hello') {
      this.onHello(session, message.version, message.from, message.to);
      return;
    }
    if (session.peer === undefined) {
      session.connection.close('the peer did not send a hello message first');
      return;
    }
    if (message.type === 'request') {
      void this.onRequest(session, session.peer, message);
    } else if (message.type === 'notification') {
      void this.onNotification(session.peer, message);
    } else {
      session.connection.close(`unexpected message of type ${message.type}`);
    }
  }

  private onHello(
    session: Session,
    version: number,
    from: string,
    to: string,
  ): void {
    session.peer = from;
    session.connection.send({
      type: 'hello',
      version: WIRE_VERSION,
      from: this.settings.instance,
      to: from,
    });
    if (version !== WIRE_VERSION || to !== this.settings.instance) {
      session.connection.close(
        'the peer expects another instance or protocol version',
      );
    }
  }

  private async onRequest(
    session: Session,
    from: string,
    request: Request,
  ): Promise<void> {
    if (session.activeRequests >= this.options.maxConcurrentRequests) {
      sendReply(session, toRefusal(request.id, new Failure('overloaded')));
      return;
    }
    const receivedAt = this.settings.clock.now();
    session.activeRequests += 1;
    const response = await this.executeRequest(request, from);
    session.activeRequests -= 1;
    if (this.settings.clock.now() - receivedAt <= request.timeoutMs) {
      sendReply(session, response);
    }
  }

  /** Executes a request; a failure becomes a refusal. */
  private async executeRequest(
    request: Request,
    from: string,
  ): Promise<Message> {
    try {
      const body = await this.invokeMethod(request.method, request.body, from);
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
      await this.invokeMethod(notification.method, notification.body, from);
    } catch (error) {
      this.settings.logger.warn('peer-notification-failed', {
        peer: from,
        method: notification.method,
        problem: describeError(error),
      });
    }
  }

  /** Validates the body and calls the handler. Throws `not-found` for an unknown method and `bad-request` for an invalid body. */
  private async invokeMethod(
    method: string,
    body: unknown,
    from: string,
  ): Promise<unknown> {
    const registered = this.methods.get(method);
    if (!registered) {
      throw new Failure('not-found', {kind: 'peer method', id: method});
    }
    const parsed = registered.schema.safeParse(body);
    if (!parsed.success) {
      throw new Failure('bad-request', {
        problem: z.prettifyError(parsed.error),
      });
    }
    return registered.handler(parsed.data as never, from);
  }
}

/** State of one accepted connection. */
interface Session {
  connection: Connection;
  /** Name of the peer; undefined until its hello message arrives. */
  peer: string | undefined;
  /** Number of requests in progress. */
  activeRequests: number;
}

/** Sends the response or refusal of a request. */
function sendReply(session: Session, message: Message): void {
  try {
    session.connection.send(message);
  } catch (error) {
    // A response above the maximum frame size is replaced by a refusal. On a closed connection there is nothing to send.
    if (isFailure(error, 'frame-invalid') && message.type === 'response') {
      sendReply(session, toRefusal(message.id, error));
    }
  }
}

/** Translates an error to a refusal; errors without a code become `internal`. */
function toRefusal(id: number, error: unknown): Refusal {
  const failure = isFailure(error)
    ? error
    : new Failure('internal', {problem: describeError(error)});
  return {type: 'refusal', id, code: failure.code, details: failure.details};
}
