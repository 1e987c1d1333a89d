/** Finds runs that stand still, and runs that their draining target will not finish. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Estimates} from './estimates.js';
import {remainingTime} from './pace.js';
import type {RunBook} from './run_book.js';
import type {Booking, JobRun, UnitRun} from './runs.js';

/** A run whose percent did not rise for this long stands still: listings are one second apart, and the longest tasks rise by one within another. */
const STILL_TIME: Milliseconds = 3000;

/** Members this much behind the others hold their gang up, in percent. */
const BEHIND = 4;

/** A pace below this share of the best is a fault of the target; tasks differ by less. */
const SLOW_SHARE = 0.45;

/** Work without checkpoints is started anew only up to this percent. */
const EARLY = 20;

/** Time of a stop and a start elsewhere. */
const RESTART_TIME: Milliseconds = 800;

/** What is started anew must end this much sooner, for it may have to wait. */
const ANEW_MARGIN = 1.3;

/** Percent from which on a run is about to end. */
const NEARLY_DONE = 99;

/** A stop on a draining target leaves this much time for its answer and for the log. */
const LEAVE_MARGIN: Milliseconds = 700;

/** Stops what cannot go on where it is. */
export function watchRuns(
  jobs: Iterable<JobRun>,
  book: RunBook,
  estimates: Estimates,
  now: Instant,
  logger: Logger,
): void {
  for (const job of jobs) {
    for (const unit of job.units) {
      if (unit.phase !== 'running' || unit.progress.isDone) {
        continue;
      }
      if (!unit.step.isLongRunning && isStill(unit, now)) {
        onStill(unit, book, now, logger);
      } else if (isSlowedDown(unit, now)) {
        onSlowedDown(unit, book, now, logger);
      } else if (mustLeave(unit, estimates, now)) {
        book.stop(unit, 'its target is leaving');
      }
    }
  }
}

function isStill(unit: UnitRun, now: Instant): boolean {
  return unit.bookings.some(
    booking =>
      booking.percent < NEARLY_DONE &&
      now - booking.percentAt > STILL_TIME &&
      booking.room.lastAnswerAt > booking.percentAt + STILL_TIME,
  );
}

/** The members that are behind are where the fault is; when all are level, it cannot be told. */
function onStill(
  unit: UnitRun,
  book: RunBook,
  now: Instant,
  logger: Logger,
): void {
  const percents = unit.bookings.map(({percent}) => percent);
  const most = Math.max(...percents);
  const behind = unit.bookings.filter(({percent}) => percent <= most - BEHIND);
  const suspects = unit.bookings.length === 1 ? unit.bookings : behind;
  logger.warn('run-still', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: percents.slice(0, 16),
    suspects: suspects.map(({room}) => room.info.id).slice(0, 8),
  });
  for (const {room} of suspects) {
    unit.avoid.add(room.info.id);
    book.onSuspect(room, 2, now);
  }
  book.stop(unit, 'it stands still');
}

/** Members whose pace fell far below the best that they or others of their gang had. */
function findSlow(unit: UnitRun): Booking[] {
  const best = Math.max(...unit.bookings.map(({bestPace}) => bestPace));
  return unit.bookings.filter(
    ({presentPace, percent}) =>
      presentPace !== undefined &&
      percent < NEARLY_DONE &&
      presentPace < best * SLOW_SHARE,
  );
}

/** Whether starting anew elsewhere ends sooner than going on. */
function isSlowedDown(unit: UnitRun, now: Instant): boolean {
  if (unit.step.isLongRunning) {
    return false;
  }
  const best = Math.max(...unit.bookings.map(({bestPace}) => bestPace));
  return findSlow(unit).some(({percent, presentPace, percentAt}) => {
    const left = (100 - percent) / Math.max(presentPace!, 1e-9);
    const isEarly = percent < EARLY;
    const again = unit.step.savesProgress ? 100 - percent : 100;
    const anew = RESTART_TIME + (again / best) * ANEW_MARGIN;
    // Slowness passes; what was done and not saved is lost for good.
    return (
      (unit.step.savesProgress || isEarly) && left - (now - percentAt) > anew
    );
  });
}

function onSlowedDown(
  unit: UnitRun,
  book: RunBook,
  now: Instant,
  logger: Logger,
): void {
  const slow = findSlow(unit);
  logger.warn('run-slowed', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: slow.map(({percent}) => percent).slice(0, 16),
    targets: slow.map(({room}) => room.info.id).slice(0, 8),
  });
  for (const {room} of slow) {
    book.onSuspect(room, 2, now);
  }
  book.stop(unit, 'its target has become slow');
}

function mustLeave(unit: UnitRun, estimates: Estimates, now: Instant): boolean {
  return unit.bookings.some(booking => {
    const {room} = booking;
    if (!room.info.isDraining || room.drainingSince === undefined) {
      return false;
    }
    const leavesAt = room.drainingSince + (room.info.remainingMs ?? 0);
    const left = remainingTime(booking, unit, estimates, 1, now);
    const finishes = now + left <= leavesAt;
    // Work that is saved can go on until shortly before the target leaves.
    const isLast = now >= leavesAt - LEAVE_MARGIN;
    return !finishes && (isLast || !unit.step.savesProgress);
  });
}
