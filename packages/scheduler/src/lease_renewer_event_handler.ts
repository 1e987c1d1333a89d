/** Turns what the lease keeper sees into records: results, failures and lost members. */
import type {Job} from '@galenavalve/ledger';
import {
  MAX_RESULT_BYTES,
  type Outcome,
  type Reason,
  createReason,
  describeReason,
} from '@galenavalve/model';
import {hashValue} from '@galenavalve/shared';
import type {LeaseRenewerEvent} from '@galenavalve/targets';
import {
  type GangStopCoordinator,
  STOP_NOW,
  stopGangAndWait,
} from './gang_stop_coordinator.js';
import {toCurrentGangAttempt} from './gang_attempt.js';
import type {SchedulerContext} from './scheduler_context.js';

/** The end of a job, ready to be recorded. */
interface Ending {
  outcome: Outcome;
  results: unknown[];
  ranSeconds: number;
  reason: Reason;
}

/** Watches the running gangs for one term of a domain's scheduler. */
export class LeaseRenewerEventHandler {
  constructor(
    private readonly context: SchedulerContext,
    private readonly stop: GangStopCoordinator,
  ) {}

  /** Handles one event of the lease keeper. */
  onEvent(event: LeaseRenewerEvent): void {
    switch (event.kind) {
      case 'succeeded':
        this.onSucceeded(event);
        return;
      case 'failed':
        this.onFailed(event);
        return;
      case 'member-lost':
        this.onMemberLost(event);
        return;
      case 'target-leaving':
        this.context.health.setLeaving(event.target, true);
        break;
      case 'target-staying':
        this.context.health.setLeaving(event.target, false);
        break;
      case 'target-silent':
        this.context.health.setUnreachable(event.target, true);
        break;
      case 'target-answering':
        this.context.health.setUnreachable(event.target, false);
        break;
      default:
        return;
    }
    this.context.requestPass();
  }

  private onSucceeded(event: LeaseRenewerEvent & {kind: 'succeeded'}): void {
    const job = this.findPresent(event.jobId, event.attempt);
    if (!job) {
      return;
    }
    for (const {target} of job.assignments) {
      this.context.health.noteSuccess(target, this.context.clock.now());
    }
    const bytes = JSON.stringify(event.results).length;
    const tooLarge = bytes > MAX_RESULT_BYTES;
    void this.finish(job, {
      outcome: tooLarge ? 'failed' : 'succeeded',
      results: tooLarge ? [] : event.results,
      ranSeconds: event.ranSeconds,
      reason: tooLarge
        ? createReason('result-too-large', {
            bytes,
            limitBytes: MAX_RESULT_BYTES,
          })
        : createReason('finished', {tasks: job.request.gang.tasks}),
    });
  }

  private onFailed(event: LeaseRenewerEvent & {kind: 'failed'}): void {
    const job = this.findPresent(event.jobId, event.attempt);
    if (!job || this.stop.isStopping(job.jobId)) {
      return;
    }
    const {clock, health, logger} = this.context;
    const reason = createReason('task-failed', {
      task: event.task ?? 0,
      target: event.culprit,
      problem: event.problem,
    });
    logger.info('task-failed', {
      jobId: job.jobId,
      attempt: event.attempt,
      target: event.culprit,
      text: describeReason(reason),
    });
    health.noteFailure(event.culprit, job.jobId, clock.now());
    const failedTargets = new Set(job.failures.map(({target}) => target));
    failedTargets.add(event.culprit);
    const limit = this.context.state.configuration.rules.jobFailures;
    // A gang that fits in few places cannot fail on many targets.
    const isHopeless =
      failedTargets.size >= limit || job.failures.length + 1 >= 2 * limit;
    if (!job.request.repeatable || isHopeless) {
      void this.endFailing(job, failedTargets.size, reason);
      return;
    }
    this.stop.begin(job, {reason, culprit: event.culprit, checkpoint: false});
  }

  private onMemberLost(event: LeaseRenewerEvent & {kind: 'member-lost'}): void {
    const job = this.findPresent(event.jobId, event.attempt);
    if (job) {
      const reason = createReason('stopped-member', {
        target: event.culprit,
        problem: event.problem,
      });
      this.stop.begin(job, {reason, checkpoint: false});
    }
  }

  /** Ends a job that failed for good: its other tasks are stopped first. */
  private async endFailing(
    job: Job,
    failures: number,
    cause: Reason,
  ): Promise<void> {
    const order = toCurrentGangAttempt(job, this.context.term);
    await stopGangAndWait(this.context, order, STOP_NOW);
    await this.finish(job, {
      outcome: 'failed',
      results: [],
      ranSeconds: 0,
      reason: failures > 1 ? createReason('job-failing', {failures}) : cause,
    });
  }

  private async finish(job: Job, ending: Ending): Promise<void> {
    const {leaseRenewer: keeper, record, domain, term, logger} = this.context;
    const {jobId, attempts: attempt} = job;
    logger.info('finished', {
      jobId,
      attempt,
      outcome: ending.outcome,
      text: describeReason(ending.reason),
    });
    const isAccepted = await this.stop.blockStopsDuring(jobId, () =>
      record({
        type: 'finished',
        jobId,
        attempt,
        domain,
        term,
        outcome: ending.outcome,
        results: ending.results as never[],
        resultHash: hashValue(ending.results),
        ranSeconds: ending.ranSeconds,
        reason: ending.reason,
      }),
    );
    if (isAccepted) {
      keeper.acknowledgeEnd(jobId, attempt);
    }
    // The record may come too late, when another attempt is already kept.
    if (this.context.state.getJob(jobId)?.attempts === attempt) {
      keeper.removeGang(jobId);
    }
    this.context.requestPass();
  }

  private findPresent(jobId: string, attempt: number): Job | undefined {
    const job = this.context.state.getJob(jobId);
    const isPresent =
      job?.attempts === attempt &&
      (job.phase === 'placed' || job.phase === 'running');
    return isPresent ? job : undefined;
  }
}
