/** Folds the records of callers and operators about jobs. */
import type {
  Approved,
  Cancelled,
  HistoryEntry,
  LogRecord,
  Moved,
  Reason,
  Submitted,
  Withdrawn,
} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';
import {
  ACCEPTED,
  DUPLICATE,
  type FoldDecision,
  reject,
} from '../fold_result.js';
import {type Job, addHistoryEntry, isActive} from '../job.js';
import type {LedgerState} from '../state.js';
import {endJob} from './end_job.js';

/** How far the creation time of a request may be ahead of the time of its record. */
export const MAX_CREATION_SKEW_MS = 60 * 60 * 1000;

/** Number of latest `moved` records of a job whose copies are recognized. */
const MAX_RETAINED_MOVE_IDS = 16;

/** Shared empty list, which saves memory. */
const EMPTY_LIST: readonly never[] = [];

/** Folds a request. The first request with an id wins; an equal one is a duplicate. */
export function foldSubmitted(
  state: LedgerState,
  record: Submitted,
  offset: number,
): FoldDecision {
  const {requestId} = record.request;
  const existing = state.getJobByRequest(requestId);
  if (existing) {
    return existing.bodyHash === record.bodyHash
      ? DUPLICATE
      : reject(
          'request-conflict',
          new Failure('request-conflict', {requestId}),
        );
  }
  const rejection = checkSubmitted(state, record);
  if (rejection) {
    return rejection;
  }
  state.unfinishedJobs.add(createJob(state, record, offset));
  return ACCEPTED;
}

/** Folds a withdrawal: a request id that has no job yet never gets one. */
export function foldWithdrawn(
  state: LedgerState,
  record: Withdrawn,
): FoldDecision {
  if (state.getJobByRequest(record.requestId)) {
    return reject('request-known');
  }
  if (state.isWithdrawn(record.requestId)) {
    return DUPLICATE;
  }
  const latestTime = Math.max(record.at, state.logTime.value);
  const expiresAt =
    latestTime + MAX_CREATION_SKEW_MS + state.options.requestWindow;
  state.withdrawnRequests.add(record.requestId, expiresAt);
  return ACCEPTED;
}

/** Folds the move of a queued job from one failure domain to another. */
export function foldMoved(state: LedgerState, record: Moved): FoldDecision {
  const job = state.getJob(record.jobId);
  if (!job) {
    return reject('unknown-job');
  }
  if (job.moveIds.includes(record.recordId)) {
    return reject('duplicate-record');
  }
  if (job.phase !== 'queued') {
    return reject('job-not-queued');
  }
  if (job.domain !== record.from) {
    return reject('wrong-domain');
  }
  if (!state.getDomain(record.to)) {
    return reject('unknown-domain');
  }
  state.unfinishedJobs.update(job, {phase: 'queued', domain: record.to});
  job.moveIds = [...job.moveIds, record.recordId].slice(-MAX_RETAINED_MOVE_IDS);
  addRecordToHistory(job, record, record.reason);
  return ACCEPTED;
}

/** Folds the approval of a job by an operator. */
export function foldApproved(
  state: LedgerState,
  record: Approved,
): FoldDecision {
  const job = state.getJob(record.jobId);
  if (!job) {
    return reject('unknown-job');
  }
  if (job.phase === 'finished') {
    return reject('job-finished');
  }
  if (job.approved) {
    return DUPLICATE;
  }
  job.approved = true;
  addHistoryEntry(job, {at: record.at, event: 'approved', by: record.author});
  return ACCEPTED;
}

/**
 * Folds a cancellation: a queued job ends at once; a placed or running one is
 * marked to be stopped.
 */
