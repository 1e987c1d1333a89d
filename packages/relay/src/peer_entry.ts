/** Entry of an instance in the log, by which its peers find it. */
import * as z from 'zod';
import type {KeyedRecord} from '@galenavalve/workload';

/** Longest name of an instance, host or domain; the peer protocol has no longer names either. */
const MAX_NAME_CHARS = 100;

/** Largest port number. */
const MAX_PORT = 65_535;

/** More cores than any machine has; an entry with more would make every other instance a weak one. */
const MAX_CORES = 10_000;

/** Schema of a peer's entry. */
export const peerEntrySchema = z.object({
  instance: z.string().min(1).max(MAX_NAME_CHARS),
  /** IP address and port at which it serves the peer protocol. */
  host: z.string().min(1).max(MAX_NAME_CHARS),
  port: z.number().int().positive().max(MAX_PORT),
  domain: z.string().max(MAX_NAME_CHARS),
  /** Processor capacity that it may use, in cores of standard speed. */
  cores: z.number().positive().max(MAX_CORES),
  /** Wall-clock time of the record, in Unix milliseconds. */
  writtenAt: z.number(),
});

/** Entry of one instance. */
export type PeerEntry = z.infer<typeof peerEntrySchema>;

/** Key prefix of peer entries; the instance name follows. */
const PEER_KEY_PREFIX = 'p/';

/** Encodes the record of an instance's entry. */
export function encodePeer(entry: PeerEntry): KeyedRecord {
  return {key: PEER_KEY_PREFIX + entry.instance, value: JSON.stringify(entry)};
}

/** Encodes the tombstone that deletes an instance's entry. */
export function encodePeerTombstone(instance: string): KeyedRecord {
  return {key: PEER_KEY_PREFIX + instance, value: ''};
}

/** Decodes a record: the instance name, and its entry unless the record is a tombstone. Returns undefined for other kinds of records, malformed entries and those of another instance than the key names. */
export function decodePeer({
  key,
  value,
}: KeyedRecord): {instance: string; entry?: PeerEntry} | undefined {
  if (!key.startsWith(PEER_KEY_PREFIX)) {
    return undefined;
  }
  const instance = key.slice(PEER_KEY_PREFIX.length);
  if (value === '') {
    return {instance};
  }
  const parsed = peerEntrySchema.safeParse(parseJson(value));
  const isValid = parsed.success && parsed.data.instance === instance;
  return isValid ? {instance, entry: parsed.data} : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    // Malformed JSON, such as from another writer, is no peer entry.
    return undefined;
  }
}
