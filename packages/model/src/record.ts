/**
 * Records of the log. The format is public: operators and asset registers may
 * append `configured` records themselves. A record that does not match is
 * skipped by every instance alike.
 */
import {z} from 'zod';
import {assignment, jobRequest, resourceName, outcome} from './job.js';
import {configurationChange} from './inventory.js';
import {reason} from './reason.js';
import {term} from './term.js';

/** Version of the record format. */
export const RECORD_VERSION = 1;

const header = {
  v: z.literal(RECORD_VERSION),
  /** Unique id of the record, by which a writer finds it again after a lost answer. */
  recordId: z.string().min(1).max(100),
  /** Wall-clock time of the writer in milliseconds since the Unix epoch; for people, never compared. */
  at: z.int().nonnegative(),
  /** Instance that wrote the record. */
  by: z.string().min(1).max(100),
};

const jobId = z.string().min(1).max(100);

/** Fields of a record that a domain's scheduler writes about one attempt. */
const attemptFields = {
  jobId,
  attempt: z.int().positive(),
  domain: resourceName,
  term,
};

/** A job was accepted. The first in log order wins for its request id. */
export const submitted = z.strictObject({
  ...header,
  type: z.literal('submitted'),
  jobId,
  request: jobRequest,
  /** Hash of the request, by which a reuse of the id with another body is seen. */
  bodyHash: z.string(),
  domain: resourceName,
  reason,
});
/** A request id will never run if this precedes its `submitted`. */
export const withdrawn = z.strictObject({
  ...header,
  type: z.literal('withdrawn'),
  requestId: z.string().min(1).max(128),
});
/** A queued job goes to another failure domain. */
export const moved = z.strictObject({
  ...header,
  type: z.literal('moved'),
  jobId,
  from: resourceName,
  to: resourceName,
  reason,
});
/** An instance becomes the scheduler of its failure domain. The first of a term wins. */
export const claimed = z.strictObject({
  ...header,
  type: z.literal('claimed'),
  domain: resourceName,
  term,
});
/** Durable intent to start an attempt. */
export const placed = z.strictObject({
  ...header,
  type: z.literal('placed'),
  ...attemptFields,
  assignments: z.array(assignment).min(1).max(512),
  /** Whether the gang lies within its workspace's guarantee. */
  guaranteed: z.boolean(),
  reason,
});
/** Every task of the attempt has started. */
export const started = z.strictObject({
  ...header,
  type: z.literal('started'),
  ...attemptFields,
});
/** The attempt ended without a result; the job is queued again, or lost. */
export const unplaced = z.strictObject({
  ...header,
  type: z.literal('unplaced'),
  ...attemptFields,
  /** False only when no task of the attempt can have started. */
  mayHaveRun: z.boolean(),
  /** Progress that a checkpoint saved, in seconds of run time of the whole job. */
  progressSeconds: z.number().nonnegative(),
  /** Target that caused the end, if one did. */
  culprit: resourceName.optional(),
  reason,
});
/** The job has ended, with its whole answer. */
export const finished = z.strictObject({
  ...header,
  type: z.literal('finished'),
  ...attemptFields,
  attempt: z.int().nonnegative(),
  outcome,
  /** Outputs of the tasks by task index. */
  results: z.array(z.json()).max(512),
  /** Hash of the results, checked before they are passed on. */
  resultHash: z.string(),
  ranSeconds: z.number().nonnegative(),
  reason,
});
/** A caller or operator wants the job stopped. A queued job ends at once. */
export const cancelled = z.strictObject({
  ...header,
  type: z.literal('cancelled'),
  jobId,
  reason,
});
/** An operator lets a job of a workspace with approval start. */
export const approved = z.strictObject({
  ...header,
  type: z.literal('approved'),
  jobId,
  author: z.string().min(1).max(128),
});
/** Operators changed the configuration; accepted only if every base version is current. */
export const configured = z.strictObject({
  ...header,
  type: z.literal('configured'),
  change: configurationChange,
});
/** A part of a snapshot. */
export const snapshotChunk = z.strictObject({
  ...header,
  type: z.literal('snapshot-chunk'),
  snapshotId: z.string().min(1).max(100),
  /** The snapshot holds the effect of every record before this offset. */
  nextOffset: z.int().nonnegative(),
  index: z.int().nonnegative(),
  count: z.int().positive(),
  /** Hash of the whole snapshot. */
  hash: z.string(),
  data: z.string(),
});

/** Any record. */
export const record = z.discriminatedUnion('type', [
  submitted,
  withdrawn,
  moved,
  claimed,
  placed,
  started,
  unplaced,
  finished,
  cancelled,
  approved,
  configured,
  snapshotChunk,
]);
export type LogRecord = z.infer<typeof record>;
export type Submitted = z.infer<typeof submitted>;
export type Withdrawn = z.infer<typeof withdrawn>;
export type Moved = z.infer<typeof moved>;
export type Claimed = z.infer<typeof claimed>;
export type Placed = z.infer<typeof placed>;
export type Started = z.infer<typeof started>;
export type Unplaced = z.infer<typeof unplaced>;
export type Finished = z.infer<typeof finished>;
export type Cancelled = z.infer<typeof cancelled>;
export type Approved = z.infer<typeof approved>;
export type Configured = z.infer<typeof configured>;
export type SnapshotChunk = z.infer<typeof snapshotChunk>;

/** The fields that a writer fills in by itself. */
export type RecordHeader = Pick<LogRecord, 'v' | 'recordId' | 'at' | 'by'>;

type WithoutHeader<T> = T extends unknown ? Omit<T, keyof RecordHeader> : never;

/** A record before its header is added. */
export type RecordBody = WithoutHeader<LogRecord>;