export function foldCancelled(
  state: LedgerState,
  record: Cancelled,
  offset: number,
): FoldDecision {
  const job = state.getJob(record.jobId);
  if (!job) {
    return reject('unknown-job');
  }
  if (job.phase === 'finished') {
    return reject('job-finished');
  }
  if (job.cancelRequested) {
    return DUPLICATE;
  }
  job.cancelRequested = true;
  job.cancelReason = record.reason;
  addRecordToHistory(job, record, record.reason);
  if (!isActive(job)) {
    endJob(state, job, {at: record.at, offset, outcome: 'cancelled'});
  }
  return ACCEPTED;
}

/** Adds a record to the history of its job. */
export function addRecordToHistory(
  job: Job,
  record: LogRecord,
  reason: Reason,
): void {
  const entry: HistoryEntry = {
    at: record.at,
    event: record.type,
    by: record.by,
    reason,
  };
  job.lastReason = reason;
  addHistoryEntry(job, entry);
}

function checkSubmitted(
  state: LedgerState,
  record: Submitted,
): FoldDecision | undefined {
  const {request} = record;
  const {requestId, workspace} = request;
  if (state.isWithdrawn(requestId)) {
    return reject(
      'request-withdrawn',
      new Failure('request-withdrawn', {requestId}),
    );
  }
  if (state.getJob(record.jobId)) {
    return reject('job-id-taken', new Failure('request-conflict', {requestId}));
  }
  return (
    checkCreationTime(state, record) ??
    checkReferences(state, record) ??
    checkQueueLimit(state, workspace)
  );
}

/**
 * Rejects a request that is older than the request window, since it may be a
 * copy of one whose id has expired. Also rejects a creation time far in the
 * future, which would keep the request id for too long.
 */
function checkCreationTime(
  state: LedgerState,
  record: Submitted,
): FoldDecision | undefined {
  const {createdAt} = record.request;
  const {requestWindow} = state.options;
  const ageMs = state.logTime.value - createdAt;
  if (ageMs > requestWindow) {
    const problem = new Failure('request-expired', {
      ageSeconds: Math.round(ageMs / 1000),
      windowSeconds: Math.round(requestWindow / 1000),
    });
    return reject('request-expired', problem);
  }
  if (createdAt > record.at + MAX_CREATION_SKEW_MS) {
    const problem = new Failure('bad-request', {
      problem: 'createdAt is more than an hour in the future',
    });
    return reject('request-expired', problem);
  }
  return undefined;
}

function checkReferences(
  state: LedgerState,
  record: Submitted,
): FoldDecision | undefined {
  const {workspace} = record.request;
  if (!state.getWorkspace(workspace)) {
    return reject(
      'unknown-workspace',
      new Failure('unknown-workspace', {workspace}),
    );
  }
  if (!state.getDomain(record.domain)) {
    const problem = `failure domain ${record.domain} does not exist`;
    return reject('unknown-domain', new Failure('bad-request', {problem}));
  }
  return undefined;
}

function checkQueueLimit(
  state: LedgerState,
  workspace: string,
): FoldDecision | undefined {
  const count = state.countQueuedJobs(workspace);
  const limit = state.getWorkspace(workspace)?.queueLimit ?? 0;
  return count < limit
    ? undefined
    : reject(
        'workspace-limit',
        new Failure('workspace-limit', {workspace, count}),
      );
}

function createJob(state: LedgerState, record: Submitted, offset: number): Job {
  const workspace = state.getWorkspace(record.request.workspace)!;
  const job: Job = {
    jobId: record.jobId,
    // Uses the configuration's copies of the id strings, which saves memory.
    request: {...record.request, workspace: workspace.id},
    bodyHash: record.bodyHash,
    domain: state.getDomain(record.domain)!.id,
    phase: 'queued',
    attempts: 0,
    submittedOffset: offset,
    submittedAt: record.at,
    approved: false,
    cancelRequested: false,
    assignments: EMPTY_LIST,
    guaranteed: false,
    progressSeconds: 0,
    failures: EMPTY_LIST,
    mayHaveRun: false,
    history: EMPTY_LIST,
    moveIds: EMPTY_LIST,
  };
  addRecordToHistory(job, record, record.reason);
  return job;
}
