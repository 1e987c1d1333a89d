/**
 * Stops whole gangs because of a cancellation, a reclaim, a leaving target, or
 * a failed or lost member.
 */
import type {Job} from '@galenavalve/ledger';
import {type Reason, describeReason} from '@galenavalve/model';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {GangMembers, GangStopResult} from '@galenavalve/targets';
import {toCurrentGangAttempt} from './gang_attempt.js';
import type {SchedulerContext} from './scheduler_context.js';

/** Delay before the unreachable members of a gang are stopped again. */
const STOP_RETRY_DELAY_MS: Milliseconds = 500;

/** Stops the members at once, without a checkpoint. */
export const STOP_NOW = {checkpoint: false, graceMs: 0};

/** Options for stopping a gang. */
export interface GangStopOptions {
  reason: Reason;
  /** Target that caused the stop, if any. */
  culprit?: string;
  /** Whether progress is saved first, if the job is checkpointable. */
  checkpoint: boolean;
}

/** Stops gangs for one term of a domain's scheduler. */
export class GangStopCoordinator {
  private readonly stops = new Map<string, Promise<void>>();
  /** Jobs whose end is being recorded; their gangs have already ended. */
  private readonly endingJobIds = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Runs `record`, which records the end of a job; stops of the job are ignored meanwhile. */
  async blockStopsDuring(
    jobId: string,
    record: () => Promise<boolean>,
  ): Promise<boolean> {
    this.endingJobIds.add(jobId);
    try {
      return await record();
    } finally {
      this.endingJobIds.delete(jobId);
    }
  }

  /** Returns whether the job is being stopped. */
  isStopping(jobId: string): boolean {
    return this.stops.has(jobId);
  }

  /** Begins to stop a gang; does nothing when the job is already stopping or has ended. */
  begin(job: Job, options: GangStopOptions): void {
    const hasEnded = this.endingJobIds.has(job.jobId) || !isActive(job);
    if (this.isStopping(job.jobId) || hasEnded) {
      return;
    }
    this.context.projection.markStopping(job.jobId);
    const stop = this.stop(job, options)
      .catch(error => {
        this.context.logger.error('stop-failed', {
          jobId: job.jobId,
          problem: describeError(error),
        });
      })
      .finally(() => {
        this.stops.delete(job.jobId);
        this.context.requestPass();
      });
    this.stops.set(job.jobId, stop);
  }

  /** Resolves when all stops that are in progress have ended. */
  async waitUntilIdle(): Promise<void> {
    await Promise.all(this.stops.values());
  }

  private async stop(job: Job, options: GangStopOptions): Promise<void> {
    const {leaseRenewer, record, domain, term, logger} = this.context;
    const {attempts: attempt, jobId} = job;
    const rules = this.context.state.configuration.rules;
    const checkpoint = options.checkpoint && job.request.checkpointable;
    const gangAttempt = toCurrentGangAttempt(job, term);
    logger.info('stopping', {
      jobId,
      attempt,
      checkpoint,
      reason: options.reason.code,
      text: describeReason(options.reason),
    });
    const graceMs = checkpoint ? rules.checkpointGraceSeconds * 1000 : 0;
    const result = await stopGangAndWait(
      this.context,
      gangAttempt,
      {checkpoint, graceMs},
      // On a target that the stop did not reach, the lease must expire, so it is
      // not renewed any more.
      () => leaseRenewer.removeGang(jobId),
    );
    await record({
      type: 'unplaced',
      jobId,
      attempt,
      domain,
      term,
      mayHaveRun: true,
      progressSeconds: checkpoint
        ? Math.max(job.progressSeconds, result.progressSeconds)
        : job.progressSeconds,
      culprit: options.culprit,
      reason: options.reason,
    });
  }
}

/**
 * Stops every member of a gang. A member that is unreachable keeps running until
 * its lease expires, and the promise resolves only then, so that a job that is
 * queued again never overlaps with its earlier attempt. Calls
 * `onReachableStopped` once every reachable member has stopped.
 */
export async function stopGangAndWait(
  context: SchedulerContext,
  gang: GangMembers,
  options: {checkpoint: boolean; graceMs: Milliseconds},
  onReachableStopped: () => void = () => {},
): Promise<GangStopResult> {
  const {clock, leaseRenewer, signal, starter} = context;
  const deadline = clock.now() + options.graceMs + leaseRenewer.leaseMs;
  const result = await starter.stop(gang, options);
  onReachableStopped();
  let unreachable = result.unreachable;
  while (unreachable.length > 0 && clock.now() < deadline && !signal.aborted) {
    await clock.sleep(
      Math.min(STOP_RETRY_DELAY_MS, deadline - clock.now()),
      signal,
    );
    const unreachableTargets = new Set(unreachable);
    const assignments = gang.assignments.filter(assignment =>
      unreachableTargets.has(assignment.target),
    );
    const retryResult = await starter.stop({...gang, assignments}, STOP_NOW);
    unreachable = retryResult.unreachable;
  }
  return result;
}

function isActive(job: Job): boolean {
  return job.phase === 'placed' || job.phase === 'running';
}
