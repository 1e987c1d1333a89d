/** Finds runs that stand still, and runs that their draining target will not finish. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Estimates} from './estimates.js';
import {remainingTime} from './pace.js';
import type {RunBook} from './run_book.js';
import type {JobRun, UnitRun} from './runs.js';

/** A run whose percent did not rise for this long stands still: listings are one second apart, and the longest tasks rise by one within another. */
const STILL_TIME: Milliseconds = 3000;

/** Members this much behind the others hold their gang up, in percent. */
const BEHIND = 4;

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
