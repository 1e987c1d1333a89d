/** Request and response bodies of the log's HTTP protocol. */
import {z} from 'zod';

const offset = z.int().nonnegative();

/** Body of `POST /v1/records`. */
export const appendBody = z.strictObject({
  values: z.array(z.unknown()).min(1).max(10_000),
});

/** Response to a successful append. */
export const appendReceipt = z.object({
  firstOffset: offset,
  nextOffset: offset,
});

/** Response to `GET /v1/records`. */
export const logPage = z.object({
  entries: z.array(z.object({offset, value: z.unknown()})),
  nextOffset: offset,
  endOffset: offset,
  oldestOffset: offset,
});

/** Response to a refused request. `written` is always false: nothing was written. */
export const logRefusal = z.object({
  code: z.enum([
    'outage',
    'append-budget-used',
    'bad-request',
    'offset-expired',
  ]),
  message: z.string(),
  written: z.literal(false),
  /** Oldest retained offset; set with `offset-expired`. */
  oldestOffset: offset.optional(),
});
/** Response to a refused request. */
export type LogRefusal = z.infer<typeof logRefusal>;
