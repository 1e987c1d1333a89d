/** Counts the bytes exchanged with the platform's services. */
import type {Socket} from 'node:net';

/** Counts the bytes of all added sockets, open or closed. */
export class TrafficCounter {
  private readonly openSockets = new Set<Socket>();
  private closedSocketsBytesSent = 0;
  private closedSocketsBytesReceived = 0;

  /** Adds a socket, with the bytes it has carried so far. */
  add(socket: Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedSocketsBytesSent += socket.bytesWritten;
      this.closedSocketsBytesReceived += socket.bytesRead;
    });
  }

  /** Bytes written to all added sockets. */
  get bytesSent(): number {
    return [...this.openSockets].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.closedSocketsBytesSent,
    );
  }

  /** Bytes read from all added sockets. */
  get bytesReceived(): number {
    return [...this.openSockets].reduce(
      (sum, socket) => sum + socket.bytesRead,
      this.closedSocketsBytesReceived,
    );
  }
}

/** Traffic of every connection pool of this process that has no agent of its own. */
export const platformTraffic = new TrafficCounter();
