/** The outcome of folding one log entry. */
import type {Assignment, LogRecord} from '@galenavalve/model';
import type {Failure} from '@galenavalve/shared';

/** Why the fold rejected a record. */
export type Rejection =
  | 'record-invalid'
  | 'request-conflict'
  | 'request-expired'
  | 'request-withdrawn'
  | 'request-known'
  | 'job-id-taken'
  | 'unknown-workspace'
  | 'unknown-domain'
  | 'workspace-limit'
  | 'unknown-job'
  | 'job-finished'
  | 'job-not-queued'
  | 'job-not-active'
  | 'wrong-domain'
  | 'wrong-attempt'
  | 'wrong-outcome'
  | 'wrong-gang'
  | 'stale-term'
  | 'term-taken'
  | 'cancel-requested'
  | 'not-approved'
  | 'domain-not-in-service'
  | 'target-not-in-service'
  | 'not-permitted'
  | 'duplicate-record'
  | 'config-conflict'
  | 'config-invalid'
  | 'guarantee-shortfall';

/** The outcome of one entry: accepted or rejected. It is the same on every instance. */
export interface FoldResult {
  offset: number;
  accepted: boolean;
  /** Undefined when the entry is not a valid record. */
  record?: LogRecord;
  rejection?: Rejection;
  /** The rejection as an error for the caller, if the rejection has one. */
  problem?: Failure;
  /** Whether this is an accepted copy that changed nothing, such as a request submitted again. */
  duplicate?: boolean;
  /** Assignments of the attempt that the record ended. */
  releasedAssignments?: readonly Assignment[];
}

/** A fold result before the offset and the record are added. */
export type FoldDecision = Omit<FoldResult, 'offset' | 'record'>;

/** Decision for a record that takes effect. */
export const ACCEPTED: FoldDecision = {accepted: true};

/** Decision for a copy of a record that took effect before. */
export const DUPLICATE: FoldDecision = {accepted: true, duplicate: true};

/** Creates the decision that rejects a record. */
export function reject(rejection: Rejection, problem?: Failure): FoldDecision {
  return problem
    ? {accepted: false, rejection, problem}
    : {accepted: false, rejection};
}
