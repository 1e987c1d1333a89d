/** Stops whole gangs: for cancellation, reclaim, a leaving target or a lost member. */
import type {Job} from '@galenavalve/ledger';
import {type Reason, describeReason} from '@galenavalve/model';
import {type Milliseconds, describeError} from '@galenavalve/shared';
import type {GangMembers, GangStopResult} from '@galenavalve/targets';
import {toCurrentGangAttempt} from './gang_attempt.js';
import type {SchedulerContext} from './scheduler_context.js';

/** Pause between two tries to stop a gang. */
const RETRY_MS: Milliseconds = 500;

/** Ends the members at once, without saving. */
export const STOP_NOW = {checkpoint: false, graceMs: 0};

/** Options of a stop. */
export interface GangStopOptions {
  reason: Reason;
  /** Target that caused the stop, if one did. */
  culprit?: string;
  /** Whether progress is saved first, if the job can. */
  checkpoint: boolean;
}

/** Stops gangs for one term of a domain's scheduler. */
export class GangStopCoordinator {
  private readonly stopping = new Map<string, Promise<void>>();
  /** Jobs whose end is being recorded: there is nothing left to stop. */
  private readonly ending = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Keeps a job from being stopped while `record` records its end. */
  async blockStopsDuring(
    jobId: string,
    record: () => Promise<boolean>,
  ): Promise<boolean> {
    this.ending.add(jobId);
    try {
      return await record();
    } finally {
      this.ending.delete(jobId);
    }
  }

  /** Tells whether the job is being stopped. */
  isStopping(jobId: string): boolean {
    return this.stopping.has(jobId);
  }

  /** Begins to stop a gang; a second call for the same job changes nothing. */
  begin(job: Job, options: GangStopOptions): void {
    const isOver = this.ending.has(job.jobId) || !isActive(job);
    if (this.isStopping(job.jobId) || isOver) {
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
        this.stopping.delete(job.jobId);
        this.context.requestPass();
      });
    this.stopping.set(job.jobId, stop);
  }

  /** Resolves when no stop is under way. */
  async waitUntilIdle(): Promise<void> {
    await Promise.all(this.stopping.values());
  }

  private async stop(job: Job, options: GangStopOptions): Promise<void> {
    const {leaseRenewer: keeper, record, domain, term, logger} = this.context;
    const {attempts: attempt, jobId} = job;
    const rules = this.context.state.configuration.rules;
    const checkpoint = options.checkpoint && job.request.checkpointable;
    const order = toCurrentGangAttempt(job, term);
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
      order,
      {checkpoint, graceMs},
      // Its leases must lapse from now on where the stop did not arrive.
      () => keeper.removeGang(jobId),
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
 * Stops every member of a gang. One that cannot be reached runs on until its
 * lease lapses, so this resolves only then; a job that is queued again
 * afterwards never overlaps with its earlier attempt. `onAsked` is called once
 * every member that answers has stopped.
 */
export async function stopGangAndWait(
  context: SchedulerContext,
  gang: GangMembers,
  options: {checkpoint: boolean; graceMs: Milliseconds},
  onAsked: () => void = () => {},
): Promise<GangStopResult> {
  const {clock, leaseRenewer: keeper, signal, starter} = context;
  const end = clock.now() + options.graceMs + keeper.leaseMs;
  const result = await starter.stop(gang, options);
  onAsked();
  let unreachable = result.unreachable;
  while (unreachable.length > 0 && clock.now() < end && !signal.aborted) {
    await clock.sleep(Math.min(RETRY_MS, end - clock.now()), signal);
    const silent = new Set(unreachable);
    const assignments = gang.assignments.filter(part =>
      silent.has(part.target),
    );
    const again = await starter.stop({...gang, assignments}, STOP_NOW);
    unreachable = again.unreachable;
  }
  return result;
}

function isActive(job: Job): boolean {
  return job.phase === 'placed' || job.phase === 'running';
}
