/** Bodies of the log service's HTTP protocol. */
import {z} from 'zod';

const offset = z.int().nonnegative();

/** The body of `POST /v1/records`. */
export const appendBody = z.strictObject({
  values: z.array(z.unknown()).min(1).max(10_000),
});

/** The answer to an append that took effect. */
export const appendReceipt = z.object({
  firstOffset: offset,
  nextOffset: offset,
});

/** The answer to `GET /v1/records`. */
export const logPage = z.object({
  entries: z.array(z.object({offset, value: z.unknown()})),
  nextOffset: offset,
  endOffset: offset,
  oldestOffset: offset,
});

/** Why the service refused a request. `written` is false: nothing was written. */
export const logRefusal = z.object({
  code: z.enum([
    'outage',
    'append-budget-used',
    'bad-request',
    'offset-expired',
  ]),
  message: z.string(),
  written: z.literal(false),
  /** With `offset-expired`: the oldest offset that is kept. */
  oldestOffset: offset.optional(),
});
export type LogRefusal = z.infer<typeof logRefusal>;
