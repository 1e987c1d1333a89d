/** One pass over the queue of a failure domain: decides, and sets off what was decided. */
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

/** What a pass works with. */
export interface QueuePassDependencies {
  context: SchedulerContext;
  launchCoordinator: GangLaunchCoordinator;
  stopCoordinator: GangStopCoordinator;
  backoff: StartBackoff;
  waitReasons: WaitReasonTracker;
}

/** The passes of one term of a domain's scheduler. */
export class QueuePass {
  private readonly moves: QueuedJobMover;
  /** The domain's targets, remembered while the configuration stays the same. */
  private targets?: {configuration: Configuration; names: string[]};

  constructor(private readonly parts: QueuePassDependencies) {
    this.moves = new QueuedJobMover(parts.context);
  }

  /** Runs a pass now. */
  run(): void {
    const {context, launchCoordinator: launch, waitReasons: waits} = this.parts;
    const now = context.clock.now();
    this.refreshConditions(now);
    this.takeBackOrphans();
    this.stopCancelled();
    evacuate(context, this.parts.stopCoordinator);
    const waiting = this.readWaiting(now);
    const bar = context.findStartBlocker(now, []);
    if (bar) {
      waiting.forEach(({jobId}) => waits.setReason(jobId, bar));
    } else {
      this.decide(waiting);
    }
    const staying = waiting.filter(({jobId}) => !launch.isStarting(jobId));
    this.moves.moveUnservableJobs(staying, now, context.clock.wallTime());
  }

  private readWaiting(now: Instant): WaitingJob[] {
    const {
      context,
      launchCoordinator: launch,
      backoff,
      waitReasons: waits,
    } = this.parts;
    const {state, domain, clock} = context;
    const {waiting, held} = readQueue(
      state,
      domain,
      jobId => launch.isStarting(jobId),
      backoff,
      now,
      clock.wallTime(),
    );
    held.forEach(({jobId, reason}) => waits.setReason(jobId, reason));
    return waiting;
  }

  private decide(waiting: readonly WaitingJob[]): void {
    const {context, waitReasons: waits} = this.parts;
    const {policy, projection: mirror, clock} = context;
    const decisions = policy.decide(mirror.cells, waiting, clock.wallTime());
    this.launchPlaced(decisions);
    for (const {forJob, victims, reason} of decisions.reclaims) {
      waits.setReason(forJob, reason);
      this.reclaim(forJob, victims);
    }
    for (const {jobId, reason} of decisions.waits) {
      waits.setReason(jobId, reason);
    }
  }

  private launchPlaced({placements}: PassDecisions): void {
    const {context, launchCoordinator: launch, waitReasons: waits} = this.parts;
    for (const decision of placements) {
      context.logger.info('placed', {
        jobId: decision.jobId,
        targets: formatTargets(decision.assignments),
        guaranteed: decision.guaranteed,
        reason: decision.reason.code,
        text: describeReason(decision.reason),
      });
      waits.remove(decision.jobId);
      launch.begin(decision);
    }
  }

  private reclaim(forJob: string, victims: readonly string[]): void {
    const {context, stopCoordinator: stop} = this.parts;
    const workspace = context.state.getJob(forJob)?.request.workspace ?? '';
    const reason = createReason('preempted-reclaim', {workspace});
    context.logger.info('reclaim', {forJob, victims});
    for (const jobId of victims) {
      const job = context.state.getJob(jobId);
      if (job) {
        stop.begin(job, {reason, checkpoint: true});
      }
    }
  }

  /**
   * An append of unknown fate can be accepted after its launch was given up.
   * This scheduler started nothing for it, and nobody else can under its term.
   */
  private takeBackOrphans(): void {
    const {
      context,
      launchCoordinator: launch,
      stopCoordinator: stop,
    } = this.parts;
    const {state, domain, term, leaseRenewer: keeper} = context;
    for (const job of state.listActiveJobs(domain)) {
      const isOrphan =
        job.phase === 'placed' &&
        job.term !== undefined &&
        isSameTerm(job.term, term) &&
        !launch.isStarting(job.jobId) &&
        !stop.isStopping(job.jobId) &&
        !keeper.hasGang(job.jobId);
      if (isOrphan) {
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

  /** Stops gangs that were cancelled, also those that were then about to start. */
  private stopCancelled(): void {
    const {context, stopCoordinator: stop} = this.parts;
    const cancelled = [...context.state.listActiveJobs(context.domain)].filter(
      job => job.phase === 'running' && job.cancelRequested,
    );
    for (const job of cancelled) {
      const reason: Reason =
        job.cancelReason ?? createReason('cancelled', {by: 'its caller'});
      stop.begin(job, {reason, checkpoint: false});
    }
  }

  /** Shows the policy what is known of the targets' health; quarantines end with time. */
  private refreshConditions(now: Instant): void {
    const {
      health,
      projection: mirror,
      leaseRenewer: keeper,
    } = this.parts.context;
    const targets = this.listTargets();
    keeper.setPolledTargets(targets);
    for (const target of targets) {
      mirror.setCondition(target, health.getCondition(target, now));
    }
  }

  private listTargets(): string[] {
    const {state, domain} = this.parts.context;
    const {configuration} = state;
    if (this.targets?.configuration !== configuration) {
      const names = [...configuration.targets.values()]
        .filter(target => target.domain === domain)
        .map(target => target.id);
      this.targets = {configuration, names};
    }
    return this.targets.names;
  }
}
