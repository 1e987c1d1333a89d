/** Gang attempts: the input for starting, renewing and stopping a gang. */
import type {Assignment, GangShape, JobRequest, Term} from '@galenavalve/model';
import type {LeaseKey, Reservation, TargetAddress} from './target_client.js';

/** One attempt to run a gang on given targets. `attempt` counts from 1. */
export interface GangAttempt {
  jobId: string;
  attempt: number;
  term: Term;
  workspace: string;
  gang: GangShape;
  assignments: readonly Assignment[];
  checkpointable: boolean;
  repeatable: boolean;
  payload: JobRequest['payload'];
  /** Progress to resume from, in seconds. */
  progressSeconds: number;
}

/** The part of a gang attempt that is needed to stop the gang. */
export type GangMembers = Pick<
  GangAttempt,
  'jobId' | 'attempt' | 'term' | 'assignments'
>;

/** Returns the address of a target; undefined when it is no longer in the inventory. */
export type AddressLookup = (target: string) => TargetAddress | undefined;

/** Creates the reservation of one member; `ttlMs` is its time to live. */
export function createReservation(
  gangAttempt: GangAttempt,
  assignment: Assignment,
  ttlMs: number,
): Reservation {
  const {processors, memoryMb} = gangAttempt.gang.perTask;
  return {
    ...toLeaseKey(gangAttempt),
    term: gangAttempt.term,
    workspace: gangAttempt.workspace,
    firstTask: assignment.firstTask,
    tasks: assignment.tasks,
    accelerators: assignment.accelerators,
    processors,
    memoryMb,
    checkpointable: gangAttempt.checkpointable,
    ttlMs,
  };
}

/** Returns the lease key of an attempt, which is the same on all of its targets. */
export function toLeaseKey(key: LeaseKey): LeaseKey {
  return {jobId: key.jobId, attempt: key.attempt};
}

/** Formats a lease key as a map key. */
export function formatLeaseKey(key: LeaseKey): string {
  return `${key.jobId}/${key.attempt}`;
}
