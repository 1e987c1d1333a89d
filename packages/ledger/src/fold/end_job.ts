/** Ends jobs in the state. */
import type {Assignment, Outcome} from '@galenavalve/model';
import type {Job} from '../job.js';
import type {LedgerState} from '../state.js';

/** How a job ends. */
export interface JobEnd {
  /** Wall-clock time of the record in milliseconds since the Unix epoch. */
  at: number;
  /** Offset of the record. */
  offset: number;
  outcome: Outcome;
  results?: unknown[];
  resultHash?: string;
}

/** Ends a job, and returns the assignments that it released. Drops its payload. */
export function endJob(
  state: LedgerState,
  job: Job,
  end: JobEnd,
): readonly Assignment[] {
  const releasedAssignments = job.assignments;
  state.unfinishedJobs.remove(job);
  job.phase = 'finished';
  job.assignments = [];
  job.finishedAt = end.at;
  job.finishedOffset = end.offset;
  job.outcome = end.outcome;
  job.results = end.results;
  job.resultHash = end.resultHash;
  job.request = {...job.request, payload: {}};
  state.finishedJobs.add(job);
  return releasedAssignments;
}
