/** One side of an open TCP connection that carries messages. */
import type {Socket} from 'node:net';
import {
  type Clock,
  Failure,
  type Instant,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import {FrameDecoder, encodeFrame} from './frame.js';
import {type Message, decodeMessage, encodeMessage} from './message.js';
import type {WireOptions} from './wire_options.js';

/** Number of activity checks per `silenceTimeout`. */
const CHECKS_PER_SILENCE_TIMEOUT = 6;

/** Handlers of a connection's events. */
export interface ConnectionListener {
  onMessage(message: Message): void;
  /** Called once; `problem` describes the cause. */
  onClose(problem: string): void;
}

/** Byte counters over all connections of a client or server. */
export interface ByteCounter {
  bytesSent: number;
  bytesReceived: number;
}

/**
 * Sends and receives messages. A connection that receives nothing for
 * `silenceTimeout` is closed without waiting for TCP, which may not detect the
 * failure for hours.
 */
export class Connection {
  private readonly decoder: FrameDecoder;
  private readonly closed = new AbortController();
  private isOpen = true;
  /** Time at which bytes were last received. */
  lastReceivedAt: Instant;
  /** Whether bytes were received since the last activity check. */
  private hasReceived = true;
  /** Whether a message other than a ping was sent since the last activity check. */
  private hasSent = true;

  constructor(
    private readonly socket: Socket,
    private readonly listener: ConnectionListener,
    private readonly counter: ByteCounter,
    private readonly clock: Clock,
    private readonly options: WireOptions,
  ) {
    this.decoder = new FrameDecoder(options.maxFrameBytes);
    this.lastReceivedAt = clock.now();
    socket.setNoDelay(true);
    socket.on('data', chunk => this.onData(chunk as Buffer));
    socket.on('error', error => this.close(describeError(error)));
    socket.on('close', () => this.close('the peer closed the connection'));
    void this.monitorActivity();
  }

  /** Sends a message. Throws `frame-invalid` when it exceeds the maximum frame size, and `peer-unavailable` when the connection is closed. */
  send(message: Message): void {
    if (!this.isOpen) {
      throw new Failure('peer-unavailable', {
        peer: this.socket.remoteAddress ?? '',
        problem: 'the connection is closed',
      });
    }
    const frame = encodeFrame(
      encodeMessage(message),
      this.options.maxFrameBytes,
    );
    this.socket.write(frame);
    this.hasSent = true;
    this.counter.bytesSent += frame.length;
    if (this.socket.writableLength > this.options.maxBufferedBytes) {
      this.close('the peer does not read; its send buffer is full');
    }
  }

  /** Closes the connection at once; unsent data is lost. */
  close(problem: string): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    this.closed.abort();
    this.socket.destroy();
    this.listener.onClose(problem);
  }

  private onData(chunk: Buffer): void {
    this.hasReceived = true;
    this.lastReceivedAt = this.clock.now();
    this.counter.bytesReceived += chunk.length;
    try {
      for (const payload of this.decoder.push(chunk)) {
        this.onMessage(decodeMessage(payload));
      }
    } catch (error) {
      this.close(describeError(error));
    }
  }

  private onMessage(message: Message): void {
    if (!this.isOpen) {
      return;
    }
    if (message.type === 'ping') {
      this.send({type: 'pong'});
      return;
    }
    if (message.type !== 'pong') {
      this.listener.onMessage(message);
    }
  }

  /**
   * Closes the connection after `silenceTimeout` without received bytes, and
   * sends pings. It counts checks without a received byte instead of measuring
   * time: after a pause of the process, bytes that arrived in the meantime have
   * not been read yet.
   */
  private async monitorActivity(): Promise<void> {
    const intervalMs: Milliseconds =
      this.options.silenceTimeout / CHECKS_PER_SILENCE_TIMEOUT;
    const maxChecksWithoutSend = Math.max(
      1,
      Math.floor(this.options.heartbeatInterval / intervalMs),
    );
    let checksWithoutReceipt = 0;
    let checksWithoutSend = 0;
    while (this.isOpen) {
      await this.clock.sleep(intervalMs, this.closed.signal);
      checksWithoutReceipt = this.hasReceived ? 0 : checksWithoutReceipt + 1;
      checksWithoutSend = this.hasSent ? 0 : checksWithoutSend + 1;
      this.hasReceived = false;
      this.hasSent = false;
      if (checksWithoutReceipt >= CHECKS_PER_SILENCE_TIMEOUT) {
        this.close('nothing was received within the silence timeout');
      } else if (checksWithoutSend >= maxChecksWithoutSend && this.isOpen) {
        checksWithoutSend = 0;
        this.send({type: 'ping'});
        this.hasSent = false;
      }
    }
  }
}
