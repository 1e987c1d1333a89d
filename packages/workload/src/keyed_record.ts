/** Records of the job log: the newest record of a key stands for the key. */
import {acceptedJobSchema, type AcceptedJob} from './accepted_job.js';
import type {Progress} from './progress.js';
import {
  type StoredProgress,
  formatProgress,
  parseProgress,
} from './stored_progress.js';

/** A record as the log keeps it; an empty value drops the key. */
export interface KeyedRecord {
  key: string;
  value: string;
}

/** A record with its place in the log. */
export interface StoredRecord extends KeyedRecord {
  offset: number;
}

/** The holder of the dispatcher's office. */
export interface Leadership {
  /** Rises with every holder; targets refuse orders of a lower one. */
  epoch: number;
  /** Identifies one life of one instance. */
  holder: string;
  /** Wall-clock time of the record, in Unix milliseconds. */
  writtenAt?: number;
  /** The holder has stepped down. */
  hasResigned?: boolean;
}

const ACCEPTED = 'a/';
const CANCELLED = 'x/';
const PROGRESS = 's/';
const LEADERSHIP = 'lead';

/** A record in the terms of the product. */
export type JobRecord =
  | {kind: 'accepted'; id: string; job: AcceptedJob}
  | {kind: 'cancelled'; id: string}
  | {kind: 'progress'; id: string; progress: StoredProgress}
  | {kind: 'forgotten'; id: string}
  | {kind: 'leadership'; leadership: Leadership};

/** The record that makes a job exist. */
export function encodeAccepted(id: string, job: AcceptedJob): KeyedRecord {
  return {key: ACCEPTED + id, value: JSON.stringify(job)};
}

/** The record that cancels a job. */
export function encodeCancelled(id: string): KeyedRecord {
  return {key: CANCELLED + id, value: '1'};
}

/** The record of a job's progress. */
export function encodeProgress(id: string, progress: Progress): KeyedRecord {
  return {key: PROGRESS + id, value: formatProgress(progress)};
}

/** The record of who dispatches. */
export function encodeLeadership(leadership: Leadership): KeyedRecord {
  return {key: LEADERSHIP, value: JSON.stringify(leadership)};
}

/** The records that drop all that is known of a job; the job itself goes last. */
export function encodeJobTombstones(id: string): KeyedRecord[] {
  return [PROGRESS, CANCELLED, ACCEPTED].map(prefix => ({
    key: prefix + id,
    value: '',
  }));
}

/** Reads a record; undefined for a key of another kind. Throws on a broken value. */
export function decodeRecord(record: KeyedRecord): JobRecord | undefined {
  const {key, value} = record;
  if (key === LEADERSHIP) {
    return {kind: 'leadership', leadership: JSON.parse(value) as Leadership};
  }
  const id = key.slice(2);
  if (key.startsWith(ACCEPTED)) {
    return value === ''
      ? {kind: 'forgotten', id}
      : {kind: 'accepted', id, job: acceptedJobSchema.parse(JSON.parse(value))};
  }
  if (value === '') {
    return undefined;
  }
  if (key.startsWith(CANCELLED)) {
    return {kind: 'cancelled', id};
  }
  if (key.startsWith(PROGRESS)) {
    return {kind: 'progress', id, progress: parseProgress(value)};
  }
  return undefined;
}
