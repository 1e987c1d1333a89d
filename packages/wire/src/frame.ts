/**
 * Frames: the length of the payload (4 bytes, big-endian), the CRC-32 of the
 * payload (4 bytes, big-endian), and the payload. The checksum protects the CBOR
 * decoder, which allocates as much memory as a length field claims, from
 * corrupted bytes.
 */
import {crc32} from 'node:zlib';
import {Failure} from '@galenavalve/shared';

/** Size of the length field. */
const LENGTH_BYTES = 4;
/** Size of the checksum field. */
const CHECKSUM_BYTES = 4;

/** Size of the header before each payload. */
export const FRAME_HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES;

/** Returns a payload with its header. Throws `frame-invalid` when the payload exceeds the limit. */
export function encodeFrame(payload: Buffer, maxFrameBytes: number): Buffer {
  if (payload.length > maxFrameBytes) {
    throw createLengthFailure(payload.length, maxFrameBytes);
  }
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + payload.length);
  frame.writeUInt32BE(payload.length, 0);
  frame.writeUInt32BE(crc32(payload), LENGTH_BYTES);
  payload.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/**
 * Splits a stream of bytes into payloads. It buffers at most one frame of the
 * maximum size, and copies each byte at most twice.
 */
export class FrameDecoder {
  private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
  private headerFilled = 0;
  private payload: Buffer | undefined;
  private payloadFilled = 0;

  constructor(private readonly maxFrameBytes: number) {}

  /** Number of bytes that are allocated for an incomplete frame. */
  get bufferedBytes(): number {
    return this.headerFilled + (this.payload?.length ?? 0);
  }

  /** Yields the payloads that `chunk` completes. Throws `frame-invalid` for a length of 0 or above the limit, and for a wrong checksum. */
  *push(chunk: Buffer): Generator<Buffer> {
    let position = 0;
    while (position < chunk.length || this.isComplete()) {
      position = this.fillHeader(chunk, position);
      position = this.fillPayload(chunk, position);
      if (this.isComplete()) {
        yield this.takePayload();
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
      throw createLengthFailure(length, this.maxFrameBytes);
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

  private takePayload(): Buffer {
    const payload = this.payload!;
    this.payload = undefined;
    this.headerFilled = 0;
    if (crc32(payload) !== this.header.readUInt32BE(LENGTH_BYTES)) {
      throw new Failure('frame-invalid', {problem: 'checksum mismatch'});
    }
    return payload;
  }
}

function createLengthFailure(length: number, limit: number): Failure {
  return new Failure('frame-invalid', {
    problem: `payload length ${length} is not between 1 and ${limit} bytes`,
  });
}
