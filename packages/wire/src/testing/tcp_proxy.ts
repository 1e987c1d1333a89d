/** A TCP relay for tests, which can lose track of its connections. */
import {
  type AddressInfo,
  type Socket,
  createConnection,
  createServer,
} from 'node:net';

/**
 * What the relay does with bytes: passes them on, swallows them, or swallows
 * those of one direction.
 */
export type RelayMode = 'open' | 'silent' | 'cut-requests' | 'cut-answers';

interface RelayedConnection {
  near: Socket;
  far: Socket;
  mode: RelayMode;
}

/** Passes connections on to one port of the loopback interface. */
export class TcpProxy {
  private readonly server = createServer(socket => this.onSocket(socket));
  private readonly connections = new Set<RelayedConnection>();
  private mode: RelayMode = 'open';

  constructor(private readonly targetPort: number) {}

  /** Connections that were opened so far. */
  openedConnections = 0;
  /** Bytes that came from the near ends, and from the far ends. */
  bytesFromClients = 0;
  bytesFromServer = 0;

  /** Starts to listen; resolves to the port. */
  start(): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Sets the mode of present and future connections. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    for (const connection of this.connections) {
      connection.mode = mode;
    }
  }

  /** Makes the present connections silent for good; new ones work. */
  stallConnections(): void {
    for (const connection of this.connections) {
      connection.mode = 'silent';
    }
  }

  /** Sends bytes to the near end of every connection. */
  inject(bytes: Buffer): void {
    for (const {near} of this.connections) {
      near.write(bytes);
    }
  }

  /** Drops all connections and stops to listen. */
  close(): Promise<void> {
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private onSocket(near: Socket): void {
    this.openedConnections += 1;
    const far = createConnection(this.targetPort, '127.0.0.1');
    const connection: RelayedConnection = {near, far, mode: this.mode};
    this.connections.add(connection);
    near.on('data', data => {
      this.bytesFromClients += data.length;
      pass(connection, far, 'cut-requests', data);
    });
    far.on('data', data => {
      this.bytesFromServer += data.length;
      pass(connection, near, 'cut-answers', data);
    });
    for (const [end, other] of [
      [near, far],
      [far, near],
    ] as const) {
      end.on('error', () => undefined);
      end.on('close', () => {
        // A connection that the relay lost track of tells neither end.
        if (connection.mode === 'open') {
          other.destroy();
          this.connections.delete(connection);
        }
      });
    }
  }
}

function pass(
  connection: RelayedConnection,
  to: Socket,
  cutBy: RelayMode,
  data: string | Buffer,
): void {
  if (connection.mode === 'open') {
    to.write(data);
  } else if (connection.mode !== 'silent' && connection.mode !== cutBy) {
    to.write(data);
  }
}
