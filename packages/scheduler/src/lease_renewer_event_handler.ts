/**
 * Handles the events of the lease renewer: records job ends, stops gangs and
 * updates target health.
 */
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

/** The end of a job, as it is recorded. */
interface JobEnd {
  outcome: Outcome;
  results: unknown[];
  ranSeconds: number;
  reason: Reason;
}

/** Handles lease renewer events during one term of a domain's scheduler. */
export class LeaseRenewerEventHandler {
  constructor(
    private readonly context: SchedulerContext,
    private readonly stopCoordinator: GangStopCoordinator,
  ) {}

  /** Handles one event; ignores gang events of attempts that are not current. */
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
    const job = this.findCurrentAttempt(event.jobId, event.attempt);
    if (!job) {
      return;
    }
    for (const {target} of job.assignments) {
      this.context.health.recordSuccess(target, this.context.clock.now());
    }
    const bytes = JSON.stringify(event.results).length;
    const isTooLarge = bytes > MAX_RESULT_BYTES;
    void this.finish(job, {
      outcome: isTooLarge ? 'failed' : 'succeeded',
      results: isTooLarge ? [] : event.results,
      ranSeconds: event.ranSeconds,
      reason: isTooLarge
        ? createReason('result-too-large', {
            bytes,
            limitBytes: MAX_RESULT_BYTES,
          })
        : createReason('finished', {tasks: job.request.gang.tasks}),
    });
  }

  private onFailed(event: LeaseRenewerEvent & {kind: 'failed'}): void {
    const job = this.findCurrentAttempt(event.jobId, event.attempt);
    if (!job || this.stopCoordinator.isStopping(job.jobId)) {
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
    health.recordFailure(event.culprit, job.jobId, clock.now());
    const failedTargets = new Set(job.failures.map(({target}) => target));
    failedTargets.add(event.culprit);
    const limit = this.context.state.configuration.rules.jobFailures;
    // A gang that fits on few targets cannot fail on `limit` different ones, so
    // its total number of failures is limited too.
    const hasReachedFailureLimit =
      failedTargets.size >= limit || job.failures.length + 1 >= 2 * limit;
    if (!job.request.repeatable || hasReachedFailureLimit) {
      void this.failJob(job, failedTargets.size, reason);
      return;
    }
    this.stopCoordinator.begin(job, {
      reason,
      culprit: event.culprit,
      checkpoint: false,
    });
  }

  private onMemberLost(event: LeaseRenewerEvent & {kind: 'member-lost'}): void {
    const job = this.findCurrentAttempt(event.jobId, event.attempt);
    if (job) {
      const reason = createReason('stopped-member', {
        target: event.culprit,
        problem: event.problem,
      });
      this.stopCoordinator.begin(job, {reason, checkpoint: false});
    }
  }

  /** Ends a job as failed, after stopping the other tasks of its gang. */
  private async failJob(
    job: Job,
    failures: number,
    cause: Reason,
  ): Promise<void> {
    const gangAttempt = toCurrentGangAttempt(job, this.context.term);
    await stopGangAndWait(this.context, gangAttempt, STOP_NOW);
    await this.finish(job, {
      outcome: 'failed',
      results: [],
      ranSeconds: 0,
      reason: failures > 1 ? createReason('job-failing', {failures}) : cause,
    });
  }

  private async finish(job: Job, jobEnd: JobEnd): Promise<void> {
    const {leaseRenewer, record, domain, term, logger} = this.context;
    const {jobId, attempts: attempt} = job;
    logger.info('finished', {
      jobId,
      attempt,
      outcome: jobEnd.outcome,
      text: describeReason(jobEnd.reason),
    });
    const isAccepted = await this.stopCoordinator.blockStopsDuring(jobId, () =>
      record({
        type: 'finished',
        jobId,
        attempt,
        domain,
        term,
        outcome: jobEnd.outcome,
        results: jobEnd.results as never[],
        resultHash: hashValue(jobEnd.results),
        ranSeconds: jobEnd.ranSeconds,
        reason: jobEnd.reason,
      }),
    );
    if (isAccepted) {
      leaseRenewer.acknowledgeEnd(jobId, attempt);
    }
    // The record may be late, when a newer attempt of the job is already renewed.
    if (this.context.state.getJob(jobId)?.attempts === attempt) {
      leaseRenewer.removeGang(jobId);
    }
    this.context.requestPass();
  }

  private findCurrentAttempt(jobId: string, attempt: number): Job | undefined {
    const job = this.context.state.getJob(jobId);
    const isCurrent =
      job?.attempts === attempt &&
      (job.phase === 'placed' || job.phase === 'running');
    return isCurrent ? job : undefined;
  }
}
