/** What happens to runs: they are placed, confirmed, stopped and end; jobs change with them. */
import type {Instant, Logger} from '@galenavalve/shared';
import {formatTaskName} from '@galenavalve/workload';
import type {Estimates} from './estimates.js';
import {comparePaces} from './pace.js';
import type {Start} from './policy/index.js';
import {
  type Booking,
  type JobRun,
  type UnitRun,
  countedDemand,
  createBooking,
  hasNoAttemptLeft,
} from './runs.js';
import type {ListedEnd} from './target_port.js';
import type {TargetRoom} from './target_room.js';

/** Pause before a unit that failed is placed again, in milliseconds. */
const FAILURE_PAUSE = 150;

/** First and longest avoidance of a target whose runs fail or stand still, in milliseconds. */
const FIRST_AVOIDANCE = 3000;
const LONGEST_AVOIDANCE = 15_000;

/** Failures in a row of a target that make it suspect; a single one is usually the task's own. */
const SUSPECT_STRIKES = 2;

/** What a change of a run asks others to do. */
export interface RunEvents {
  /** The job's progress is to be recorded. */
  onChange(job: JobRun): void;
  /** A run is to be stopped at its target. */
  onStop(booking: Booking): void;
}

/** Keeps the runs of one dispatcher. */
export class RunBook {
  constructor(
    private readonly events: RunEvents,
    private readonly estimates: Estimates,
    private readonly logger: Logger,
  ) {}

