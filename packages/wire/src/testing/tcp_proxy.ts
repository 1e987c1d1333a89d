/** TCP proxy for tests, which can stall or block its connections. */
import {
  type AddressInfo,
  type Socket,
  createConnection,
  createServer,
} from 'node:net';

/**
 * Handling of received bytes: forward them, discard all, or discard those of
 * one direction: `cut-requests` those from the client, `cut-answers` those from
 * the server.
 */
export type ProxyMode = 'open' | 'silent' | 'cut-requests' | 'cut-answers';

/** Sockets of one proxied connection. */
interface ProxiedConnection {
  clientSocket: Socket;
  serverSocket: Socket;
  mode: ProxyMode;
}

/** Forwards connections to one port of the loopback interface. */
export class TcpProxy {
  private readonly server = createServer(socket => this.onSocket(socket));
  private readonly connections = new Set<ProxiedConnection>();
  private mode: ProxyMode = 'open';

  constructor(private readonly targetPort: number) {}

  /** Number of connections opened so far. */
  openedConnections = 0;
  /** Numbers of bytes received from clients and from the server. */
  bytesFromClients = 0;
  bytesFromServer = 0;

  /** Starts listening; resolves to the port. */
  start(): Promise<number> {
    return new Promise(resolve => {
      this.server.listen(0, '127.0.0.1', () =>
        resolve((this.server.address() as AddressInfo).port),
      );
    });
  }

  /** Sets the mode of current and future connections. */
  setMode(mode: ProxyMode): void {
    this.mode = mode;
    for (const connection of this.connections) {
      connection.mode = mode;
    }
  }

  /** Discards all further bytes of the current connections; new connections work. */
  stallConnections(): void {
    for (const connection of this.connections) {
      connection.mode = 'silent';
    }
  }

  /** Sends bytes to the client of every connection. */
  inject(bytes: Buffer): void {
    for (const {clientSocket} of this.connections) {
      clientSocket.write(bytes);
    }
  }

  /** Closes all connections and stops listening. */
  close(): Promise<void> {
    for (const {clientSocket, serverSocket} of this.connections) {
      clientSocket.destroy();
      serverSocket.destroy();
    }
    return new Promise(resolve => this.server.close(() => resolve()));
  }

  private onSocket(clientSocket: Socket): void {
    this.openedConnections += 1;
    const serverSocket = createConnection(this.targetPort, '127.0.0.1');
    const connection: ProxiedConnection = {
      clientSocket,
      serverSocket,
      mode: this.mode,
    };
    this.connections.add(connection);
    clientSocket.on('data', data => {
      this.bytesFromClients += data.length;
      forward(connection, serverSocket, 'cut-requests', data);
    });
    serverSocket.on('data', data => {
      this.bytesFromServer += data.length;
      forward(connection, clientSocket, 'cut-answers', data);
    });
    for (const [end, other] of [
      [clientSocket, serverSocket],
      [serverSocket, clientSocket],
    ] as const) {
      end.on('error', () => undefined);
      end.on('close', () => {
        // A stalled or blocked connection does not report the close to the other side.
        if (connection.mode === 'open') {
          other.destroy();
          this.connections.delete(connection);
        }
      });
    }
  }
}

/**
 * Writes data to a socket unless the connection's mode discards it. `droppedBy`
 * is the mode that discards only data in the direction of `to`.
 */
function forward(
  connection: ProxiedConnection,
  to: Socket,
  droppedBy: ProxyMode,
  data: string | Buffer,
): void {
  if (connection.mode === 'open') {
    to.write(data);
  } else if (connection.mode !== 'silent' && connection.mode !== droppedBy) {
    to.write(data);
  }
}
