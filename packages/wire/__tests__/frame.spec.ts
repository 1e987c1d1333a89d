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

/** Splits bytes at the given lengths, over and over. */
function split(bytes: Buffer, lengths: number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let position = 0;
  for (let turn = 0; position < bytes.length; turn++) {
    const end = position + lengths[turn % lengths.length]!;
    chunks.push(bytes.subarray(position, end));
    position = end;
  }
  return chunks;
}

/** The payloads that a decoder yields; throws anything but a typed failure. */
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
  t.test('finds the frames however the stream is cut', async () => {
    const cuts = fc.array(fc.integer({min: 1, max: 40}), {minLength: 1});
    fc.assert(
      fc.property(fc.array(payloads), cuts, (sent, lengths) => {
        const frames = sent.map(payload => encodeFrame(payload, MAX_BYTES));
        const chunks = split(Buffer.concat(frames), lengths);
        const found = decodeAll(new FrameDecoder(MAX_BYTES), chunks);
        return Buffer.concat(found).equals(Buffer.concat(sent));
      }),
      RUNS,
    );
  });

  t.test('passes on no payload that was not sent', async () => {
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

  t.test('keeps a bounded number of bytes of any stream', async () => {
    fc.assert(
      fc.property(fc.array(payloads), chunks => {
        const decoder = new FrameDecoder(MAX_BYTES);
        decodeAll(decoder, chunks);
        return decoder.bufferedBytes <= MAX_BYTES + FRAME_HEADER_BYTES;
      }),
      RUNS,
    );
  });

  t.test('refuses frames that are too long', async t => {
    const invalid = {code: 'frame-invalid'};
    const long = Buffer.alloc(MAX_BYTES + 1);
    t.throws(() => encodeFrame(long, MAX_BYTES), invalid);
    const frame = encodeFrame(long, MAX_BYTES + 1);
    t.throws(() => [...new FrameDecoder(MAX_BYTES).push(frame)], invalid);
  });
});

t.test('a message', async t => {
  t.test('arrives as it was sent', async t => {
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

  t.test(
    'is refused with a typed failure, whatever the bytes are',
    async () => {
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
    },
  );
});
