/** Creates the gang attempts with which a job is started, renewed and stopped. */
import type {Job} from '@galenavalve/ledger';
import type {Assignment, Term} from '@galenavalve/model';
import type {GangAttempt} from '@galenavalve/targets';

/** Creates the gang attempt for attempt number `attempt` of `job` on `assignments`. */
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

/** Creates the gang attempt for the current attempt of an active job. */
export function toCurrentGangAttempt(job: Job, term: Term): GangAttempt {
  return createGangAttempt(job, job.attempts, term, job.assignments);
}

/** Formats the target names of a gang for log messages; shows at most eight. */
export function formatTargets(assignments: readonly Assignment[]): string {
  const names = assignments.map(({target}) => target);
  const shown = names.slice(0, 8).join(', ');
  return names.length > 8 ? `${shown} and ${names.length - 8} more` : shown;
}
