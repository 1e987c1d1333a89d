/**
 * Detects runs that have stalled or become slow, and runs that will not end
 * before their draining target leaves.
 */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {DurationEstimator} from './duration_estimator.js';
import {findEarlyStragglers} from './early_progress.js';
import {estimateRemainingTime} from './progress_rate.js';
import type {RunTracker} from './run_tracker.js';
import type {Allocation, ActiveJob, ActiveUnit} from './active_job.js';

/**
 * Share of its expected duration without progress after which a run counts as
 * stalled; at a tenth of the usual rate, a run gains a whole percent in that
 * time.
 */
const STALL_SHARE = 0.12;

/** Minimum time without progress; two listings, a target's reports of its runs. */
const MIN_STALL_MS: Milliseconds = 1300;

/** The same for urgent runs, which are listed more often and whose slack is short. */
const MIN_URGENT_STALL_MS: Milliseconds = 700;

/**
 * Lag behind the most advanced member from which on a member delays its gang.
 */
const MIN_LAG_PERCENT = 4;

/**
 * Share of the best rate below which the target is at fault; rates of healthy
 * tasks differ by less.
 */
const SLOW_RATE_SHARE = 0.45;

/**
 * Maximum progress at which work that is neither urgent nor saves progress is
 * restarted.
 */
const MAX_RESTART_PROGRESS_PERCENT = 20;

/** Time of a stop and a start on another target. */
const RESTART_MS: Milliseconds = 800;

/**
 * Safety factor on the expected duration of a restarted run, which may have to
 * wait for capacity.
 */
const RESTART_SAFETY_FACTOR = 1.3;

/** Progress from which on a run counts as about to end. */
const NEARLY_DONE_PERCENT = 99;

/**
 * Time that a stop on a draining target needs: 800 ms by which the registry may
 * lag behind the drain notice, 400 ms for the stop, and 400 ms until the target
 * lists the end of the run in its response to a poll.
 */
const DRAIN_STOP_MARGIN_MS: Milliseconds = 1600;

/** Stops runs that should continue on another target. */
export function stopStragglers(
  jobs: Iterable<ActiveJob>,
  tracker: RunTracker,
  estimator: DurationEstimator,
  now: Instant,
  logger: Logger,
): void {
  for (const job of jobs) {
    for (const unit of job.units) {
      if (unit.phase === 'running' && !unit.progress.isDone) {
        checkRun(unit, tracker, estimator, now, logger);
      }
    }
  }
}

function checkRun(
  unit: ActiveUnit,
  tracker: RunTracker,
  estimator: DurationEstimator,
  now: Instant,
  logger: Logger,
): void {
  if (!unit.step.isLongRunning && isStalled(unit, estimator)) {
    onStalled(unit, tracker, now, logger);
    return;
  }
  const slowMembers = findStragglers(unit, estimator, now);
  if (slowMembers.length > 0) {
    onSlowedDown(unit, slowMembers, tracker, now, logger);
  } else if (isDrainStopDue(unit, estimator, now)) {
    tracker.stop(unit, 'its target leaves before the run can end');
  }
}

/** Returns the slow members of a unit if a restart on other targets is expected to end sooner. */
function findStragglers(
  unit: ActiveUnit,
  estimator: DurationEstimator,
  now: Instant,
): readonly Allocation[] {
  if (unit.step.isLongRunning) {
    return [];
  }
  if (isRestartFaster(unit, now)) {
    return findSlowMembers(unit);
  }
  return isUrgent(unit) ? findEarlyStragglers(unit, estimator, now) : [];
}

function isUrgent(unit: ActiveUnit): boolean {
  return unit.job.accepted.terms.priority === 0;
}

function isStalled(unit: ActiveUnit, estimator: DurationEstimator): boolean {
  const {queue} = unit.job.accepted;
  const expected = estimator.estimateDuration(queue, unit.step.estimateMs);
  const minStall = isUrgent(unit) ? MIN_URGENT_STALL_MS : MIN_STALL_MS;
  const stallLimit = Math.max(minStall, expected * STALL_SHARE);
  return unit.allocations.some(
    ({percent, stalledFor}) =>
      percent < NEARLY_DONE_PERCENT && stalledFor > stallLimit,
  );
}