  /** Books a placement; its orders go out once it is recorded. */
  place({unit, placement}: Start, epoch: number, now: Instant): void {
    unit.progress.run++;
    unit.phase = 'recording';
    unit.placedAt = now;
    unit.isFar = placement.isFar;
    unit.claim = undefined;
    unit.stopReason = undefined;
    unit.resumeFrom = unit.progress.checkpoint;
    unit.job.progress.hasBegun = true;
    const rooms = placement.shares.flatMap(({space, members}) =>
      Array.from({length: members}, () => space.room),
    );
    for (const [member, room] of rooms.entries()) {
      this.book(unit, member, room, epoch, now);
    }
    unit.progress.placedOn = rooms.map(room => room.key);
    this.events.onChange(unit.job);
    this.logger.info('placed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run: unit.progress.run,
      targets: [...new Set(rooms.map(room => room.info.id))].slice(0, 8),
      isFar: placement.isFar,
      waitedMs: Math.round(now - unit.job.acceptedAt),
    });
  }

  /** Books a member's run. */
  book(
    unit: UnitRun,
    member: number,
    room: TargetRoom,
    epoch: number,
    now: Instant,
  ): Booking {
    const booking = createBooking(
      {
        task: taskNameOf(unit, member),
        run: unit.progress.run,
        demand: countedDemand(unit.step),
        room,
        unit,
        memberIndex: member,
        state: 'planned',
        epoch,
      },
      now,
    );
    unit.bookings.push(booking);
    room.book(booking);
    return booking;
  }

  /** The target has the run. */
  onStarted(booking: Booking, clock: number, now: Instant): void {
    if (booking.state !== 'ordered') {
      return;
    }
    booking.state = 'confirmed';
    booking.settledClock = clock;
    booking.percentAt = now;
    booking.firstPercentAt = now;
    const {unit} = booking;
    const isWhole = unit?.bookings.every(({state}) => state === 'confirmed');
    if (unit && isWhole && unit.phase === 'starting') {
      unit.phase = 'running';
      unit.runningSince = now;
    }
  }

  /** Stops every member of a unit's present run. */
  stop(unit: UnitRun, reason: string): void {
    if (unit.bookings.length === 0 || unit.phase === 'stopping') {
      return;
    }
    unit.phase = 'stopping';
    unit.stopReason = reason;
    this.logger.info('stopping', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run: unit.progress.run,
      reason,
    });
    for (const booking of [...unit.bookings]) {
      if (booking.state === 'planned') {
        this.release(booking);
      } else {
        this.events.onStop(booking);
      }
    }
  }

  /** A target listed the end of a run. */
  onEnd(
    room: TargetRoom,
    end: ListedEnd,
    unit: UnitRun | undefined,
    now: Instant,
  ): void {
    const booking = room.find(end.task, end.run);
    if (unit && unit.progress.run === end.run) {
      this.takeEnd(room, unit, end, booking, now);
    } else if (unit && end.how === 'done') {
      this.takeEarlierDone(room, unit, end.run);
    }
    if (booking) {
      this.release(booking);
    }
  }

  /** The run is gone without an end: its target or its lease is over, or it never began. */
  onGone(booking: Booking, reason: string): void {
    const {unit} = booking;
    this.release(booking);
    if (unit && !unit.progress.isDone && unit.bookings.length > 0) {
      this.stop(unit, reason);
    }
  }

  /** Notes that runs on a target fail or stand still. */
  onSuspect(room: TargetRoom, strikes: number, now: Instant): void {
    room.strikes += strikes;
    if (room.strikes < SUSPECT_STRIKES) {
      return;
    }
    const doublings = room.strikes - SUSPECT_STRIKES;
    const length = Math.min(
      LONGEST_AVOIDANCE,
      FIRST_AVOIDANCE * 2 ** doublings,
    );
    room.avoidUntil = now + length;
    this.logger.warn('target-avoided', {
      target: room.info.id,
      strikes: room.strikes,
      forMs: length,
    });
  }

  /** Frees a booking's room; the last one settles its unit. */
  release(booking: Booking): void {
    booking.room.release(booking);
    const {unit} = booking;
    if (!unit) {
      return;
    }
    unit.bookings = unit.bookings.filter(other => other !== booking);
    if (unit.bookings.length === 0) {
      unit.phase = 'waiting';
      unit.progress.placedOn = undefined;
      this.events.onChange(unit.job);
    }
  }

  /** A run that was given up, such as behind a cut, did its work all the same. */
  private takeEarlierDone(room: TargetRoom, unit: UnitRun, run: number): void {
    const isOpen = !unit.progress.isDone && !unit.step.isLongRunning;
    if (!isOpen || run > unit.progress.run) {
      return;
    }
    unit.progress.isDone = true;
    unit.progress.checkpoint = '';
    this.logger.info('done-earlier', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run,
      present: unit.progress.run,
      target: room.info.id,
    });
    this.stop(unit, 'an earlier run of it is done');
    this.events.onChange(unit.job);
  }

  private takeEnd(
    room: TargetRoom,
    unit: UnitRun,
    end: ListedEnd,
    booking: Booking | undefined,
    now: Instant,
  ): void {
    if (end.checkpoint !== '') {
      unit.progress.checkpoint = end.checkpoint;
    }
    if (end.how === 'done' && !unit.step.isLongRunning) {
      this.takeDone(room, unit, booking, now);
    } else if (end.how === 'failed') {
      this.takeFailure(room, unit, end.run, now);
    }
    // The members of a gang end together; stopping the others makes sure of it.
    const others = unit.bookings.some(other => other !== booking);
    if (others && end.how !== 'done') {
      this.stop(unit, `a member ended as ${end.how}`);
    }
    this.events.onChange(unit.job);
  }

  private takeDone(
    room: TargetRoom,
    unit: UnitRun,
    booking: Booking | undefined,
    now: Instant,
  ): void {
    room.strikes = 0;
    if (unit.progress.isDone) {
      return;
    }
    unit.progress.isDone = true;
    unit.progress.checkpoint = '';
    const hasRunWhole = unit.progress.run === 1 && !unit.isFar && booking;
    if (hasRunWhole) {
      const took = now - unit.runningSince;
      const {queue} = unit.job.job;
      if (unit.step.isGang) {
        comparePaces(unit.bookings);
      } else {
        room.notePace(
          took / this.estimates.expect(queue, unit.step.estimateMs),
        );
      }
      this.estimates.note(queue, unit.step.estimateMs, took);
    }
  }

  private takeFailure(
    room: TargetRoom,
    unit: UnitRun,
    run: number,
    now: Instant,
  ): void {
    if (unit.progress.failedRun >= run) {
      return;
    }
    unit.progress.failedRun = run;
    unit.retryAt = now + FAILURE_PAUSE;
    if (unit.step.isLongRunning) {
      return;
    }
    unit.progress.failed++;
    // A unit that fails wherever it goes says nothing of the targets.
    if (unit.progress.failed === 1) {
      this.onSuspect(room, 1, now);
    }
    unit.avoid.add(room.info.id);
    this.logger.info('run-failed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run,
      target: room.info.id,
      failures: unit.progress.failed,
      allowed: unit.job.job.terms.maxAttempts,
    });
    unit.job.hasFailed ||= hasNoAttemptLeft(unit);
  }
}

/** Name of a member's task. */
export function taskNameOf(unit: UnitRun, member: number): string {
  return formatTaskName({
    jobId: unit.job.id,
    occurrence: unit.occurrence,
    step: unit.stepIndex,
    index: unit.step.isGang ? member : unit.unitIndex,
  });
}
