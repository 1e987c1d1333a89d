/** Serves the logs that this instance reaches to instances that do not. */
import * as z from 'zod';
import {Failure} from '@galenavalve/shared';
import type {PeerServer} from '@galenavalve/wire';
import type {LogPathTracker} from './log_path_tracker.js';
import {type SharedLog, appendTo} from './peer_log_client.js';

/** Methods of the peer protocol. */
export const APPEND_METHOD = 'append-records';
export const NEWEST_METHOD = 'newest-records';
export const TAIL_METHOD = 'records-from';

const recordSchema = z.object({key: z.string(), value: z.string()});

const storedSchema = recordSchema.extend({offset: z.number().int()});

/** Appends `records` to a log; answers with an `OfficeAppend`. */
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
  timeout: z.number().positive(),
});

export const appendResponseSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('appended'), offset: z.number().int()}),
  z.object({kind: z.literal('fenced')}),
  z.object({kind: z.literal('moved')}),
  z.object({kind: z.literal('refused'), problem: z.string()}),
  z.object({kind: z.literal('unknown'), problem: z.string()}),
]);

/** Asks for a page of the newest records. */
export const newestRequestSchema = z.object({
  log: z.string(),
  after: z.string().optional(),
});

export const newestResponseSchema = z.object({
  records: z.array(storedSchema),
  end: z.number().int(),
  after: z.string().optional(),
});

/** Asks for the records from an offset on. */
export const tailRequestSchema = z.object({
  log: z.string(),
  offset: z.number().int().nonnegative(),
  wait: z.number().nonnegative(),
});

export const tailResponseSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('records'),
    records: z.array(storedSchema),
    next: z.number().int(),
    end: z.number().int(),
  }),
  z.object({kind: z.literal('expired')}),
]);

/** Registers the methods; `logs` are the direct ones, so that no call is passed on twice. */
export function serveLogs(
  server: PeerServer,
  logs: ReadonlyMap<string, SharedLog>,
  access: LogPathTracker,
): void {
  const find = (name: string): SharedLog => {
    const log = logs.get(name);
    if (!log || !access.isAvailableToPeers) {
      throw new Failure('not-found', {kind: 'reachable log', id: name});
    }
    return log;
  };
  server.handle(APPEND_METHOD, appendRequestSchema, async request => {
    const {log, records, fencing, timeout} = request;
    return appendTo(find(log), {records, fencing}, timeout);
  });
  server.handle(NEWEST_METHOD, newestRequestSchema, async request =>
    find(request.log).readNewest(request.after),
  );
  server.handle(TAIL_METHOD, tailRequestSchema, async request =>
    find(request.log).readTail(request.offset, request.wait),
  );
}
