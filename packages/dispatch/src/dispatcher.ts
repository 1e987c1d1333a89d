/** One term of office: everything that is decided about jobs and targets, and carried out. */
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
  parseTaskName,
} from '@galenavalve/workload';
import {AdviceCache} from './advice_cache.js';
import type {Advisor} from './advisor.js';
import {ChangedJobs} from './changed_jobs.js';
import {DurationEstimator} from './duration_estimator.js';
import type {FencedLog} from './fenced_log.js';
import {addDueOccurrences, createActiveJob} from './job_lifecycle.js';
import {IncarnationCleanup} from './incarnation_cleanup.js';
import {applyListing} from './target_listing.js';
import {ExpiredJobs} from './expired_jobs.js';
import {CommandSender} from './command_sender.js';
import {CallPacer} from './call_pacer.js';
import {PassRunner} from './pass_runner.js';
import {type SchedulingSnapshot, computeObjective} from './policy/index.js';
import {RecordWriter} from './record_writer.js';
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
  MAX_LISTING_AGE_MS,
  MIN_CLOCK_RATE,
  TICK_INTERVAL_MS,
  MAX_UNCONFIRMED_MS,
} from './settings.js';
import {stopStragglers} from './stragglers.js';
import type {TargetInfo} from './target_info.js';
import type {TargetListing, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';
import {TargetSessions} from './target_sessions.js';

/** What the desired state says to the dispatcher. */
export interface DispatchRules {
  guarantees: ReadonlyMap<string, number>;
  evacuated: ReadonlySet<string>;
}

/** What a dispatcher works with. */
export interface DispatcherDependencies {
  table: JobTable;
  log: FencedLog;
  targets: TargetPort;
  advisor: Advisor;
  rules: () => DispatchRules;
  settings: DispatchSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** The office was lost. */
  onLeadershipLost: () => void;
}

/** The dispatcher of one epoch. */
export class Dispatcher {
  isClosed = false;
  readonly epoch: number;
  readonly estimator = new DurationEstimator();
  private readonly jobs = new Map<string, ActiveJob>();
  private readonly changes: ChangedJobs;
  private readonly directory: TargetDirectory;
  private readonly book: RunTracker;
  private readonly advice: AdviceCache;
  private readonly orders: CommandSender;
  private readonly sessions: TargetSessions;
  private readonly writer: RecordWriter;
  private readonly lifeEnds: IncarnationCleanup;
  private readonly oldJobs: ExpiredJobs;
  private readonly passes: PassRunner;

  constructor(
    private readonly parts: DispatcherDependencies,
    leadership: Leadership,
    now: Instant,
  ) {
    const {settings, clock, random, logger, targets} = parts;
    this.epoch = leadership.epoch;
    this.book = new RunTracker(
      {
        onChange: job => this.onChange(job),
        onStop: booking => void this.orders.stop(booking),
      },
      this.estimator,
      logger,
    );
    this.advice = new AdviceCache(
      parts.advisor,
      () => this.directory.listTargets(),
      () => this.passes.request(),
      clock,
      logger,
    );
    const pacer = new CallPacer(clock);
    this.orders = new CommandSender(
      this,
      targets,
      this.book,
      settings,
      pacer,
      clock,
      logger,
    );
    this.lifeEnds = new IncarnationCleanup(
      this.epoch,
      this.book,
      this.orders,
      logger,
    );
    const {table} = parts;
    this.oldJobs = new ExpiredJobs(table, settings.keepEnded, clock, now);
    this.sessions = new TargetSessions(
      this,
      targets,
      settings,
      pacer,
      clock,
      logger,
    );
    const othersOverAt =
      now + MAX_UNCONFIRMED_MS + settings.maxLease / MIN_CLOCK_RATE;
    this.directory = new TargetDirectory(
      {
        onTargetAdded: room => void this.sessions.maintain(room),
        onTargetReplaced: (room, next) => this.lifeEnds.onReplaced(room, next),
      },
      othersOverAt,
    );
    this.changes = new ChangedJobs(() => this.directory.listTargets(), {
      onRecorded: unit => {
        if (!this.isClosed) {
          this.orders.startUnit(unit);
        }
      },
      onEnded: job => this.onJobEnded(job),
    });
    this.passes = new PassRunner(
      {
        createSnapshot: at => this.describe(at),
        runGuarded: (work, act) => this.attempt(work, act),
        onPass: () => this.writer.flush(),
      },
      this,
      this.book,
      clock,
      logger,
    );
    this.writer = new RecordWriter(
      parts.log,
      leadership,
      maxLength => this.changes.takeBatch(maxLength, clock.wallTime()),
      () => this.onFenced(),
      clock,
      random,
      logger,
    );
  }

  /** Takes over what the log says, then ticks until the office is lost. */
  async run(targets: Iterable<TargetInfo>): Promise<void> {
    const {clock, table} = this.parts;
    const now = clock.now();
    for (const info of targets) {
      this.directory.onRegistered(info, now);
    }
    for (const entry of table.listEntries()) {
      this.onJobAccepted(entry);
    }
    while (!this.isClosed) {
      this.attempt('tick', () => this.tick(clock.now()));
      await clock.sleep(TICK_INTERVAL_MS);
    }
  }

  /** Steps down in good order. */
  async resign(): Promise<void> {
    if (!this.isClosed) {
      this.close();
      await this.writer.resign();
    }
  }

  /** The registry lists a target. */
  onTarget(info: TargetInfo): void {
    this.directory.onRegistered(info, this.parts.clock.now());
    this.passes.request();
  }

  /** The registry dropped a target. */
  onTargetGone(id: string): void {
    this.directory.onUnregistered(id);
  }

  /** A job was accepted, by this instance or another. */
  onJobAccepted(entry: JobEntry): void {
    const {clock} = this.parts;
    const outcome = entry.progress?.outcome ?? 'active';
    if (this.jobs.has(entry.id) || outcome !== 'active') {
      return;
    }
    const now = clock.now();
    const job = createActiveJob(entry, now, clock.wallTime());
    this.jobs.set(job.id, job);
    for (const unit of job.units) {
      this.adopt(unit, now);
    }
    if (job.isCancelled) {
      this.stopJob(job, 'the job was cancelled');
    } else if (job.hasFailed) {
      this.stopJob(job, 'the job has failed');
    }
    this.passes.request();
  }

  /** A job was cancelled. */
  onJobCancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job && !job.isCancelled) {
      job.isCancelled = true;
      this.stopJob(job, 'the job was cancelled');
    }
  }

  onListing(room: TargetState, listing: TargetListing): void {
    const context = {
      book: this.book,
      epoch: this.epoch,
      findUnit: (task: string) => this.findUnit(task),
      onStray: (stray: Allocation) => void this.orders.stop(stray),
    };
    const now = this.parts.clock.now();
    const wasOpen = room.isSchedulable(now, MAX_LISTING_AGE_MS);
    const hasChanged = applyListing(room, listing, context, now);
    // Mere progress lets nothing start; the next tick sees it.
    if (hasChanged || !wasOpen) {
      this.passes.request();
    }
    this.writer.flush();
  }

  onOtherIncarnation(room: TargetState, born: number): void {
    this.directory.onOtherIncarnation(room, born);
  }

  onAddressReassigned(room: TargetState): void {
    this.lifeEnds.onAddressReassigned(room);
  }

  onStopAcknowledged(room: TargetState): void {
    void this.sessions.pollOnce(room);
  }

  onFenced(): void {
    if (!this.isClosed) {
      this.parts.logger.warn('office-lost', {epoch: this.epoch});
      this.close();
      this.parts.onLeadershipLost();
    }
  }

  isLeaseExtensionAllowed(): boolean {
    const {clock} = this.parts;
    const steady = clock.now() - this.writer.lastConfirmedAt;
    const wall = clock.wallTime() - this.writer.lastConfirmedWallTime;
    return Math.max(steady, wall) < MAX_UNCONFIRMED_MS;
  }

  findTicket(unit: ActiveUnit, targetId: string): string | undefined {
    return this.advice.findTicket(unit, targetId);
  }

  onTicketRefused(unit: ActiveUnit, targetId: string): void {
    this.advice.onTicketRefused(unit, targetId);
  }

  /** Everything that is due by time alone. */
  private tick(now: Instant): void {
    const {clock, settings, logger} = this.parts;
    for (const job of this.jobs.values()) {
      const early = clock.wallTime() + settings.earlyTime / 2;
      if (job.accepted.spec.schedule && addDueOccurrences(job, early)) {
        this.onChange(job);
      }
    }
    for (const room of [...this.directory.listTargets()]) {
      this.lifeEnds.dropExpiredRuns(room, now);
    }
    stopStragglers(this.jobs.values(), this.book, this.estimator, now, logger);
    this.directory.sweep(now, settings.maxLease);
    this.writer.add(this.oldJobs.encodeDueRemovals(now));
    this.passes.onTick(now);
    this.writer.flush();
    this.writer.writeHeartbeatIfDue(now);
  }

  private close(): void {
    this.isClosed = true;
    this.writer.close();
  }

  /** Books the run that the log says may be alive. */
  private adopt(unit: ActiveUnit, now: Instant): void {
    const {placedOn} = unit.progress;
    if (!placedOn) {
      return;
    }
    for (const [member, life] of placedOn.entries()) {
      const room = this.directory.findOrCreateIncarnation(life);
      const booking = this.book.allocate(unit, member, room, 0, now);
      booking.state = 'ordered';
    }
    unit.phase = unit.progress.isDone ? 'running' : 'starting';
  }

  private onChange(job: ActiveJob): void {
    if (this.jobs.get(job.id) !== job) {
      return;
    }
    this.changes.add(job);
    if (job.hasFailed) {
      this.stopJob(job, 'the job has failed');
    }
    this.passes.request();
  }

  private stopJob(job: ActiveJob, reason: string): void {
    this.changes.add(job);
    for (const unit of job.units) {
      this.book.stop(unit, reason);
    }
    this.writer.flush();
  }

  /** An unexpected error costs the work that it came up in, not the office. */
  private attempt(work: string, act: () => void): void {
    try {
      act();
    } catch (error) {
      const problem = describeError(error);
      this.parts.logger.error('dispatch-failed', {work, problem});
    }
  }

  private describe(now: Instant): SchedulingSnapshot {
    const {guarantees, evacuated} = this.parts.rules();
    return {
      jobs: [...this.jobs.values()],
      targets: [...this.directory.listTargets()],
      estimator: this.estimator,
      guarantees,
      evacuated,
      settings: this.parts.settings,
      findAllowedTargets: unit => this.advice.findAllowedTargets(unit, now),
    };
  }

  private findUnit(task: string): ActiveUnit | undefined {
    const name = parseTaskName(task);
    const job = name && this.jobs.get(name.jobId);
    return job?.units.find(
      unit =>
        unit.occurrence === name!.occurrence &&
        unit.stepIndex === name!.step &&
        (unit.step.isGang || unit.unitIndex === name!.index),
    );
  }

  private onJobEnded(job: ActiveJob): void {
    this.jobs.delete(job.id);
    this.advice.removeJob(job.id);
    this.parts.logger.info('job-ended', {
      job: job.id,
      queue: job.accepted.queue,
      outcome: job.progress.outcome,
      afterMs: Math.round(this.parts.clock.now() - job.acceptedAt),
      objectiveMs: Math.round(computeObjective(job.accepted)),
      runs: findMaxRunCount(job),
    });
  }
}
