/** Encodes and decodes the records of the job log, in which the newest record of a key replaces earlier ones. */
import * as z from 'zod';
import {acceptedJobSchema, type AcceptedJob} from './accepted_job.js';
import type {Caller} from './caller.js';
import {
  type EarlyCancellation,
  earlyCancellationSchema,
  formatEarlyCancellationKey,
} from './early_cancellation.js';
import type {Progress} from './progress.js';
import {
  type StoredProgress,
  formatProgress,
  parseProgress,
} from './stored_progress.js';

/** A record as the log stores it. A record with an empty value is a tombstone, which deletes its key. */
export interface KeyedRecord {
  key: string;
  value: string;
}

/** A record with its offset in the log. */
export interface StoredRecord extends KeyedRecord {
  offset: number;
}

/**
 * Highest epoch of a leadership record; a higher one comes from another writer.
 * The epochs of later leaders, which are higher, stay exact.
 */
const MAX_EPOCH = 2 ** 52;

/** Leadership: the right to dispatch, which one instance (the leader) holds. */
const leadershipSchema = z.object({
  /** Number of the leadership period; increases with every leader. Targets refuse commands with a lower epoch. */
  epoch: z.number().int().nonnegative().max(MAX_EPOCH),
  /** Identifies the leader: one incarnation of an instance. */
  holder: z.string().min(1),
  /** Wall-clock time of the record, in Unix milliseconds. */
  writtenAt: z.number().optional(),
  /** Whether the leader has resigned. */
  hasResigned: z.boolean().optional(),
});

/** Leadership: the right to dispatch, which one instance (the leader) holds. */
export type Leadership = z.infer<typeof leadershipSchema>;

/** Key prefixes of the records of a job; the job's id follows. */
const ACCEPTED = 'a/';
const CANCELLED = 'x/';
const PROGRESS = 's/';
/** A part of progress that was split; the job's id, a slash and the index of the part follow. */
const PROGRESS_PART = 'p/';
/** Earlier versions told callers of a completion before its progress was recorded, and wrote this record then. */
const COMPLETED = 'c/';

/** Key prefix of a cancellation that precedes the acceptance of its job; the job's id and a hash of the caller follow. */
const EARLY_CANCELLATION = 'e/';

/** Key of the leadership record. */
const LEADERSHIP = 'lead';

/** A decoded record. The kind `deleted` is the tombstone of a job's acceptance, which deletes the job. */
export type JobRecord =
  | {kind: 'accepted'; id: string; job: AcceptedJob}
  | {kind: 'cancelled'; id: string}
  /** `key` is the record's key without its prefix; no value is a tombstone. */
  | {kind: 'early-cancellation'; key: string; value?: EarlyCancellation}
  | {kind: 'progress'; id: string; progress: StoredProgress}
  /** No value is a tombstone. */
  | {kind: 'progress-part'; id: string; index: number; value?: string}
  | {kind: 'completed'; id: string}
  | {kind: 'deleted'; id: string}
  | {kind: 'leadership'; leadership: Leadership};

/** Returns the key of the record that creates a job. */
export function formatAcceptedKey(id: string): string {
  return ACCEPTED + id;
}

/** Encodes the record that creates a job. */
export function encodeAccepted(id: string, job: AcceptedJob): KeyedRecord {
  return {key: formatAcceptedKey(id), value: JSON.stringify(job)};
}

/** Encodes the record that cancels a job. */
export function encodeCancelled(id: string): KeyedRecord {
  return {key: CANCELLED + id, value: '1'};
}

/** Encodes the record that cancels a job which the log does not have. */
export function encodeEarlyCancellation(
  id: string,
  caller: Caller,
  cancelledAt: number,
): KeyedRecord {
  const value = {
    queue: caller.queue,
    workspace: caller.workspace,
    cancelledAt,
  } satisfies EarlyCancellation;
  return {
    key: EARLY_CANCELLATION + formatEarlyCancellationKey(id, caller),
    value: JSON.stringify(value),
  };
}

/** Encodes the tombstone of an early cancellation; `key` is that of `formatEarlyCancellationKey`. */
export function encodeEarlyCancellationTombstone(key: string): KeyedRecord {
  return {key: EARLY_CANCELLATION + key, value: ''};
}

/** Encodes the record of a job's progress. */
export function encodeProgress(id: string, progress: Progress): KeyedRecord {
  return {key: PROGRESS + id, value: formatProgress(progress)};
}

/** Encodes one part of a job's progress; an empty value deletes it. */
export function encodeProgressPart(
  id: string,
  index: number,
  value: string,
): KeyedRecord {
  return {key: `${PROGRESS_PART}${id}/${index}`, value};
}

/** Encodes the record of the current leadership. */
export function encodeLeadership(leadership: Leadership): KeyedRecord {
  return {key: LEADERSHIP, value: JSON.stringify(leadership)};
}

/** Encodes the tombstones that delete all records of a job, of which `parts` are parts of its progress; the acceptance is deleted last. */
export function encodeJobTombstones(
  id: string,
  parts: Iterable<number> = [],
): KeyedRecord[] {
  return [
    ...Array.from(parts, index => encodeProgressPart(id, index, '')),
    ...[PROGRESS, CANCELLED, COMPLETED, ACCEPTED].map(prefix => ({
      key: prefix + id,
      value: '',
    })),
  ];
}

/** Decodes a record. Returns undefined for other kinds of keys, and for tombstones other than those of an acceptance of an early cancellation and of a part of progress. Throws if the value is malformed. */
export function decodeRecord(record: KeyedRecord): JobRecord | undefined {
  const {key, value} = record;
  if (key === LEADERSHIP) {
    const leadership = leadershipSchema.parse(JSON.parse(value));
    return {kind: 'leadership', leadership};
  }
  const id = key.slice(2);
  if (key.startsWith(ACCEPTED)) {
    return value === ''
      ? {kind: 'deleted', id}
      : {kind: 'accepted', id, job: acceptedJobSchema.parse(JSON.parse(value))};
  }
  if (key.startsWith(EARLY_CANCELLATION)) {
    const parsed =
      value === ''
        ? undefined
        : earlyCancellationSchema.parse(JSON.parse(value));
    return {kind: 'early-cancellation', key: id, value: parsed};
  }
  if (key.startsWith(PROGRESS_PART)) {
    return decodeProgressPart(id, value);
  }
  if (value === '') {
    return undefined;
  }
  if (key.startsWith(CANCELLED)) {
    return {kind: 'cancelled', id};
  }
  if (key.startsWith(COMPLETED)) {
    return {kind: 'completed', id};
  }
  if (key.startsWith(PROGRESS)) {
    return {kind: 'progress', id, progress: parseProgress(value)};
  }
  return undefined;
}

/** `name` is the key without its prefix. */
function decodeProgressPart(
  name: string,
  value: string,
): JobRecord | undefined {
  const end = name.lastIndexOf('/');
  const index = name.slice(end + 1);
  if (end < 0 || !/^\d{1,6}$/.test(index)) {
    return undefined;
  }
  return {
    kind: 'progress-part',
    id: name.slice(0, end),
    index: Number(index),
    value: value === '' ? undefined : value,
  };
}
