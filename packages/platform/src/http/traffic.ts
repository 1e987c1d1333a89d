/** Counts the bytes that go to and come from the platform. */
import type {Socket} from 'node:net';

/** Bytes of all sockets that were added, open or closed. */
export class TrafficCounter {
  private readonly open = new Set<Socket>();
  private closedSent = 0;
  private closedReceived = 0;

  /** Counts the bytes of `socket` from now on. */
  add(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedSent += socket.bytesWritten;
      this.closedReceived += socket.bytesRead;
    });
  }

  /** Bytes sent. */
  get bytesSent(): number {
    return [...this.open].reduce(
      (sum, socket) => sum + socket.bytesWritten,
      this.closedSent,
    );
  }

  /** Bytes received. */
  get bytesReceived(): number {
    return [...this.open].reduce(
      (sum, socket) => sum + socket.bytesRead,
      this.closedReceived,
    );
  }
}

/** The traffic of every pool of this process. */
export const platformTraffic = new TrafficCounter();
