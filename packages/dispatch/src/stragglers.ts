/** Finds runs that stand still, and runs that their draining target will not finish. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {DurationEstimator} from './duration_estimator.js';
import {estimateRemainingTime} from './progress_rate.js';
import type {RunTracker} from './run_tracker.js';
import type {Allocation, ActiveJob, ActiveUnit} from './active_job.js';

/** A run stands still when it was seen without progress for this share of its expected time: even at a tenth of the usual pace, its percent had risen. */
const STALL_SHARE = 0.12;

/** Shortest such time: two listings. */
const MIN_STALL_MS: Milliseconds = 1300;

/** Members this much behind the others hold their gang up, in percent. */
const MIN_LAG_PERCENT = 4;

/** A pace below this share of the best is a fault of the target; tasks differ by less. */
const SLOW_RATE_SHARE = 0.45;

/** Work without checkpoints that is not urgent is started anew only up to this percent. */
const MAX_RESTART_PROGRESS_PERCENT = 20;

/** Time of a stop and a start elsewhere. */
const RESTART_MS: Milliseconds = 800;

/** What is started anew must end this much sooner, for it may have to wait. */
const RESTART_SAFETY_FACTOR = 1.3;

/** Percent from which on a run is about to end. */
const NEARLY_DONE_PERCENT = 99;

/** A stop on a draining target leaves this much time: 800 ms that the registry may lag behind the notice, 400 for the stop, and 400 for the listing of its end. */
const DRAIN_STOP_MARGIN_MS: Milliseconds = 1600;

/** Stops what cannot go on where it is. */
export function stopStragglers(
  jobs: Iterable<ActiveJob>,
  book: RunTracker,
  estimates: DurationEstimator,
  now: Instant,
  logger: Logger,
): void {
  for (const job of jobs) {
    for (const unit of job.units) {
      if (unit.phase !== 'running' || unit.progress.isDone) {
        continue;
      }
      if (!unit.step.isLongRunning && isStalled(unit, estimates)) {
        onStalled(unit, book, now, logger);
      } else if (isRestartFaster(unit, now)) {
        onSlowedDown(unit, book, now, logger);
      } else if (isDrainStopDue(unit, estimates, now)) {
        book.stop(unit, 'its target is leaving');
      }
    }
  }
}

function isStalled(unit: ActiveUnit, estimates: DurationEstimator): boolean {
  const {queue} = unit.job.accepted;
  const expected = estimates.estimateDuration(queue, unit.step.estimateMs);
  const limit = Math.max(MIN_STALL_MS, expected * STALL_SHARE);
  return unit.allocations.some(
    ({percent, stalledFor: stillFor}) =>
      percent < NEARLY_DONE_PERCENT && stillFor > limit,
  );
}

/** The members that are behind are where the fault is; when all are level, it cannot be told. */
function onStalled(
  unit: ActiveUnit,
  book: RunTracker,
  now: Instant,
  logger: Logger,
): void {
  const percents = unit.allocations.map(({percent}) => percent);
  const most = Math.max(...percents);
  const behind = unit.allocations.filter(
    ({percent}) => percent <= most - MIN_LAG_PERCENT,
  );
  const suspects = unit.allocations.length === 1 ? unit.allocations : behind;
  logger.warn('run-still', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: percents.slice(0, 16),
    suspects: suspects.map(({target: room}) => room.info.id).slice(0, 8),
  });
  for (const {target: room} of suspects) {
    unit.avoidedTargets.add(room.info.id);
    book.onTargetFault(room, 2, now);
  }
  book.stop(unit, 'it stands still');
}

/** Members whose pace fell far below the best that they or others of their gang had. */
function findSlowMembers(unit: ActiveUnit): Allocation[] {
  const best = Math.max(
    ...unit.allocations.map(({bestRate: bestPace}) => bestPace),
  );
  return unit.allocations.filter(
    ({currentRate: presentPace, percent}) =>
      presentPace !== undefined &&
      percent < NEARLY_DONE_PERCENT &&
      presentPace < best * SLOW_RATE_SHARE,
  );
}

/** Whether starting anew elsewhere ends sooner than going on. */
function isRestartFaster(unit: ActiveUnit, now: Instant): boolean {
  if (unit.step.isLongRunning) {
    return false;
  }
  const isUrgent = unit.job.accepted.terms.priority === 0;
  const best = Math.max(
    ...unit.allocations.map(({bestRate: bestPace}) => bestPace),
  );
  return findSlowMembers(unit).some(
    ({percent, currentRate: presentPace, percentAt}) => {
      const left = (100 - percent) / Math.max(presentPace!, 1e-9);
      const mayLose = isUrgent || percent < MAX_RESTART_PROGRESS_PERCENT;
      const again = unit.step.savesProgress ? 100 - percent : 100;
      const anew = RESTART_MS + (again / best) * RESTART_SAFETY_FACTOR;
      // Slowness passes; what was done and not saved is lost for good. Urgent work cannot wait for that.
      return (
        (unit.step.savesProgress || mayLose) && left - (now - percentAt) > anew
      );
    },
  );
}

function onSlowedDown(
  unit: ActiveUnit,
  book: RunTracker,
  now: Instant,
  logger: Logger,
): void {
  const slow = findSlowMembers(unit);
  logger.warn('run-slowed', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: slow.map(({percent}) => percent).slice(0, 16),
    targets: slow.map(({target: room}) => room.info.id).slice(0, 8),
  });
  for (const {target: room} of slow) {
    book.onTargetFault(room, 2, now);
  }
  book.stop(unit, 'its target has become slow');
}

function isDrainStopDue(
  unit: ActiveUnit,
  estimates: DurationEstimator,
  now: Instant,
): boolean {
  return unit.allocations.some(booking => {
    const {target: room} = booking;
    if (!room.info.isDraining || room.drainingSince === undefined) {
      return false;
    }
    const leavesAt = room.drainingSince + (room.info.remainingMs ?? 0);
    const left = estimateRemainingTime(booking, unit, estimates, 1, now);
    const finishes = now + left <= leavesAt;
    // Work that is saved can go on until shortly before the target leaves.
    const isLast = now >= leavesAt - DRAIN_STOP_MARGIN_MS;
    return !finishes && (isLast || !unit.step.savesProgress);
  });
}
