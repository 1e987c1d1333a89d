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
import {AdviceBook} from './advice_book.js';
import type {Advisor} from './advisor.js';
import {ChangedJobs} from './changed_jobs.js';
import {Estimates} from './estimates.js';
import type {OfficeLog} from './job_log.js';
import {addDueOccurrences, createJobRun} from './job_runs.js';
import {LifeEnds} from './life_ends.js';
import {takeListing} from './listings.js';
import {OldJobs} from './old_jobs.js';
import {Orders} from './orders.js';
import {OrderPacer} from './order_pacer.js';
import {Passes} from './passes.js';
import {type Situation, objectiveOf} from './policy/index.js';
import {RecordWriter} from './record_writer.js';
import {RoomDirectory} from './room_directory.js';
import {RunBook} from './run_book.js';
import {type Booking, type JobRun, type UnitRun, countRuns} from './runs.js';
import {
  type DispatchSettings,
  LISTING_FRESHNESS,
  SLOWEST_CLOCK,
  TICK,
  UNCONFIRMED_LIMIT,
} from './settings.js';
import {watchRuns} from './straggler_watch.js';
import type {TargetInfo} from './target_info.js';
import type {TargetListing, TargetPort} from './target_port.js';
import type {TargetRoom} from './target_room.js';
import {TargetSessions} from './target_sessions.js';

/** What the desired state says to the dispatcher. */
export interface DispatchRules {
  guarantees: ReadonlyMap<string, number>;
  evacuated: ReadonlySet<string>;
}

/** What a dispatcher works with. */
export interface DispatcherParts {
  table: JobTable;
  log: OfficeLog;
  targets: TargetPort;
  advisor: Advisor;
  rules: () => DispatchRules;
  settings: DispatchSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** The office was lost. */
  onLost: () => void;
}

/** The dispatcher of one epoch. */
export class Dispatcher {
  isOver = false;
  readonly epoch: number;
  readonly estimates = new Estimates();
  private readonly jobs = new Map<string, JobRun>();
  private readonly changes: ChangedJobs;
  private readonly directory: RoomDirectory;
  private readonly book: RunBook;
  private readonly advice: AdviceBook;
  private readonly orders: Orders;
  private readonly sessions: TargetSessions;
  private readonly writer: RecordWriter;
  private readonly lifeEnds: LifeEnds;
  private readonly oldJobs: OldJobs;
  private readonly passes: Passes;

  constructor(
    private readonly parts: DispatcherParts,
    leadership: Leadership,
    now: Instant,
  ) {
    const {settings, clock, random, logger, targets} = parts;
    this.epoch = leadership.epoch;
    this.book = new RunBook(
      {
        onChange: job => this.onChange(job),
        onStop: booking => void this.orders.stop(booking),
      },
      this.estimates,
      logger,
    );
    this.advice = new AdviceBook(
      parts.advisor,
      () => this.directory.all(),
      () => this.passes.request(),
      clock,
      logger,
    );
    const pacer = new OrderPacer(clock);
    this.orders = new Orders(
      this,
      targets,
      this.book,
      settings,
      pacer,
      clock,
      logger,
    );
    this.lifeEnds = new LifeEnds(this.epoch, this.book, this.orders, logger);
    const {table} = parts;
    this.oldJobs = new OldJobs(table, settings.keepEnded, clock, now);
    this.sessions = new TargetSessions(
      this,
      targets,
      settings,
      pacer,
      clock,
      logger,
    );
    const othersOverAt =
      now + UNCONFIRMED_LIMIT + settings.maxLease / SLOWEST_CLOCK;
    this.directory = new RoomDirectory(
      {
        onRoom: room => void this.sessions.keep(room),
        onReplaced: (room, next) => this.lifeEnds.onReplaced(room, next),
      },
      othersOverAt,
    );
    this.changes = new ChangedJobs(() => this.directory.all(), {
      onRecorded: unit => {
        if (!this.isOver) {
          this.orders.startUnit(unit);
        }
      },
      onEnded: job => this.onJobEnded(job),
    });
    this.passes = new Passes(
      {
        describe: at => this.describe(at),
        attempt: (work, act) => this.attempt(work, act),
        onPass: () => this.writer.poke(),
      },
      this,
      this.book,
      clock,
      logger,
    );
    this.writer = new RecordWriter(
      parts.log,
      leadership,
      maxLength => this.changes.gather(maxLength, clock.wallTime()),
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
      this.directory.onListed(info, now);
    }
    for (const entry of table.all()) {
      this.onAccepted(entry);
    }
    while (!this.isOver) {
      this.attempt('tick', () => this.tick(clock.now()));
      await clock.sleep(TICK);
    }
  }

  /** Steps down in good order. */
  async resign(): Promise<void> {
    if (!this.isOver) {
      this.close();
      await this.writer.resign();
    }
  }

  /** The registry lists a target. */
  onTarget(info: TargetInfo): void {
    this.directory.onListed(info, this.parts.clock.now());
    this.passes.request();
  }

  /** The registry dropped a target. */
  onTargetGone(id: string): void {
    this.directory.onUnlisted(id);
  }

