/** Verdicts on what the scheduler of a domain records about attempts. */
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

/** The intent to start a gang, if nothing stands against it at this offset. */
export function foldPlaced(state: LedgerState, record: Placed): FoldDecision {
  const job = state.getJob(record.jobId);
  const refusal =
    refuseAttempt(state, job, record) ??
    refuseStart(state, job!, record) ??
    refuseAssignments(state, job!, record);
  if (refusal) {
    return refusal;
  }
  const assignments = record.assignments.map(part => shareName(state, part));
  state.unfinishedJobs.update(job!, {phase: 'placed', assignments});
  job!.attempts = record.attempt;
  job!.term = shareTerm(state, record);
  job!.guaranteed = record.guaranteed;
  job!.placedAt = record.at;
  job!.startedAt = undefined;
  addRecordToHistory(job!, record, record.reason);
  return ACCEPTED;
}

/** Every task of the attempt runs. */
export function foldStarted(state: LedgerState, record: Started): FoldDecision {
  const job = state.getJob(record.jobId);
  const refusal =
    refuseAttempt(state, job, record) ?? refuseInactive(job!, record);
  if (refusal) {
    return refusal;
  }
  if (job!.phase === 'running') {
    return DUPLICATE;
  }
  state.unfinishedJobs.update(job!, {phase: 'running'});
  job!.startedAt = record.at;
  job!.mayHaveRun = true;
  return ACCEPTED;
}

/** The attempt ended without a result: the job waits again, unless it must not. */
export function foldUnplaced(
  state: LedgerState,
  record: Unplaced,
  offset: number,
): FoldDecision {
  const job = state.getJob(record.jobId);
  const refusal =
    refuseAttempt(state, job, record) ?? refuseInactive(job!, record);
  if (refusal) {
    return refusal;
  }
  const released = job!.assignments;
  noteUnplaced(job!, record);
  const outcome = outcomeOfUnplaced(job!);
  if (outcome) {
    endJob(state, job!, {at: record.at, offset, outcome});
  } else {
    state.unfinishedJobs.update(job!, {phase: 'queued', assignments: []});
  }
  return {accepted: true, releasedAssignments: released};
}

/** The job has ended, with its whole answer. */
export function foldFinished(
  state: LedgerState,
  record: Finished,
  offset: number,
): FoldDecision {
  const job = state.getJob(record.jobId);
  const refusal =
    refuseAttempt(state, job, record) ?? refuseOutcome(job!, record);
  if (refusal) {
    return refusal;
  }
  addRecordToHistory(job!, record, record.reason);
  const {at, outcome, results, resultHash} = record;
  const released = endJob(state, job!, {
    at,
    offset,
    outcome,
    results,
    resultHash,
  });
  return {accepted: true, releasedAssignments: released};
}

function refuseAttempt(
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

function refuseInactive(
  job: Job,
  record: AttemptRecord,
): FoldDecision | undefined {
  if (job.attempts !== record.attempt) {
    return reject('wrong-attempt');
  }
  return isActive(job) ? undefined : reject('job-not-active');
}

function refuseStart(
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

/** Checks that the whole gang, and no more, lies on targets that take its workspace's new work. */
function refuseAssignments(
  state: LedgerState,
  job: Job,
  {assignments, domain}: Placed,
): FoldDecision | undefined {
  const targets = new Set(assignments.map(part => part.target));
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

/** Tells whether the parts cover each task of the gang once. */
function isWholeGang(job: Job, assignments: readonly Assignment[]): boolean {
  const parts = [...assignments].sort((a, b) => a.firstTask - b.firstTask);
  let next = 0;
  for (const {firstTask, tasks} of parts) {
    if (firstTask !== next) {
      return false;
    }
    next += tasks;
  }
  return next === job.request.gang.tasks;
}

/**
 * A queued job may be ended without an attempt. "Not run" is accepted only
 * where it is true.
 */
function refuseOutcome(job: Job, record: Finished): FoldDecision | undefined {
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

function noteUnplaced(job: Job, record: Unplaced): void {
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

/** The outcome of a job that must not run again, or undefined when it waits again. */
function outcomeOfUnplaced(job: Job): 'lost' | 'cancelled' | undefined {
  if (job.mayHaveRun && !job.request.repeatable) {
    return 'lost';
  }
  return job.cancelRequested ? 'cancelled' : undefined;
}

/** Uses the domain's copy of the term, where it is the same. */
function shareTerm(state: LedgerState, {domain, term}: Placed): Term {
  const present = state.terms.get(domain);
  return present && isSameTerm(present, term) ? present : term;
}

/** Uses the configuration's copy of the target's name, which saves memory. */
function shareName(state: LedgerState, part: Assignment): Assignment {
  return {...part, target: state.getTarget(part.target)?.id ?? part.target};
}
