/** What is to run where: the input of starting, keeping and stopping a gang. */
import type {Assignment, GangShape, JobRequest, Term} from '@galenavalve/model';
import type {LeaseKey, Reservation, TargetAddress} from './target_client.js';

/** One attempt to run a gang on given targets. */
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

/** What is needed to stop a gang. */
export type GangMembers = Pick<
  GangAttempt,
  'jobId' | 'attempt' | 'term' | 'assignments'
>;

/** Finds where a target is reached; undefined for one that is no longer in the inventory. */
export type AddressLookup = (target: string) => TargetAddress | undefined;

/** The reservation of one member. */
export function createReservation(
  order: GangAttempt,
  assignment: Assignment,
  ttlMs: number,
): Reservation {
  const {processors, memoryMb} = order.gang.perTask;
  return {
    ...toLeaseKey(order),
    term: order.term,
    workspace: order.workspace,
    firstTask: assignment.firstTask,
    tasks: assignment.tasks,
    accelerators: assignment.accelerators,
    processors,
    memoryMb,
    checkpointable: order.checkpointable,
    ttlMs,
  };
}

/** The lease key of an attempt, the same on each of its targets. */
export function toLeaseKey(order: LeaseKey): LeaseKey {
  return {jobId: order.jobId, attempt: order.attempt};
}

/** The lease key as a text, for maps. */
export function formatLeaseKey(key: LeaseKey): string {
  return `${key.jobId}/${key.attempt}`;
}
