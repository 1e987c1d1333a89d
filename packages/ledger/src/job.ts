/** Jobs as the log tells them. */
import type {
  Assignment,
  HistoryEntry,
  JobPhase,
  JobRequest,
  Outcome,
  Reason,
  Term,
} from '@galenavalve/model';

/** Most entries of a job's history; older ones but the first are dropped. */
export const MAX_HISTORY_ENTRIES = 24;

/** Most failures that are kept of a job. */
export const MAX_RETAINED_FAILURES = 16;

/** A failed attempt, with the target that caused it. */
export interface JobFailure {
  target?: string;
  /** Wall-clock time of the record in milliseconds since the Unix epoch. */
  at: number;
}

/**
 * A job as the accepted records leave it. Only the fold changes it. Times are
 * wall-clock milliseconds since the Unix epoch, as the writers gave them.
 */
export interface Job {
  readonly jobId: string;
  /** The payload is dropped when the job finishes. */
  request: JobRequest;
  readonly bodyHash: string;
  domain: string;
  phase: JobPhase;
  /** Number of the latest attempt that was placed; 0 when there was none. */
  attempts: number;
  readonly submittedOffset: number;
  readonly submittedAt: number;
  approved: boolean;
  cancelRequested: boolean;
  cancelReason?: Reason;
  /** Where the present attempt is placed; empty when there is none. */
  assignments: readonly Assignment[];
  /** Whether the present attempt lies within the workspace's guarantee. */
  guaranteed: boolean;
  /** Term under which the latest attempt was placed. */
  term?: Term;
  placedAt?: number;
  startedAt?: number;
  finishedAt?: number;
  /** Progress that checkpoints saved, in seconds of run time of the whole job. */
  progressSeconds: number;
  failures: readonly JobFailure[];
  /** Whether any task of any attempt may have run; then "not run" is never said. */
  mayHaveRun: boolean;
  outcome?: Outcome;
  /** Absent when the results were dropped to bound memory; the log may still hold them. */
  results?: unknown[];
  resultHash?: string;
  /** Offset of the record that ended the job. */
  finishedOffset?: number;
  lastReason?: Reason;
  lastUnplacedAt?: number;
  history: readonly HistoryEntry[];
  /** Ids of the accepted `moved` records, which make a late copy harmless. */
  moveIds: readonly string[];
}

/** Tells whether an attempt of the job is placed or running. */
export function isActive(job: Job): boolean {
  return job.phase === 'placed' || job.phase === 'running';
}

/** Adds an entry to the history, and drops the second-oldest when it is full. */
export function addHistoryEntry(job: Job, entry: HistoryEntry): void {
  const kept =
    job.history.length < MAX_HISTORY_ENTRIES
      ? job.history
      : [job.history[0]!, ...job.history.slice(2)];
  job.history = [...kept, entry];
}
