/** Folds the records of a domain's scheduler about the attempts of jobs. */
import {
  type Assignment,
  type Finished,
  type Placed,
  type Started,
  type Term,
  type Unplaced,
  isSameTerm,
} from '@galenavalve/model';
import {
  ACCEPTED,
  DUPLICATE,
  type FoldDecision,
  reject,
} from '../fold_result.js';
import {type Job, MAX_RETAINED_FAILURES, isActive} from '../job.js';
import type {LedgerState} from '../state.js';
import {hasCurrentTerm} from './claims.js';
import {endJob} from './end_job.js';
import {addRecordToHistory} from './jobs.js';

type AttemptRecord = Placed | Started | Unplaced | Finished;

/** Folds the intent to start a gang. Accepts it only if the job may start at this offset. */
export function foldPlaced(state: LedgerState, record: Placed): FoldDecision {
  const job = state.getJob(record.jobId);
  const rejection =
    checkAttempt(state, job, record) ??
    checkStart(state, job!, record) ??
    checkAssignments(state, job!, record);
  if (rejection) {
    return rejection;
  }
  const assignments = record.assignments.map(assignment =>
    internTargetId(state, assignment),
  );
  state.unfinishedJobs.update(job!, {phase: 'placed', assignments});
  job!.attempts = record.attempt;
  job!.term = internTerm(state, record);
  job!.guaranteed = record.guaranteed;
  job!.placedAt = record.at;
  job!.startedAt = undefined;
  addRecordToHistory(job!, record, record.reason);
  return ACCEPTED;
}

/** Folds the report that every task of the attempt runs. */
export function foldStarted(state: LedgerState, record: Started): FoldDecision {
  const job = state.getJob(record.jobId);
  const rejection =
    checkAttempt(state, job, record) ?? checkActive(job!, record);
  if (rejection) {
    return rejection;
  }
  if (job!.phase === 'running') {
    return DUPLICATE;
  }
  state.unfinishedJobs.update(job!, {phase: 'running'});
  job!.startedAt = record.at;
  job!.mayHaveRun = true;
  return ACCEPTED;
}

/**
 * Folds the end of an attempt without a result: the job is queued again, unless
 * it must not run again.
 */
export function foldUnplaced(
  state: LedgerState,
  record: Unplaced,
  offset: number,
): FoldDecision {
  const job = state.getJob(record.jobId);
  const rejection =
    checkAttempt(state, job, record) ?? checkActive(job!, record);
  if (rejection) {
    return rejection;
  }
  const releasedAssignments = job!.assignments;
  applyUnplaced(job!, record);
  const outcome = computeOutcomeAfterUnplaced(job!);
  if (outcome) {
    endJob(state, job!, {at: record.at, offset, outcome});
  } else {
    state.unfinishedJobs.update(job!, {phase: 'queued', assignments: []});
  }
  return {accepted: true, releasedAssignments};
}

/** Folds the end of a job, with its outcome and results. */
export function foldFinished(
  state: LedgerState,
  record: Finished,
  offset: number,
): FoldDecision {
  const job = state.getJob(record.jobId);
  const rejection =
    checkAttempt(state, job, record) ?? checkOutcome(job!, record);
  if (rejection) {
    return rejection;
  }
  addRecordToHistory(job!, record, record.reason);
  const {at, outcome, results, resultHash} = record;
  const releasedAssignments = endJob(state, job!, {
    at,
    offset,
    outcome,
    results,
    resultHash,
  });
  return {accepted: true, releasedAssignments};
}

function checkAttempt(
  state: LedgerState,
  job: Job | undefined,
  record: AttemptRecord,
): FoldDecision | undefined {
  if (!job) {
    return reject('unknown-job');
  }
  if (job.phase === 'finished') {
    return reject('job-finished');
  }
  if (job.domain !== record.domain) {
    return reject('wrong-domain');
  }
  if (!hasCurrentTerm(state, record)) {
    return reject('stale-term');
  }
  return undefined;
}

function checkActive(
  job: Job,
  record: AttemptRecord,
): FoldDecision | undefined {
  if (job.attempts !== record.attempt) {
    return reject('wrong-attempt');
  }
  return isActive(job) ? undefined : reject('job-not-active');
}

