/** What an instance says of itself in the log, so that others find it. */
import * as z from 'zod';
import type {KeyedRecord} from '@galenavalve/workload';

export const peerEntrySchema = z.object({
  instance: z.string().min(1),
  /** IP number and port of its peer protocol. */
  host: z.string().min(1),
  port: z.number().int().positive(),
  domain: z.string(),
  /** Processor that it may use, in cores of usual speed. */
  cores: z.number().positive(),
  /** Wall-clock time of the record, in Unix milliseconds. */
  writtenAt: z.number(),
});

/** One instance. */
export type PeerEntry = z.infer<typeof peerEntrySchema>;

const PEER = 'p/';

/** The record of an instance. */
export function encodePeer(entry: PeerEntry): KeyedRecord {
  return {key: PEER + entry.instance, value: JSON.stringify(entry)};
}

/** The record that drops an instance. */
export function encodePeerTombstone(instance: string): KeyedRecord {
  return {key: PEER + instance, value: ''};
}

/** Reads a record: the instance's name, and its entry unless it was dropped. Undefined for other records and broken ones. */
export function decodePeer({
  key,
  value,
}: KeyedRecord): {instance: string; entry?: PeerEntry} | undefined {
  if (!key.startsWith(PEER)) {
    return undefined;
  }
  const instance = key.slice(PEER.length);
  if (value === '') {
    return {instance};
  }
  const parsed = peerEntrySchema.safeParse(parseJson(value));
  return parsed.success ? {instance, entry: parsed.data} : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Another writer's record; it names no instance.
    return undefined;
  }
}