  /** A job was accepted, by this instance or another. */
  onAccepted(entry: JobEntry): void {
    const {clock} = this.parts;
    const outcome = entry.progress?.outcome ?? 'active';
    if (this.jobs.has(entry.id) || outcome !== 'active') {
      return;
    }
    const now = clock.now();
    const job = createJobRun(entry, now, clock.wallTime());
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
  onCancelled(id: string): void {
    const job = this.jobs.get(id);
    if (job && !job.isCancelled) {
      job.isCancelled = true;
      this.stopJob(job, 'the job was cancelled');
    }
  }

  onListing(room: TargetRoom, listing: TargetListing): void {
    const context = {
      book: this.book,
      epoch: this.epoch,
      findUnit: (task: string) => this.findUnit(task),
      onStray: (stray: Booking) => void this.orders.stop(stray),
    };
    const now = this.parts.clock.now();
    const wasOpen = room.isOpen(now, LISTING_FRESHNESS);
    const hasChanged = takeListing(room, listing, context, now);
    // Mere progress lets nothing start; the next tick sees it.
    if (hasChanged || !wasOpen) {
      this.passes.request();
    }
    this.writer.poke();
  }

  onOtherLife(room: TargetRoom, born: number): void {
    this.directory.onOtherLife(room, born);
  }

  onSucceeded(room: TargetRoom): void {
    this.lifeEnds.onSucceeded(room);
  }

  onStopped(room: TargetRoom): void {
    void this.sessions.look(room);
  }

  onFenced(): void {
    if (!this.isOver) {
      this.parts.logger.warn('office-lost', {epoch: this.epoch});
      this.close();
      this.parts.onLost();
    }
  }

  mayExtend(): boolean {
    const {clock} = this.parts;
    const steady = clock.now() - this.writer.confirmedAt;
    const wall = clock.wallTime() - this.writer.confirmedWallAt;
    return Math.max(steady, wall) < UNCONFIRMED_LIMIT;
  }

  ticketFor(unit: UnitRun, targetId: string): string | undefined {
    return this.advice.ticketFor(unit, targetId);
  }

  onTicketRefused(unit: UnitRun, targetId: string): void {
    this.advice.onRefused(unit, targetId);
  }

  /** Everything that is due by time alone. */
  private tick(now: Instant): void {
    const {clock, settings, logger} = this.parts;
    for (const job of this.jobs.values()) {
      const early = clock.wallTime() + settings.earlyTime / 2;
      if (job.job.spec.schedule && addDueOccurrences(job, early)) {
        this.onChange(job);
      }
    }
    for (const room of [...this.directory.all()]) {
      this.lifeEnds.dropLapsed(room, now);
    }
    watchRuns(this.jobs.values(), this.book, this.estimates, now, logger);
    this.directory.sweep(now, settings.maxLease);
    this.writer.add(this.oldJobs.takeDue(now));
    this.passes.onTick(now);
    this.writer.poke();
    this.writer.beat(now);
  }

  private close(): void {
    this.isOver = true;
    this.writer.close();
  }

  /** Books the run that the log says may be alive. */
  private adopt(unit: UnitRun, now: Instant): void {
    const {placedOn} = unit.progress;
    if (!placedOn) {
      return;
    }
    for (const [member, life] of placedOn.entries()) {
      const room = this.directory.findLife(life);
      const booking = this.book.book(unit, member, room, 0, now);
      booking.state = 'ordered';
    }
    unit.phase = unit.progress.isDone ? 'running' : 'starting';
  }

  private onChange(job: JobRun): void {
    if (this.jobs.get(job.id) !== job) {
      return;
    }
    this.changes.add(job);
    if (job.hasFailed) {
      this.stopJob(job, 'the job has failed');
    }
    this.passes.request();
  }

  private stopJob(job: JobRun, reason: string): void {
    this.changes.add(job);
    for (const unit of job.units) {
      this.book.stop(unit, reason);
    }
    this.writer.poke();
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

  private describe(now: Instant): Situation {
    const {guarantees, evacuated} = this.parts.rules();
    return {
      jobs: [...this.jobs.values()],
      rooms: [...this.directory.all()],
      estimates: this.estimates,
      guarantees,
      evacuated,
      settings: this.parts.settings,
      allowedFor: unit => this.advice.allowedFor(unit, now),
    };
  }

  private findUnit(task: string): UnitRun | undefined {
    const name = parseTaskName(task);
    const job = name && this.jobs.get(name.jobId);
    return job?.units.find(
      unit =>
        unit.occurrence === name!.occurrence &&
        unit.stepIndex === name!.step &&
        (unit.step.isGang || unit.unitIndex === name!.index),
    );
  }

  private onJobEnded(job: JobRun): void {
    this.jobs.delete(job.id);
    this.advice.forget(job.id);
    this.parts.logger.info('job-ended', {
      job: job.id,
      queue: job.job.queue,
      outcome: job.progress.outcome,
      afterMs: Math.round(this.parts.clock.now() - job.acceptedAt),
      objectiveMs: Math.round(objectiveOf(job.job)),
      runs: countRuns(job),
    });
  }
}
