/**
 * The leader's work: decides which units run on which targets, and carries the
 * decisions out.
 */
import {
  type Clock,
  type Instant,
  type Logger,
  type Random,
  describeError,
} from '@galenavalve/shared';
import {
  type JobEntry,
  type JobTable,
  type Leadership,
  type OpenTaskLimit,
} from '@galenavalve/workload';
import {AdviceCache} from './advice_cache.js';
import type {Advisor} from './advisor.js';
import {ChangedJobs} from './changed_jobs.js';
import {DeferredJobs} from './deferred_jobs.js';
import {DurationEstimator} from './duration_estimator.js';
import type {FencedLog} from './fenced_log.js';
import {
  addDueOccurrences,
  createActiveJob,
  isJobDone,
  markJobDone,
} from './job_lifecycle.js';
import {type IdleCause, IdleJobs} from './idle_jobs.js';
import {IncarnationCleanup} from './incarnation_cleanup.js';
import {applyListing} from './target_listing.js';
import {ExpiredJobs} from './expired_jobs.js';
import {CommandSender} from './command_sender.js';
import {CrashAttribution, needsIsolation} from './crash_attribution.js';
import {CallPacer} from './call_pacer.js';
import {PassRunner} from './pass_runner.js';
import {
  type SchedulingPolicy,
  type SchedulingSnapshot,
  SlackPolicy,
  computeObjective,
} from './policy/index.js';
import {type ConfirmationTime, RecordWriter} from './record_writer.js';
import {TargetDirectory} from './target_directory.js';
import {RunTracker} from './run_tracker.js';
import {
  type Allocation,
  type ActiveJob,
  type ActiveUnit,
  findMaxRunCount,
} from './active_job.js';
import {
  type DispatchSettings,
  MAX_COMMAND_DELAY_MS,
  MAX_LISTING_AGE_MS,
  MIN_CLOCK_RATE,
  TICK_INTERVAL_MS,
  MAX_UNCONFIRMED_MS,
  TAKEOVER_LISTING_MS,
} from './settings.js';
import {StartQueue} from './start_queue.js';
import {stopStragglers} from './stragglers.js';
import {findDemand, findUnit} from './task_lookup.js';
import type {TargetInfo} from './target_info.js';
import type {TargetListing, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';
import {TargetSessions} from './target_sessions.js';

/** The part of the desired state that the dispatcher needs. */
export interface DispatchRules {
  /** Guaranteed accelerators by workspace. */
  guarantees: ReadonlyMap<string, number>;
  /** Failure domains that receive no new work. */
  evacuated: ReadonlySet<string>;
}

/** Dependencies of a dispatcher. */
export interface DispatcherDependencies {
  table: JobTable;
  log: FencedLog;
  targets: TargetPort;
  advisor: Advisor;
  /** Returns the current rules. */
  rules: () => DispatchRules;
  settings: DispatchSettings;
  /** Open tasks that the leader keeps units of; no limit unless given. */
  openTaskLimit?: OpenTaskLimit;
  /** A `SlackPolicy` unless given. */
  policy?: SchedulingPolicy;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Called once when another instance has become leader. */
  onLeadershipLost: () => void;
}

/** Dispatches jobs during one leadership period. */
export class Dispatcher {
  /** Whether leadership has ended. */
  isClosed = false;
  readonly epoch: number;
  readonly estimator = new DurationEstimator();
  private readonly jobs = new Map<string, ActiveJob>();
  /** Time until which start commands of earlier leaders may be carried out. */
  private readonly earlierStartsUntil: Instant;
  private readonly changedJobs: ChangedJobs;
  private readonly directory: TargetDirectory;
  private readonly tracker: RunTracker;
  private readonly adviceCache: AdviceCache;
  private readonly commands: CommandSender;
  private readonly sessions: TargetSessions;
  private readonly writer: RecordWriter;
  private readonly crashes: CrashAttribution;
  private readonly incarnationCleanup: IncarnationCleanup;
  private readonly expiredJobs: ExpiredJobs;
  private readonly passRunner: PassRunner;
  private readonly idleJobs: IdleJobs;
  private readonly deferredJobs: DeferredJobs;
  private readonly startQueue: StartQueue;

  constructor(
    private readonly dependencies: DispatcherDependencies,
    leadership: Leadership,
    claimedAt: ConfirmationTime,
    private readonly startedAt: Instant,
  ) {
    const now = startedAt;
    const {settings, clock, random, logger, targets} = dependencies;
    this.epoch = leadership.epoch;
    this.tracker = new RunTracker(
      {
        onChange: job => this.onChange(job),
        onStop: allocation => void this.commands.stop(allocation),
      },
      this.estimator,
      logger,
    );
    this.adviceCache = new AdviceCache(
      dependencies.advisor,
      () => this.directory.listTargets(),
      () => this.passRunner.request(),
      clock,
      logger,
    );
    const pacer = new CallPacer(clock);
    this.commands = new CommandSender(
      this,
      targets,
      this.tracker,
      settings,
      pacer,
      clock,
      logger,
    );
    this.idleJobs = new IdleJobs(logger);
    this.deferredJobs = new DeferredJobs(dependencies.openTaskLimit);
    this.crashes = new CrashAttribution(job => this.onChange(job), logger);
    this.incarnationCleanup = new IncarnationCleanup(
      settings.maxLease,
      this.tracker,
      this.commands,
      this.crashes,
      logger,
    );
    const {table} = dependencies;
    this.expiredJobs = new ExpiredJobs(table, settings.keepEnded, clock, now);
    this.sessions = new TargetSessions(
      this,
      targets,
      settings,
      pacer,
      clock,
      logger,
    );
    const earlierLeasesExpireAt =
      now + MAX_UNCONFIRMED_MS + settings.maxLease / MIN_CLOCK_RATE;
    this.earlierStartsUntil = now + MAX_UNCONFIRMED_MS + MAX_COMMAND_DELAY_MS;
    this.directory = new TargetDirectory(
      {
        onTargetAdded: target => void this.sessions.maintain(target),
        onTargetReplaced: (target, next) =>
          this.incarnationCleanup.onReplaced(target, next, clock.now()),
        onTargetContested: (target, info) => {
          logger.warn('target-contested', {target: info.id, born: info.born});
          this.onContested(target);
        },
        onEntryIgnored: info =>
          logger.warn('target-entry-ignored', {
            target: info.id,
            born: info.born,
            address: info.address,
          }),
      },
      earlierLeasesExpireAt,
    );
    this.startQueue = new StartQueue(
      this,
      unit => this.runGuarded('start', () => this.commands.startUnit(unit)),
      clock,
    );
    this.changedJobs = new ChangedJobs(() => this.directory.listTargets(), {
      onRecorded: unit => {
        if (!this.isClosed) {
          this.startQueue.add(unit);
        }
      },
      onEnded: job => this.runGuarded('end', () => this.onJobEnded(job)),
    });
    this.passRunner = new PassRunner(
      {
        createSnapshot: at => this.createSnapshot(at),
        runGuarded: (work, action) => this.runGuarded(work, action),
        onPass: () => this.writer.flush(),
      },
      this,
      dependencies.policy ?? new SlackPolicy(),
      this.tracker,
      clock,
      logger,
    );
    this.writer = new RecordWriter(
      dependencies.log,
      leadership,
      claimedAt,
      maxLength => this.changedJobs.takeBatch(maxLength, clock.wallTime()),
      () => this.onFenced(),
      clock,
      random,
      logger,
    );
  }

  /**
   * Takes over the targets and the jobs in the log, then runs until leadership
   * ends.
   */
  async run(targets: Iterable<TargetInfo>): Promise<void> {
    const {clock, table} = this.dependencies;
    const now = clock.now();
    for (const info of targets) {
      this.directory.onRegistered(info, now, clock.wallTime());
    }
    // Jobs with progress are never deferred, so they take their room first.
    for (const isRecorded of [true, false]) {
      for (const entry of table.listEntries()) {
        if ((entry.progress !== undefined) === isRecorded) {
          this.addJob(entry);
        }
      }
    }
    while (!this.isClosed) {
      this.tick(clock.now());
      await clock.sleep(TICK_INTERVAL_MS);
    }
  }

  /** Stops dispatching and writes to the log that leadership is free. */
  async resign(): Promise<void> {
    if (!this.isClosed) {
      this.close();
      await this.writer.resign();
    }
  }

  /** Called when a target is registered or its entry changes. */
  onTarget(info: TargetInfo): void {
    const {clock} = this.dependencies;
    this.directory.onRegistered(info, clock.now(), clock.wallTime());
    this.passRunner.request();
  }

  /** Called when a target is removed from the registry. */
  onTargetRemoved(id: string): void {
    this.directory.onUnregistered(id);
  }

  /** Called when any instance has accepted a job. */
  onJobAccepted(entry: JobEntry): void {
    const job = this.addJob(entry);
    if (job) {
      // The record is appended before the caller is told; it may have taken a
      // while from the acceptance time that the record names.
      job.acknowledgedAt = this.dependencies.clock.now();
    }
  }

  /**
   * Adds a job that has not ended; returns undefined if it is known, has ended,
   * is deferred or its progress is unreadable. Such a job does not run, since its former
   * runs are unknown, and it must not keep the others from running.
   */
  private addJob(entry: JobEntry): ActiveJob | undefined {
    let job: ActiveJob | undefined;
    this.runGuarded(`job ${entry.id}`, () => {
      job = this.createJob(entry);
    });
    return job;
  }

  private createJob(entry: JobEntry): ActiveJob | undefined {
    const {clock} = this.dependencies;
    const outcome = entry.progress?.outcome ?? 'active';
    if (this.jobs.has(entry.id) || outcome !== 'active') {
      return undefined;
    }
    if (this.deferredJobs.defer(entry)) {
      this.dependencies.logger.warn('job-deferred', {
        job: entry.id,
        deferred: this.deferredJobs.size,
      });
      return undefined;
    }
    const now = clock.now();
    const job = createActiveJob(entry, now, clock.wallTime());
    this.jobs.set(job.id, job);
    this.deferredJobs.onAdded(job.accepted);
    for (const unit of job.units) {
      this.crashes.onAdopted(unit);
      this.adopt(unit, now);
    }
    if (entry.isKnownComplete) {
      this.onJobCompleted(job.id);
    } else if (job.isCancelled) {
      this.stopJob(job, 'the job was cancelled');
    } else if (job.hasFailed) {
      this.stopJob(job, 'the job has failed');
    }
    this.passRunner.request();
    return job;
  }

  /** Called when a job was cancelled. */
  onJobCancelled(id: string): void {
    this.admitDeferred(id);
    const job = this.jobs.get(id);
    if (job && !job.isCancelled) {
      job.isCancelled = true;
      this.stopJob(job, 'the job was cancelled');
    }
  }

  /**
   * Called when the log says that a caller was told of a job's completion, as
   * earlier versions wrote before they recorded its progress. The job must not
   * run again.
   */
  onJobCompleted(id: string): void {
    this.admitDeferred(id);
    const job = this.jobs.get(id);
    if (job && !isJobDone(job)) {
      markJobDone(job);
      this.stopJob(job, 'the job is complete');
    }
  }

  /** Counts the jobs that could run and have no run, by what keeps them idle. */
  countIdleJobs(): ReadonlyMap<IdleCause, number> {
    return this.idleJobs.countByCause();
  }

  /** Called for every listing of a target, its report of runs and ends, with the time at which it was requested. */
  onListing(
    target: TargetState,
    listing: TargetListing,
    sentAt: Instant,
  ): void {
    const context = {
      maxLease: this.dependencies.settings.maxLease,
      tracker: this.tracker,
      crashes: this.crashes,
      epoch: this.epoch,
      findUnit: (task: string) => findUnit(this.jobs, task),
      findDemand: (task: string) => findDemand(this.dependencies.table, task),
      onOrphan: (orphan: Allocation) => this.commands.stopOrphan(orphan),
    };
    const now = this.dependencies.clock.now();
    const wasSchedulable = target.isSchedulable(now, MAX_LISTING_AGE_MS);
    const hasChanged = applyListing(target, listing, context, sentAt, now);
    // Progress alone cannot allow a start; it is evaluated at the next tick.
    if (hasChanged || !wasSchedulable) {
      this.passRunner.request();
    }
    this.writer.flush();
  }

  /** Called when another incarnation responds at a target's address. */
  onOtherIncarnation(target: TargetState, born: number): void {
    this.directory.onOtherIncarnation(target, born);
  }

  /** Called when a target with another id responds at a target's address. */
  onAddressReassigned(target: TargetState): void {
    const now = this.dependencies.clock.now();
    this.incarnationCleanup.onAddressReassigned(target, now);
  }

  /** Called when another incarnation may have replaced the target. */
  onContested(target: TargetState): void {
    if (target.contestedAt === undefined) {
      target.onContested(this.dependencies.clock.now());
      void this.sessions.identify(target);
    }
  }

  /** Called when a listing is needed before the poll in progress returns. */
  requestListing(target: TargetState): void {
    void this.sessions.pollOnce(target);
  }

  /** Ends leadership, since the log or a target has seen a higher epoch. */
  onFenced(): void {
    if (!this.isClosed) {
      this.dependencies.logger.warn('leadership-lost', {epoch: this.epoch});
      this.close();
      this.dependencies.onLeadershipLost();
    }
  }

  /**
   * Whether an append was confirmed recently enough by the monotonic and the
   * wall clock.
   */
  isLeaseExtensionAllowed(): boolean {
    const {clock} = this.dependencies;
    const {at, wallTime} = this.writer.lastConfirmed;
    const sinceConfirmed = clock.now() - at;
    const wallSinceConfirmed = clock.wallTime() - wallTime;
    return Math.max(sinceConfirmed, wallSinceConfirmed) < MAX_UNCONFIRMED_MS;
  }

  /** Whether the failure domain takes no new work. */
  isEvacuated(domain: string): boolean {
    return this.dependencies.rules().evacuated.has(domain);
  }

  /**
   * Returns the advisor's ticket for a start on a target; undefined if there is
   * none.
   */
  findTicket(unit: ActiveUnit, targetId: string): string | undefined {
    return this.adviceCache.findTicket(unit, targetId);
  }

  /** Called when a target refuses the ticket of a start command. */
  onTicketRefused(unit: ActiveUnit, targetId: string): void {
    this.adviceCache.onTicketRefused(unit, targetId);
  }

  /** Does everything that depends on time alone; an unexpected error aborts only its own part. */
  private tick(now: Instant): void {
    const {clock, settings, logger} = this.dependencies;
    for (const job of this.jobs.values()) {
      this.runGuarded(`schedule of job ${job.id}`, () => {
        const scheduleTime = clock.wallTime() + settings.earlyTime / 2;
        if (addDueOccurrences(job, scheduleTime)) {
          this.onChange(job);
        }
      });
    }
    for (const {id, job} of this.deferredJobs.listDue()) {
      if (this.deferredJobs.fits(job)) {
        this.admitDeferred(id);
      }
    }
    this.directory.settleContested(now);
    for (const target of this.directory.listAllTargets()) {
      this.runGuarded(`target ${target.key}`, () => {
        const successor = this.directory.findSuccessor(target);
        this.incarnationCleanup.onTick(target, successor, now);
      });
    }
    this.runGuarded('crashes', () => this.crashes.onTick(now));
    this.runGuarded('stragglers', () =>
      stopStragglers(
        this.jobs.values(),
        this.tracker,
        this.estimator,
        now,
        logger,
      ),
    );
    this.runGuarded('idle jobs', () =>
      this.idleJobs.onTick(
        this.jobs.values(),
        this.directory.listTargets(),
        now,
      ),
    );
    this.runGuarded('expiry', () => {
      this.directory.sweep(now, settings.maxLease);
      this.writer.add(this.expiredJobs.encodeDueRemovals(now));
    });
    this.runGuarded('pass', () => this.passRunner.onTick(now));
    this.writer.flush();
    this.writer.writeHeartbeatIfDue(now);
  }

  /** Adds a deferred job, unless it was deleted from the log. */
  private admitDeferred(id: string): void {
    const entry = this.deferredJobs.take(id);
    if (entry && this.dependencies.table.find(id) === entry) {
      this.addJob(entry);
    }
  }

  private close(): void {
    this.isClosed = true;
    this.writer.close();
  }

  /** Takes over a unit: allocates capacity for its latest run if, according to the log, that may be alive. */
  private adopt(unit: ActiveUnit, now: Instant): void {
    const {placedOn} = unit.progress;
    if (!placedOn) {
      return;
    }
    for (const [member, reference] of placedOn.entries()) {
      const target = this.directory.findOrCreateIncarnation(reference);
      const allocation = this.tracker.allocate(unit, member, target, 0, now);
      allocation.state = 'starting';
      allocation.isIsolated = needsIsolation(unit, member);
      allocation.mayStartUntil = this.earlierStartsUntil;
    }
    unit.phase = unit.progress.isDone ? 'running' : 'starting';
  }

  private onChange(job: ActiveJob): void {
    if (this.jobs.get(job.id) !== job) {
      return;
    }
    this.changedJobs.add(job);
    if (job.hasFailed) {
      this.stopJob(job, 'the job has failed');
    }
    this.passRunner.request();
  }

  private stopJob(job: ActiveJob, reason: string): void {
    this.changedJobs.add(job);
    for (const unit of job.units) {
      this.tracker.stop(unit, reason);
    }
    this.writer.flush();
  }

  /**
   * Runs `action` and logs unexpected errors, so that a fault in one piece of
   * work does not end the leadership.
   */
  private runGuarded(work: string, action: () => void): void {
    try {
      action();
    } catch (error) {
      const problem = describeError(error);
      this.dependencies.logger.error('dispatch-failed', {work, problem});
    }
  }

  private createSnapshot(now: Instant): SchedulingSnapshot {
    const {guarantees, evacuated} = this.dependencies.rules();
    return {
      jobs: [...this.jobs.values()],
      targets: [...this.directory.listTargets()],
      estimator: this.estimator,
      guarantees,
      evacuated,
      settings: this.dependencies.settings,
      areTargetsListed:
        this.directory.areAllListed ||
        now - this.startedAt >= TAKEOVER_LISTING_MS,
      findAllowedTargets: unit =>
        this.adviceCache.findAllowedTargets(unit, now),
    };
  }

  private onJobEnded(job: ActiveJob): void {
    this.jobs.delete(job.id);
    this.deferredJobs.onRemoved(job.accepted);
    this.adviceCache.removeJob(job.id);
    this.dependencies.logger.info('job-ended', {
      job: job.id,
      queue: job.accepted.queue,
      outcome: job.progress.outcome,
      afterMs: Math.round(this.dependencies.clock.now() - job.acceptedAt),
      objectiveMs: Math.round(computeObjective(job.accepted)),
      runs: findMaxRunCount(job),
    });
  }
}
