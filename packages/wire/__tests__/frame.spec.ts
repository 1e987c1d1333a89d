import fc from 'fast-check';
import t from 'tap';
import {isFailure} from '@galenavalve/shared';
import {
  FRAME_HEADER_BYTES,
  FrameDecoder,
  decodeMessage,
  encodeFrame,
  encodeMessage,
} from '../src/index.js';

const MAX_BYTES = 256;
const RUNS = {seed: 7, numRuns: 500};
const payloads = fc
  .uint8Array({minLength: 1, maxLength: MAX_BYTES})
  .map(bytes => Buffer.from(bytes));

/** Splits bytes into chunks of the given lengths, repeated as needed. */
function split(bytes: Buffer, lengths: number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let position = 0;
  for (let index = 0; position < bytes.length; index++) {
    const end = position + lengths[index % lengths.length]!;
    chunks.push(bytes.subarray(position, end));
    position = end;
  }
  return chunks;
}

/** Returns the payloads that a decoder yields up to the first `frame-invalid`; throws all other errors. */
function decodeAll(decoder: FrameDecoder, chunks: Buffer[]): Buffer[] {
  const found: Buffer[] = [];
  try {
    for (const chunk of chunks) {
      found.push(...decoder.push(chunk));
    }
  } catch (error) {
    if (!isFailure(error, 'frame-invalid')) {
      throw error;
    }
  }
  return found;
}

t.test('a frame decoder', async t => {
  t.test(
    'decodes the frames for any split of the stream into chunks',
    async () => {
      const chunkLengths = fc.array(fc.integer({min: 1, max: 40}), {
        minLength: 1,
      });
      fc.assert(
        fc.property(fc.array(payloads), chunkLengths, (sent, lengths) => {
          const frames = sent.map(payload => encodeFrame(payload, MAX_BYTES));
          const chunks = split(Buffer.concat(frames), lengths);
          const found = decodeAll(new FrameDecoder(MAX_BYTES), chunks);
          return Buffer.concat(found).equals(Buffer.concat(sent));
        }),
        RUNS,
      );
    },
  );

  t.test('yields no payload of a frame with a flipped bit', async () => {
    const damage = fc.record({at: fc.nat(), bit: fc.integer({min: 0, max: 7})});
    fc.assert(
      fc.property(payloads, damage, (payload, {at, bit}) => {
        const frame = encodeFrame(payload, MAX_BYTES);
        frame[at % frame.length]! ^= 1 << bit;
        return decodeAll(new FrameDecoder(MAX_BYTES), [frame]).length === 0;
      }),
      RUNS,
    );
  });

  t.test('buffers a bounded number of bytes for any input', async () => {
    fc.assert(
      fc.property(fc.array(payloads), chunks => {
        const decoder = new FrameDecoder(MAX_BYTES);
        decodeAll(decoder, chunks);
        return decoder.bufferedBytes <= MAX_BYTES + FRAME_HEADER_BYTES;
      }),
      RUNS,
    );
  });

  t.test('rejects frames above the maximum size', async t => {
    const invalid = {code: 'frame-invalid'};
    const long = Buffer.alloc(MAX_BYTES + 1);
    t.throws(() => encodeFrame(long, MAX_BYTES), invalid);
    const frame = encodeFrame(long, MAX_BYTES + 1);
    t.throws(() => [...new FrameDecoder(MAX_BYTES).push(frame)], invalid);
  });
});

t.test('a message', async t => {
  t.test('is unchanged after encoding and decoding', async t => {
    const ids = fc.nat();
    fc.assert(
      fc.property(ids, fc.jsonValue({noUnicodeString: false}), (id, body) => {
        const sent = {type: 'response', id, body} as const;
        const received = decodeMessage(encodeMessage(sent));
        t.strictSame(
          JSON.stringify(received),
          JSON.stringify(sent),
          'same JSON',
        );
      }),
      {...RUNS, numRuns: 100},
    );
  });

  // Guards against a peer whose message exhausts the stack of the process (issue 33).
  t.test('is rejected with a typed failure when it nests deeply', async t => {
    const request = Buffer.from([0x85, 1, 1, 0x61, 0x61, 1]);
    const array = Buffer.alloc(200_000, 0x81);
    const map = Buffer.alloc(600_000, Buffer.from([0xa1, 0x61, 0x61]));
    for (const deep of [array, map]) {
      const payload = Buffer.concat([request, deep, Buffer.from([1])]);
      t.throws(() => decodeMessage(payload), {code: 'frame-invalid'});
    }
  });

  t.test('is rejected with a typed failure for any invalid bytes', async () => {
    fc.assert(
      fc.property(payloads, payload => {
        try {
          decodeMessage(payload);
        } catch (error) {
          return isFailure(error, 'frame-invalid');
        }
        return true;
      }),
      {...RUNS, numRuns: 5000},
    );
  });
});
