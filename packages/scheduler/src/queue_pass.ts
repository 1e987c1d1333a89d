/**
 * A pass over the queue of a failure domain: decides which jobs to start, stop
 * or move, and begins to carry out the decisions.
 */
import {
  type Configuration,
  type Reason,
  createReason,
  describeReason,
  isSameTerm,
} from '@galenavalve/model';
import type {PassDecisions, WaitingJob} from '@galenavalve/placement';
import type {Instant} from '@galenavalve/shared';
import {evacuate} from './evacuation.js';
import type {GangLaunchCoordinator} from './gang_launch_coordinator.js';
import {formatTargets} from './gang_attempt.js';
import type {GangStopCoordinator} from './gang_stop_coordinator.js';
import {QueuedJobMover} from './queued_job_mover.js';
import type {SchedulerContext} from './scheduler_context.js';
import type {WaitReasonTracker} from './wait_reason_tracker.js';
import {type StartBackoff, readQueue} from './waiting_queue.js';

/** Dependencies of a pass. */
export interface QueuePassDependencies {
  context: SchedulerContext;
  launchCoordinator: GangLaunchCoordinator;
  stopCoordinator: GangStopCoordinator;
  backoff: StartBackoff;
  waitReasons: WaitReasonTracker;
}

/** Runs the passes of one term of a domain's scheduler. */
export class QueuePass {
  private readonly jobMover: QueuedJobMover;
  /** Names of the domain's targets, cached per configuration. */
  private targetCache?: {configuration: Configuration; names: string[]};

  constructor(private readonly dependencies: QueuePassDependencies) {
    this.jobMover = new QueuedJobMover(dependencies.context);
  }

  /** Runs one pass. */
  run(): void {
    const {context, launchCoordinator, waitReasons} = this.dependencies;
    const now = context.clock.now();
    this.updateConditions(now);
    this.unplaceAbandonedJobs();
    this.stopCancelled();
    evacuate(context, this.dependencies.stopCoordinator);
    const waiting = this.readWaitingJobs(now);
    const blocker = context.findStartBlocker(now, []);
    if (blocker) {
      waiting.forEach(({jobId}) => waitReasons.setReason(jobId, blocker));
    } else {
      this.decide(waiting);
    }
    const queuedJobs = waiting.filter(
      ({jobId}) => !launchCoordinator.isStarting(jobId),
    );
    this.jobMover.moveUnservableJobs(queuedJobs, now, context.clock.wallTime());
  }

  private readWaitingJobs(now: Instant): WaitingJob[] {
    const {context, launchCoordinator, backoff, waitReasons} =
      this.dependencies;
    const {state, domain, clock} = context;
    const {waiting, deferred} = readQueue(
      state,
      domain,
      jobId => launchCoordinator.isStarting(jobId),
      backoff,
      now,
      clock.wallTime(),
    );
    deferred.forEach(({jobId, reason}) => waitReasons.setReason(jobId, reason));
    return waiting;
  }

  private decide(waiting: readonly WaitingJob[]): void {
    const {context, waitReasons} = this.dependencies;
    const {policy, projection, clock} = context;
    const decisions = policy.decide(
      projection.cells,
      waiting,
      clock.wallTime(),
    );
    this.launchPlaced(decisions);
    for (const {forJob, victims, reason} of decisions.reclaims) {
      waitReasons.setReason(forJob, reason);
      this.reclaim(forJob, victims);
    }
    for (const {jobId, reason} of decisions.waits) {
      waitReasons.setReason(jobId, reason);
    }
  }

  private launchPlaced({placements}: PassDecisions): void {
    const {context, launchCoordinator, waitReasons} = this.dependencies;
    for (const decision of placements) {
      context.logger.info('placed', {
        jobId: decision.jobId,
        targets: formatTargets(decision.assignments),
        guaranteed: decision.guaranteed,
        reason: decision.reason.code,
        text: describeReason(decision.reason),
      });
      waitReasons.remove(decision.jobId);
      launchCoordinator.begin(decision);
    }
  }

  private reclaim(forJob: string, victims: readonly string[]): void {
    const {context, stopCoordinator} = this.dependencies;
    const workspace = context.state.getJob(forJob)?.request.workspace ?? '';
    const reason = createReason('preempted-reclaim', {workspace});
    context.logger.info('reclaim', {forJob, victims});
    for (const jobId of victims) {
      const job = context.state.getJob(jobId);
      if (job) {
        stopCoordinator.begin(job, {reason, checkpoint: true});
      }
    }
  }

  /**
   * Appends `unplaced` for jobs that the ledger has as placed though no launch is
   * in progress. This happens when an append with an unknown outcome is accepted
   * after its launch ended. This scheduler has started no task for such a job,
   * and no other scheduler can start one under its term.
   */
  private unplaceAbandonedJobs(): void {
    const {context, launchCoordinator, stopCoordinator} = this.dependencies;
    const {state, domain, term, leaseRenewer} = context;
    for (const job of state.listActiveJobs(domain)) {
      const isAbandoned =
        job.phase === 'placed' &&
        job.term !== undefined &&
        isSameTerm(job.term, term) &&
        !launchCoordinator.isStarting(job.jobId) &&
        !stopCoordinator.isStopping(job.jobId) &&
        !leaseRenewer.hasGang(job.jobId);
      if (isAbandoned) {
        void context.record({
          type: 'unplaced',
          jobId: job.jobId,
          attempt: job.attempts,
          domain,
          term,
          mayHaveRun: false,
          progressSeconds: job.progressSeconds,
          reason: createReason('fenced-not-started'),
        });
      }
    }
  }

  /** Stops running gangs whose job was cancelled, including jobs cancelled during the launch. */
  private stopCancelled(): void {
    const {context, stopCoordinator} = this.dependencies;
    const cancelled = [...context.state.listActiveJobs(context.domain)].filter(
      job => job.phase === 'running' && job.cancelRequested,
    );
    for (const job of cancelled) {
      const reason: Reason =
        job.cancelReason ?? createReason('cancelled', {by: 'its caller'});
      stopCoordinator.begin(job, {reason, checkpoint: false});
    }
  }

  /**
   * Passes the current target conditions to the placement policy. Quarantines
   * expire with time, so every pass does this.
   */
  private updateConditions(now: Instant): void {
    const {health, projection, leaseRenewer} = this.dependencies.context;
    const targets = this.listTargets();
    leaseRenewer.setPolledTargets(targets);
    for (const target of targets) {
      projection.setCondition(target, health.getCondition(target, now));
    }
  }

  private listTargets(): string[] {
    const {state, domain} = this.dependencies.context;
    const {configuration} = state;
    if (this.targetCache?.configuration !== configuration) {
      const names = [...configuration.targets.values()]
        .filter(target => target.domain === domain)
        .map(target => target.id);
      this.targetCache = {configuration, names};
    }
    return this.targetCache.names;
  }
}
