/** One end of an open TCP connection that carries messages. */
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

/** Fractions of the silence limit at which a connection is looked at. */
const CHECKS_PER_SILENCE = 6;

/** What the owner of a connection is told. */
export interface ConnectionListener {
  onMessage(message: Message): void;
  /** Called once; `problem` says why. */
  onClose(problem: string): void;
}

/** Counts bytes over all connections of one end. */
export interface ByteCounter {
  bytesSent: number;
  bytesReceived: number;
}

/**
 * Sends and receives messages. A connection that is silent for longer than
 * the limit is dropped without waiting for TCP, which may not notice for hours.
 */
export class Connection {
  private readonly decoder: FrameDecoder;
  private readonly closing = new AbortController();
  private isOpen = true;
  /** When bytes were last received. */
  lastReceivedAt: Instant;
  private hasReceived = true;
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
    socket.on('close', () => this.close('the other end closed it'));
    void this.watchSilence();
  }

  /** Sends a message. Throws `frame-invalid` when it is too long, `peer-unavailable` when the connection is closed. */
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
      this.close('the other end does not read');
    }
  }

  /** Closes at once; what was not sent yet is lost. */
  close(problem: string): void {
    if (!this.isOpen) {
      return;
    }
    this.isOpen = false;
    this.closing.abort();
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
   * Counts checks without a received byte, not time: after a pause of the
   * process the bytes that came in the meantime have not been read yet.
   */
  private async watchSilence(): Promise<void> {
    const interval: Milliseconds =
      this.options.silenceTimeout / CHECKS_PER_SILENCE;
    const quietLimit = Math.max(
      1,
      Math.floor(this.options.heartbeatInterval / interval),
    );
    let silentChecks = 0;
    let quietChecks = 0;
    while (this.isOpen) {
      await this.clock.sleep(interval, this.closing.signal);
      silentChecks = this.hasReceived ? 0 : silentChecks + 1;
      quietChecks = this.hasSent ? 0 : quietChecks + 1;
      this.hasReceived = false;
      this.hasSent = false;
      if (silentChecks >= CHECKS_PER_SILENCE) {
        this.close('it was silent for too long');
      } else if (quietChecks >= quietLimit && this.isOpen) {
        quietChecks = 0;
        this.send({type: 'ping'});
        this.hasSent = false;
      }
    }
  }
}