function checkStart(
  state: LedgerState,
  job: Job,
  record: Placed,
): FoldDecision | undefined {
  if (job.phase !== 'queued') {
    return reject('job-not-queued');
  }
  if (record.attempt !== job.attempts + 1) {
    return reject('wrong-attempt');
  }
  if (job.cancelRequested) {
    return reject('cancel-requested');
  }
  const workspace = state.getWorkspace(job.request.workspace);
  if (workspace?.requiresApproval && !job.approved) {
    return reject('not-approved');
  }
  if (state.getDomain(record.domain)?.state !== 'in-service') {
    return reject('domain-not-in-service');
  }
  return undefined;
}

/**
 * Checks that the assignments cover exactly the gang, on targets that accept
 * new work of its workspace.
 */
function checkAssignments(
  state: LedgerState,
  job: Job,
  {assignments, domain}: Placed,
): FoldDecision | undefined {
  const targets = new Set(assignments.map(assignment => assignment.target));
  if (targets.size !== assignments.length || !isWholeGang(job, assignments)) {
    return reject('wrong-gang');
  }
  const {workspace} = job.request;
  if (
    state.getWorkspace(workspace)?.permittedDomains?.includes(domain) === false
  ) {
    return reject('not-permitted');
  }
  for (const id of targets) {
    const target = state.getTarget(id);
    if (target?.domain !== domain || target.state !== 'in-service') {
      return reject('target-not-in-service');
    }
    if (target.permittedWorkspaces?.includes(workspace) === false) {
      return reject('not-permitted');
    }
  }
  return undefined;
}

/** Tells whether the assignments cover each task of the gang exactly once. */
function isWholeGang(job: Job, assignments: readonly Assignment[]): boolean {
  const sorted = [...assignments].sort((a, b) => a.firstTask - b.firstTask);
  let nextTask = 0;
  for (const {firstTask, tasks} of sorted) {
    if (firstTask !== nextTask) {
      return false;
    }
    nextTask += tasks;
  }
  return nextTask === job.request.gang.tasks;
}

/**
 * Checks the outcome of a finished job. A queued job may end without an attempt
 * (attempt 0). `not-run` is accepted only if no task of the job may have run.
 */
function checkOutcome(job: Job, record: Finished): FoldDecision | undefined {
  const {attempt, outcome} = record;
  const isQueued = job.phase === 'queued';
  if (attempt === 0 ? !isQueued : attempt !== job.attempts) {
    return reject('wrong-attempt');
  }
  if (isQueued && outcome === 'succeeded') {
    return reject('wrong-outcome');
  }
  if (attempt === 0 && outcome !== 'not-run' && outcome !== 'cancelled') {
    return reject('wrong-outcome');
  }
  if (outcome === 'not-run' && job.mayHaveRun) {
    return reject('wrong-outcome');
  }
  return undefined;
}

function applyUnplaced(job: Job, record: Unplaced): void {
  job.mayHaveRun ||= record.mayHaveRun;
  job.progressSeconds = Math.max(job.progressSeconds, record.progressSeconds);
  job.lastUnplacedAt = record.at;
  job.guaranteed = false;
  if (record.culprit) {
    const failure = {target: record.culprit, at: record.at};
    job.failures = [...job.failures, failure].slice(-MAX_RETAINED_FAILURES);
  }
  addRecordToHistory(job, record, record.reason);
}

/** Returns the outcome of a job that must not run again; undefined when it is queued again. */
function computeOutcomeAfterUnplaced(
  job: Job,
): 'lost' | 'cancelled' | undefined {
  if (job.mayHaveRun && !job.request.repeatable) {
    return 'lost';
  }
  return job.cancelRequested ? 'cancelled' : undefined;
}

/** Returns the domain's copy of the term if it is equal, which saves memory. */
function internTerm(state: LedgerState, {domain, term}: Placed): Term {
  const current = state.terms.get(domain);
  return current && isSameTerm(current, term) ? current : term;
}

/** Replaces the target id with the configuration's copy of the string, which saves memory. */
function internTargetId(
  state: LedgerState,
  assignment: Assignment,
): Assignment {
  return {
    ...assignment,
    target: state.getTarget(assignment.target)?.id ?? assignment.target,
  };
}
