/** Serves the logs that this instance reaches to peers that do not reach them. */
import * as z from 'zod';
import {Failure} from '@galenavalve/shared';
import type {PeerServer} from '@galenavalve/wire';
import type {LogPathTracker} from './log_path_tracker.js';
import {type SharedLog, appendTo} from './peer_log_client.js';

/** Methods of the peer protocol. */
export const APPEND_METHOD = 'append-records';
export const NEWEST_METHOD = 'newest-records';
export const TAIL_METHOD = 'records-from';

/** Schema of a record to append. */
const recordSchema = z.object({key: z.string(), value: z.string()});

/** Schema of a record with its offset. */
const storedRecordSchema = recordSchema.extend({offset: z.number().int()});

/** Request to append `records` to a log; `fencing` is the fencing token, `endsAt` the condition without one, and `timeout` is in milliseconds. */
export const appendRequestSchema = z.object({
  log: z.string(),
  records: z.array(recordSchema),
  fencing: z
    .object({
      epoch: z.number().int(),
      sequence: z.number().int(),
      endsAt: z.number().int().optional(),
    })
    .optional(),
  endsAt: z.number().int().optional(),
  timeout: z.number().positive(),
});

/** Response to an append: a `FencedAppendOutcome`. */
export const appendResponseSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('appended'), offset: z.number().int()}),
  z.object({kind: z.literal('fenced')}),
  z.object({kind: z.literal('moved')}),
  z.object({kind: z.literal('refused'), problem: z.string()}),
  z.object({kind: z.literal('unknown'), problem: z.string()}),
]);

/** Request for a page of the newest record of each key; `after` is the cursor of the previous page. */
export const newestRequestSchema = z.object({
  log: z.string(),
  after: z.string().optional(),
});

/** Response with a page of the newest record of each key: a `NewestPage`. */
export const newestResponseSchema = z.object({
  records: z.array(storedRecordSchema),
  end: z.number().int(),
  after: z.string().optional(),
});

/** Request for the records from an offset on; `wait` is the longest wait for the first one, in milliseconds. */
export const tailRequestSchema = z.object({
  log: z.string(),
  offset: z.number().int().nonnegative(),
  wait: z.number().nonnegative(),
});

/** Response with the records from an offset on: a `TailPage`. */
export const tailResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('records'),
    records: z.array(storedRecordSchema),
    next: z.number().int(),
    end: z.number().int(),
  }),
  z.object({kind: z.literal('expired')}),
]);

/** Registers the methods. `logs` must be the direct ones, so that no call is forwarded twice. A call fails with `not-found` if the log is unknown or cannot be reached directly. */
export function serveLogs(
  server: PeerServer,
  logs: ReadonlyMap<string, SharedLog>,
  pathTracker: LogPathTracker,
): void {
  const findLog = (name: string): SharedLog => {
    const log = logs.get(name);
    if (!log || !pathTracker.isAvailableToPeers) {
      throw new Failure('not-found', {kind: 'reachable log', id: name});
    }
    return log;
  };
  server.handle(APPEND_METHOD, appendRequestSchema, async request => {
    const {log, timeout, ...call} = request;
    return appendTo(findLog(log), call, timeout);
  });
  server.handle(NEWEST_METHOD, newestRequestSchema, async request =>
    findLog(request.log).readNewest(request.after),
  );
  server.handle(TAIL_METHOD, tailRequestSchema, async request =>
    findLog(request.log).readTail(request.offset, request.wait),
  );
}
