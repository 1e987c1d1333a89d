/**
 * Schemas of the log's records. The format is public: operators and asset
 * registers may append `configured` records themselves. Every instance skips
 * records that do not match a schema, so all derive the same state.
 */
import {z} from 'zod';
import {assignment, jobRequest, resourceName, outcome} from './job.js';
import {configurationChange} from './inventory.js';
import {reason} from './reason.js';
import {term} from './term.js';

/** Version of the record format, in the field `v`. */
export const RECORD_VERSION = 1;

/** Fields of every record. */
const header = {
  v: z.literal(RECORD_VERSION),
  /** Unique id of the record; a writer that lost the response to its append finds the record by it. */
  recordId: z.string().min(1).max(100),
  /** Wall-clock time of the writer in milliseconds since the Unix epoch; for display only, never compared. */
  at: z.int().nonnegative(),
  /** Instance that wrote the record. */
  by: z.string().min(1).max(100),
};

const jobId = z.string().min(1).max(100);

/** Fields of records that a domain's scheduler writes about one attempt to run a job. */
const attemptFields = {
  jobId,
  attempt: z.int().positive(),
  domain: resourceName,
  term,
};

/** Accepts a job. The first such record in log order is valid for its request id. */
export const submitted = z.strictObject({
  ...header,
  type: z.literal('submitted'),
  jobId,
  request: jobRequest,
  /** Hash of the request, which reveals reuse of the request id with a different body. */
  bodyHash: z.string(),
  domain: resourceName,
  reason,
});
/** Withdraws a request id: its job never runs if this record precedes its `submitted`. */
export const withdrawn = z.strictObject({
  ...header,
  type: z.literal('withdrawn'),
  requestId: z.string().min(1).max(128),
});
/** Moves a queued job to another failure domain. */
export const moved = z.strictObject({
  ...header,
  type: z.literal('moved'),
  jobId,
  from: resourceName,
  to: resourceName,
  reason,
});
/** Makes an instance the scheduler of its failure domain. The first record of a term is valid. */
export const claimed = z.strictObject({
  ...header,
  type: z.literal('claimed'),
  domain: resourceName,
  term,
});
/** Records the intent to start an attempt, before any task starts. */
export const placed = z.strictObject({
  ...header,
  type: z.literal('placed'),
  ...attemptFields,
  assignments: z.array(assignment).min(1).max(512),
  /** Whether the gang runs within its workspace's guarantee. */
  guaranteed: z.boolean(),
  reason,
});
/** Records that every task of an attempt has started. */
export const started = z.strictObject({
  ...header,
  type: z.literal('started'),
  ...attemptFields,
});
/** Ends an attempt without a result; the job is queued again or is lost. */
export const unplaced = z.strictObject({
  ...header,
  type: z.literal('unplaced'),
  ...attemptFields,
  /** Whether a task of the attempt may have started; false only when none can have. */
  mayHaveRun: z.boolean(),
  /** Progress that checkpoints saved, in seconds of the whole job's run time. */
  progressSeconds: z.number().nonnegative(),
  /** Target that caused the end of the attempt, if any. */
  culprit: resourceName.optional(),
  reason,
});
/** Ends a job, with its complete result. */
export const finished = z.strictObject({
  ...header,
  type: z.literal('finished'),
  ...attemptFields,
  attempt: z.int().nonnegative(),
  outcome,
  /** Outputs of the tasks, by task index. */
  results: z.array(z.json()).max(512),
  /** Hash of the results, verified before they are returned to callers. */
  resultHash: z.string(),
  ranSeconds: z.number().nonnegative(),
  reason,
});
/** Requests the cancellation of a job. A queued job ends at once. */
export const cancelled = z.strictObject({
  ...header,
  type: z.literal('cancelled'),
  jobId,
  reason,
});
/** Approves a job of a workspace that requires approval. */
export const approved = z.strictObject({
  ...header,
  type: z.literal('approved'),
  jobId,
  author: z.string().min(1).max(128),
});
/** Changes the configuration; accepted only if every base version is current. */
export const configured = z.strictObject({
  ...header,
  type: z.literal('configured'),
  change: configurationChange,
});
/** Holds one part of a snapshot. */
export const snapshotChunk = z.strictObject({
  ...header,
  type: z.literal('snapshot-chunk'),
  snapshotId: z.string().min(1).max(100),
  /** Offset of the first record whose effect is not in the snapshot. */
  nextOffset: z.int().nonnegative(),
  index: z.int().nonnegative(),
  count: z.int().positive(),
  /** Hash of the complete snapshot. */
  hash: z.string(),
  data: z.string(),
});

/** Any record of the log. */
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

/** Fields that the log writer adds to every record. */
export type RecordHeader = Pick<LogRecord, 'v' | 'recordId' | 'at' | 'by'>;

type WithoutHeader<T> = T extends unknown ? Omit<T, keyof RecordHeader> : never;

/** Record without its header. */
export type RecordBody = WithoutHeader<LogRecord>;
