/** The queue of a failure domain as the placement package sees it. */
import type {Job, LedgerState} from '@galenavalve/ledger';
import {type Reason, createReason} from '@galenavalve/model';
import type {WaitingJob} from '@galenavalve/placement';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {computeRemainingSeconds} from './cells_projection.js';

/** Waiting time after the first failure of a job's start, doubled at each repetition. */
const BACKOFF_BASE_MS: Milliseconds = 200;

/** Longest waiting time between two tries of one job. */
const BACKOFF_CAP_MS: Milliseconds = 10_000;

/** How long a job avoids a target on which it failed. */
const FAILURE_AVOIDANCE_MS: Milliseconds = 60_000;

/** A job that is not offered to the policy, and why. */
export interface HeldJob {
  jobId: string;
  reason: Reason;
}

/** Jobs that may start now, and those that may not yet. */
export interface WaitingQueue {
  waiting: WaitingJob[];
  held: HeldJob[];
}

interface FailedStart {
  failures: number;
  until: Instant;
}

/** Delays the next try of jobs whose start failed. */
export class StartBackoff {
  private readonly entries = new Map<string, FailedStart>();

  /** Notes a failed start; `jitter` in [0, 1) spreads the tries. */
  noteFailure(jobId: string, now: Instant, jitter: number): void {
    const failures = (this.entries.get(jobId)?.failures ?? 0) + 1;
    const ceiling = Math.min(
      BACKOFF_CAP_MS,
      BACKOFF_BASE_MS * 2 ** (failures - 1),
    );
    this.entries.set(jobId, {
      failures,
      until: now + ceiling * (0.5 + jitter / 2),
    });
  }

  /** Forgets a job that started or ended. */
  reset(jobId: string): void {
    this.entries.delete(jobId);
  }

  /** Milliseconds until the job may be tried again; 0 when it may be tried now. */
  getRemainingMs(jobId: string, now: Instant): Milliseconds {
    return Math.max(0, (this.entries.get(jobId)?.until ?? now) - now);
  }

  /** Milliseconds until the next waiting job may be tried; undefined when none waits. */
  getNextDueMs(now: Instant): Milliseconds | undefined {
    let next: Milliseconds | undefined;
    for (const {until} of this.entries.values()) {
      const remaining = until - now;
      if (remaining > 0 && (next === undefined || remaining < next)) {
        next = remaining;
      }
    }
    return next;
  }

  /** Failed starts in a row. */
  countFailures(jobId: string): number {
    return this.entries.get(jobId)?.failures ?? 0;
  }
}

/** Reads the queue of `domain` from the ledger. */
export function readQueue(
  state: LedgerState,
  domain: string,
  isStarting: (jobId: string) => boolean,
  backoff: StartBackoff,
  now: Instant,
  wallNow: number,
): WaitingQueue {
  const queue: WaitingQueue = {waiting: [], held: []};
  for (const job of state.listQueuedJobs(domain)) {
    if (isStarting(job.jobId)) {
      continue;
    }
    const reason = findHold(state, job, backoff, now);
    if (reason) {
      queue.held.push({jobId: job.jobId, reason});
    } else {
      queue.waiting.push(toWaitingJob(job, wallNow));
    }
  }
  return queue;
}

/**
 * A queued job as the placement package sees it. `wallNow` is wall-clock time;
 * targets on which the job failed lately are avoided.
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

function findHold(
  state: LedgerState,
  job: Job,
  backoff: StartBackoff,
  now: Instant,
): Reason | undefined {
  const workspace = state.configuration.workspaces.get(job.request.workspace);
  if (workspace?.requiresApproval && !job.approved) {
    return createReason('waiting-approval');
  }
  const remaining = backoff.getRemainingMs(job.jobId, now);
  if (remaining > 0) {
    return createReason('waiting-backoff', {
      seconds: Math.ceil(remaining / 100) / 10,
      failures: backoff.countFailures(job.jobId),
    });
  }
  return undefined;
}
