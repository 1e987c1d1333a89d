/**
 * Conversion of a failure domain's queue to input of the placement package, and
 * backoff after failed starts.
 */
import type {Job, LedgerState} from '@galenavalve/ledger';
import {type Reason, createReason} from '@galenavalve/model';
import type {WaitingJob} from '@galenavalve/placement';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {computeRemainingSeconds} from './cells_projection.js';

/** Delay after the first failed start of a job; doubled at each further failure. */
const BACKOFF_BASE_MS: Milliseconds = 200;

/** Longest delay between two starts of one job. */
const MAX_BACKOFF_MS: Milliseconds = 10_000;

/** Time for which a job avoids a target on which it failed. */
const FAILURE_AVOIDANCE_MS: Milliseconds = 60_000;

/** A queued job that is not passed to the placement policy, and the reason. */
export interface DeferredJob {
  jobId: string;
  reason: Reason;
}

/** Queued jobs that may start now, and those that are deferred. */
export interface WaitingQueue {
  waiting: WaitingJob[];
  deferred: DeferredJob[];
}

interface FailedStart {
  failures: number;
  retryAt: Instant;
}

/** Delays the next start of jobs whose start failed. */
export class StartBackoff {
  private readonly entries = new Map<string, FailedStart>();

  /** Records a failed start; `jitter` in [0, 1) spreads the retries. */
  recordFailure(jobId: string, now: Instant, jitter: number): void {
    const failures = (this.entries.get(jobId)?.failures ?? 0) + 1;
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      BACKOFF_BASE_MS * 2 ** (failures - 1),
    );
    this.entries.set(jobId, {
      failures,
      retryAt: now + maxDelayMs * (0.5 + jitter / 2),
    });
  }

  /** Removes the failures of a job that started or ended. */
  reset(jobId: string): void {
    this.entries.delete(jobId);
  }

  /** Returns the milliseconds until the job may be started again; 0 when it may start now. */
  getRemainingMs(jobId: string, now: Instant): Milliseconds {
    return Math.max(0, (this.entries.get(jobId)?.retryAt ?? now) - now);
  }

  /**
   * Returns the milliseconds until the next delayed job may start; undefined
   * when none is delayed.
   */
  getNextDueMs(now: Instant): Milliseconds | undefined {
    let next: Milliseconds | undefined;
    for (const {retryAt} of this.entries.values()) {
      const remainingMs = retryAt - now;
      if (remainingMs > 0 && (next === undefined || remainingMs < next)) {
        next = remainingMs;
      }
    }
    return next;
  }

  /** Returns the number of consecutive failed starts. */
  countFailures(jobId: string): number {
    return this.entries.get(jobId)?.failures ?? 0;
  }
}

/** Reads the queue of `domain` from the ledger. Leaves out jobs that are starting. */
export function readQueue(
  state: LedgerState,
  domain: string,
  isStarting: (jobId: string) => boolean,
  backoff: StartBackoff,
  now: Instant,
  wallNow: number,
): WaitingQueue {
  const queue: WaitingQueue = {waiting: [], deferred: []};
  for (const job of state.listQueuedJobs(domain)) {
    if (isStarting(job.jobId)) {
      continue;
    }
    const reason = findDeferralReason(state, job, backoff, now);
    if (reason) {
      queue.deferred.push({jobId: job.jobId, reason});
    } else {
      queue.waiting.push(toWaitingJob(job, wallNow));
    }
  }
  return queue;
}

/**
 * Converts a queued job to the input type of the placement package. `wallNow` is
 * wall-clock time. The job avoids targets on which it failed within the last
 * `FAILURE_AVOIDANCE_MS`.
 */
export function toWaitingJob(job: Job, wallNow: number): WaitingJob {
  const {request} = job;
  return {
    jobId: job.jobId,
    workspace: request.workspace,
    gang: request.gang,
    kind: request.kind,
    urgent: request.urgent,
    repeatable: request.repeatable,
    checkpointable: request.checkpointable,
    expectedSeconds: computeRemainingSeconds(job),
    submittedAt: job.submittedAt,
    avoidTargets: job.failures.flatMap(({target, at}) =>
      target !== undefined && wallNow - at < FAILURE_AVOIDANCE_MS
        ? [target]
        : [],
    ),
  };
}

function findDeferralReason(
  state: LedgerState,
  job: Job,
  backoff: StartBackoff,
  now: Instant,
): Reason | undefined {
  const workspace = state.configuration.workspaces.get(job.request.workspace);
  if (workspace?.requiresApproval && !job.approved) {
    return createReason('waiting-approval');
  }
  const remainingMs = backoff.getRemainingMs(job.jobId, now);
  if (remainingMs > 0) {
    return createReason('waiting-backoff', {
      seconds: Math.ceil(remainingMs / 100) / 10,
      failures: backoff.countFailures(job.jobId),
    });
  }
  return undefined;
}
