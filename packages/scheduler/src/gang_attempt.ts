/** The order that starts, keeps and stops one attempt of a job. */
import type {Job} from '@galenavalve/ledger';
import type {Assignment, Term} from '@galenavalve/model';
import type {GangAttempt} from '@galenavalve/targets';

/** The order for an attempt of `job` on `assignments`. */
export function createGangAttempt(
  job: Job,
  attempt: number,
  term: Term,
  assignments: readonly Assignment[],
): GangAttempt {
  const {request} = job;
  return {
    jobId: job.jobId,
    attempt,
    term,
    workspace: request.workspace,
    gang: request.gang,
    assignments,
    checkpointable: request.checkpointable,
    repeatable: request.repeatable,
    payload: request.payload,
    progressSeconds: job.progressSeconds,
  };
}

/** The order for the present attempt of an active job. */
export function toCurrentGangAttempt(job: Job, term: Term): GangAttempt {
  return createGangAttempt(job, job.attempts, term, job.assignments);
}

/** The names of the targets of a gang, for people. */
export function formatTargets(assignments: readonly Assignment[]): string {
  const names = assignments.map(({target}) => target);
  const shown = names.slice(0, 8).join(', ');
  return names.length > 8 ? `${shown} and ${names.length - 8} more` : shown;
}