/**
 * Avoids the targets of lagging members and stops the unit. If all members of a
 * gang have the same progress, the faulty target cannot be identified.
 */
function onStalled(
  unit: ActiveUnit,
  tracker: RunTracker,
  now: Instant,
  logger: Logger,
): void {
  const percents = unit.allocations.map(({percent}) => percent);
  const maxPercent = Math.max(...percents);
  const lagging = unit.allocations.filter(
    ({percent}) => percent <= maxPercent - MIN_LAG_PERCENT,
  );
  const suspects = unit.allocations.length === 1 ? unit.allocations : lagging;
  logger.warn('run-stalled', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: percents.slice(0, 16),
    suspects: suspects.map(({target}) => target.info.id).slice(0, 8),
  });
  for (const {target} of suspects) {
    unit.avoidedTargets.add(target.info.id);
    tracker.onTargetFault(target, 2, now);
  }
  tracker.stop(unit, 'the run makes no progress');
}

/**
 * Returns the members whose rate is far below the best rate of any member of
 * the unit.
 */
function findSlowMembers(unit: ActiveUnit): Allocation[] {
  const bestMemberRate = Math.max(
    ...unit.allocations.map(({bestRate}) => bestRate),
  );
  return unit.allocations.filter(
    ({currentRate, percent}) =>
      currentRate !== undefined &&
      percent < NEARLY_DONE_PERCENT &&
      currentRate < bestMemberRate * SLOW_RATE_SHARE,
  );
}

/**
 * Whether a restart on other targets is expected to end sooner than the current
 * run.
 */
function isRestartFaster(unit: ActiveUnit, now: Instant): boolean {
  const bestMemberRate = Math.max(
    ...unit.allocations.map(({bestRate}) => bestRate),
  );
  return findSlowMembers(unit).some(({percent, currentRate, percentAt}) => {
    const remaining = (100 - percent) / Math.max(currentRate!, 1e-9);
    const mayDiscardWork =
      isUrgent(unit) || percent < MAX_RESTART_PROGRESS_PERCENT;
    const restartPercent = unit.step.savesProgress ? 100 - percent : 100;
    const restartDuration =
      RESTART_MS + (restartPercent / bestMemberRate) * RESTART_SAFETY_FACTOR;
    // Slowness is temporary, but unsaved progress is lost by a restart. Urgent
    // work cannot wait for the slowness to pass.
    return (
      (unit.step.savesProgress || mayDiscardWork) &&
      remaining - (now - percentAt) > restartDuration
    );
  });
}

function onSlowedDown(
  unit: ActiveUnit,
  slowMembers: readonly Allocation[],
  tracker: RunTracker,
  now: Instant,
  logger: Logger,
): void {
  logger.warn('run-slowed', {
    job: unit.job.id,
    step: unit.stepIndex,
    unit: unit.unitIndex,
    run: unit.progress.run,
    percents: slowMembers.map(({percent}) => percent).slice(0, 16),
    targets: slowMembers.map(({target}) => target.info.id).slice(0, 8),
  });
  for (const {target} of slowMembers) {
    tracker.onTargetFault(target, 2, now);
  }
  tracker.stop(unit, 'the run has become slow; a restart ends sooner');
}

function isDrainStopDue(
  unit: ActiveUnit,
  estimator: DurationEstimator,
  now: Instant,
): boolean {
  return unit.allocations.some(allocation => {
    const {target} = allocation;
    if (!target.info.isDraining || target.drainingSince === undefined) {
      return false;
    }
    const leavesAt = target.drainingSince + (target.info.remainingMs ?? 0);
    const remaining = estimateRemainingTime(
      allocation,
      unit,
      estimator,
      1,
      now,
    );
    const canFinish = now + remaining <= leavesAt;
    // A unit that saves its progress can continue until shortly before the
    // target leaves.
    const isLastChance = now >= leavesAt - DRAIN_STOP_MARGIN_MS;
    return !canFinish && (isLastChance || !unit.step.savesProgress);
  });
}
