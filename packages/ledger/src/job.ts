/** Jobs as the fold derives them from the log. */
import type {
  Assignment,
  HistoryEntry,
  JobPhase,
  JobRequest,
  Outcome,
  Reason,
  Term,
} from '@galenavalve/model';

/**
 * Largest number of history entries of a job. When it is exceeded, the oldest
 * entry after the first is dropped.
 */
export const MAX_HISTORY_ENTRIES = 24;

/** Number of latest failures that are retained for a job. */
export const MAX_RETAINED_FAILURES = 16;

/** A failed attempt, with the target that caused it. */
export interface JobFailure {
  target?: string;
  /** Wall-clock time of the record in milliseconds since the Unix epoch. */
  at: number;
}

/**
 * A job as the accepted records define it. Only the fold changes it. Times are
 * wall-clock milliseconds since the Unix epoch, as the writers recorded them.
 */
export interface Job {
  readonly jobId: string;
  /** The payload is dropped when the job finishes. */
  request: JobRequest;
  readonly bodyHash: string;
  domain: string;
  phase: JobPhase;
  /** Number of the latest placed attempt; 0 if there was none. */
  attempts: number;
  readonly submittedOffset: number;
  readonly submittedAt: number;
  approved: boolean;
  cancelRequested: boolean;
  cancelReason?: Reason;
  /** Placement of the current attempt; empty if there is none. */
  assignments: readonly Assignment[];
  /** Whether the current attempt is within the guarantee of the workspace. */
  guaranteed: boolean;
  /** Term under which the latest attempt was placed. */
  term?: Term;
  placedAt?: number;
  startedAt?: number;
  finishedAt?: number;
  /** Progress saved by checkpoints, in seconds of run time of the whole job. */
  progressSeconds: number;
  failures: readonly JobFailure[];
  /** Whether any task of any attempt may have run. If so, the outcome is never `not-run`. */
  mayHaveRun: boolean;
  outcome?: Outcome;
  /** Undefined when the results were dropped to bound memory; the log may still retain them. */
  results?: unknown[];
  resultHash?: string;
  /** Offset of the record that ended the job. */
  finishedOffset?: number;
  lastReason?: Reason;
  lastUnplacedAt?: number;
  history: readonly HistoryEntry[];
  /** Ids of the latest accepted `moved` records, used to reject late copies of them. */
  moveIds: readonly string[];
}

/** Returns whether an attempt of the job is placed or running. */
export function isActive(job: Job): boolean {
  return job.phase === 'placed' || job.phase === 'running';
}

/** Adds an entry to the history, and drops the second-oldest entry when the history is full. */
export function addHistoryEntry(job: Job, entry: HistoryEntry): void {
  const retained =
    job.history.length < MAX_HISTORY_ENTRIES
      ? job.history
      : [job.history[0]!, ...job.history.slice(2)];
  job.history = [...retained, entry];
}
