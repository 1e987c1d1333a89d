/** Stops whole gangs: for cancellation, reclaim, a leaving target or a lost member. */
import type {Job} from '@galenavalve/ledger';
import {type Reason, describeReason} from '@galenavalve/model';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import {toGangOrder} from './gang_order.js';
import type {SchedulerContext} from './schedule_context.js';

/** Pause between two tries to stop a gang. */
const RETRY_MS: Milliseconds = 500;

/** Options of a stop. */
export interface StopOptions {
  reason: Reason;
  /** Target that caused the stop, if one did. */
  culprit?: string;
  /** Whether progress is saved first, if the job can. */
  checkpoint: boolean;
}

/** Stops gangs for one term of a domain's scheduler. */
export class GangStop {
  private readonly stopping = new Map<string, Promise<void>>();

  constructor(private readonly context: SchedulerContext) {}

  /** Tells whether the job is being stopped. */
  isStopping(jobId: string): boolean {
    return this.stopping.has(jobId);
  }

  /** Begins to stop a gang; a second call for the same job changes nothing. */
  begin(job: Job, options: StopOptions): void {
    if (this.isStopping(job.jobId) || !isActive(job)) {
      return;
    }
    this.context.mirror.markStopping(job.jobId);
    const stop = this.stop(job, options)
      .catch(error => {
        this.context.logger.error('stop-failed', {
          jobId: job.jobId,
          problem: describeError(error),
        });
      })
      .finally(() => {
        this.stopping.delete(job.jobId);
        this.context.poke();
      });
    this.stopping.set(job.jobId, stop);
  }

  /** Resolves when no stop is under way. */
  async settle(): Promise<void> {
    await Promise.all(this.stopping.values());
  }

  private async stop(job: Job, options: StopOptions): Promise<void> {
    const {keeper, starter, record, domain, term, logger} = this.context;
    const {attempts: attempt, jobId} = job;
    const rules = this.context.state.configuration.rules;
    const checkpoint = options.checkpoint && job.request.checkpointable;
    const order = toGangOrder(job, term);
    logger.info('stopping', {
      jobId,
      attempt,
      checkpoint,
      reason: options.reason.code,
      text: describeReason(options.reason),
    });
    const result = await starter.stop(order, {
      checkpoint,
      graceMs: checkpoint ? rules.checkpointGraceSeconds * 1000 : 0,
    });
    keeper.unfollow(jobId);
    if (result.unreachable.length > 0) {
      await this.waitForLapse(job, result.unreachable);
    }
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

  /**
   * A member that cannot be reached runs on until its lease lapses. The job is
   * queued again only after that, so that two attempts never overlap.
   */
  private async waitForLapse(
    job: Job,
    unreachable: readonly string[],
  ): Promise<void> {
    const {clock, keeper, signal, starter, term} = this.context;
    const end = clock.now() + keeper.leaseMs;
    const members = job.assignments.filter(({target}) =>
      unreachable.includes(target),
    );
    const order = {...toGangOrder(job, term), assignments: members};
    while (clock.now() < end && !signal.aborted) {
      await clock.sleep(Math.min(RETRY_MS, end - clock.now()), signal);
      const result = await starter.stop(order, {checkpoint: false, graceMs: 0});
      if (result.unreachable.length === 0) {
        return;
      }
    }
  }
}

function isActive(job: Job): boolean {
  return job.phase === 'placed' || job.phase === 'running';
}
