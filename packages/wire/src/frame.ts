/**
 * Frames: the length of the payload (4 bytes, big-endian), the CRC-32 of the
 * payload (4 bytes), and the payload. The checksum keeps bytes that no encoder
 * wrote away from the CBOR decoder, which allocates what a length field claims.
 */
import {crc32} from 'node:zlib';
import {Failure} from '@galenavalve/shared';

const LENGTH_BYTES = 4;
const CHECKSUM_BYTES = 4;

/** Bytes that stand before each payload. */
export const FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES;

/** Puts the header before a payload. Throws `frame-invalid` when it is too long. */
export function encodeFrame(payload: Buffer, maxFrameBytes: number): Buffer {
  if (payload.length > maxFrameBytes) {
    throw oversized(payload.length, maxFrameBytes);
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt32BE(crc32(payload), LENGTH_BYTES);
  payload.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Cuts a stream of bytes into payloads. It keeps at most one frame of the
 * largest size, and copies each byte at most twice.
 */
export class FrameDecoder {
  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
  private headerFilled = 0;
  private payload: Buffer | undefined;
  private payloadFilled = 0;

  constructor(private readonly maxFrameBytes: number) {}

  /** Bytes that are kept for a frame that is not whole yet. */
  get bufferedBytes(): number {
    return this.headerFilled + (this.payload?.length ?? 0);
  }

  /** Yields the payloads that `chunk` completes. Throws `frame-invalid` for a length above the limit or a wrong checksum. */
  *push(chunk: Buffer): Generator<Buffer> {
    let position = 0;
    while (position < chunk.length || this.isComplete()) {
      position = this.fillHeader(chunk, position);
      position = this.fillPayload(chunk, position);
      if (this.isComplete()) {
        yield this.take();
      }
    }
  }

  private isComplete(): boolean {
    return (
      this.payload !== undefined && this.payloadFilled === this.payload.length
    );
  }

  private fillHeader(chunk: Buffer, position: number): number {
    if (this.payload) {
      return position;
    }
    const copied = chunk.copy(this.header, this.headerFilled, position);
    this.headerFilled += copied;
    if (this.headerFilled === FRAME_HEADER_BYTES) {
      this.startPayload(this.header.readUInt32BE(0));
    }
    return position + copied;
  }

  private startPayload(length: number): void {
    if (length === 0 || length > this.maxFrameBytes) {
      throw oversized(length, this.maxFrameBytes);
    }
    this.payload = Buffer.allocUnsafe(length);
    this.payloadFilled = 0;
  }

  private fillPayload(chunk: Buffer, position: number): number {
    if (!this.payload) {
      return position;
    }
    const copied = chunk.copy(this.payload, this.payloadFilled, position);
    this.payloadFilled += copied;
    return position + copied;
  }

  private take(): Buffer {
    const payload = this.payload!;
    this.payload = undefined;
    this.headerFilled = 0;
    if (crc32(payload) !== this.header.readUInt32BE(LENGTH_BYTES)) {
      throw new Failure('frame-invalid', {problem: 'its checksum is wrong'});
    }
    return payload;
  }
}

function oversized(length: number, limit: number): Failure {
  return new Failure('frame-invalid', {
    problem: `its length is ${length}, and must be from 1 to ${limit}`,
  });
}
