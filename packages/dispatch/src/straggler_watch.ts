/** Finds runs that stand still, and runs that their draining target will not finish. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {Estimates} from './estimates.js';
import {remainingTime} from './pace.js';
import type {RunBook} from './run_book.js';
import type {Booking, JobRun, UnitRun} from './runs.js';

/** A run stands still when it was seen without progress for this share of its expected time: even at a tenth of the usual pace, its percent had risen. */
const STILL_SHARE = 0.12;

/** Shortest such time: two listings. */
const LEAST_STILL_TIME: Milliseconds = 1300;

/** Members this much behind the others hold their gang up, in percent. */
const BEHIND = 4;

/** A pace below this share of the best is a fault of the target; tasks differ by less. */
const SLOW_SHARE = 0.45;

/** Work without checkpoints that is not urgent is started anew only up to this percent. */
const EARLY = 20;

/** Time of a stop and a start elsewhere. */
const RESTART_TIME: Milliseconds = 800;

/** What is started anew must end this much sooner, for it may have to wait. */
const ANEW_MARGIN = 1.3;

/** Percent from which on a run is about to end. */
const NEARLY_DONE = 99;

/** A stop on a draining target leaves this much time: 800 ms that the registry may lag behind the notice, 400 for the stop, and 400 for the listing of its end. */
const LEAVE_MARGIN: Milliseconds = 1600;

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
      if (!unit.step.isLongRunning && isStill(unit, estimates)) {
        onStill(unit, book, now, logger);
      } else if (isSlowedDown(unit, now)) {
        onSlowedDown(unit, book, now, logger);
      } else if (mustLeave(unit, estimates, now)) {
        book.stop(unit, 'its target is leaving');
      }
    }
  }
}

function isStill(unit: UnitRun, estimates: Estimates): boolean {
  const {queue} = unit.job.job;
  const expected = estimates.expect(queue, unit.step.estimateMs);
  const limit = Math.max(LEAST_STILL_TIME, expected * STILL_SHARE);
  return unit.bookings.some(
    ({percent, stillFor}) => percent < NEARLY_DONE && stillFor > limit,
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
  const isUrgent = unit.job.job.terms.priority === 0;
  const best = Math.max(...unit.bookings.map(({bestPace}) => bestPace));
  return findSlow(unit).some(({percent, presentPace, percentAt}) => {
    const left = (100 - percent) / Math.max(presentPace!, 1e-9);
    const mayLose = isUrgent || percent < EARLY;
    const again = unit.step.savesProgress ? 100 - percent : 100;
    const anew = RESTART_TIME + (again / best) * ANEW_MARGIN;
    // Slowness passes; what was done and not saved is lost for good. Urgent work cannot wait for that.
    return (
      (unit.step.savesProgress || mayLose) && left - (now - percentAt) > anew
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
