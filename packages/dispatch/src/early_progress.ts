/**
 * Finds members of urgent runs that are slow by their progress since the start
 * of the run: the slack of urgent work is too short for a sample interval.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {DurationEstimator} from './duration_estimator.js';
import type {Allocation, ActiveUnit} from './active_job.js';

/** Minimum time from the start of a run to a listing from which a rate is derived. */
const MIN_OBSERVED_MS: Milliseconds = 350;

/** Minimum progress of the best member; listed progress is in whole percent. */
const MIN_BEST_PERCENT = 12;

/**
 * Share of the best member's rate below which a member is slow; uneven tasks on
 * healthy targets of different speeds stay above it.
 */
const SLOW_MEMBER_SHARE = 0.35;

/** The same relative to the expected rate, for a run without other members to compare with; estimates are rough. */
const SLOW_RUN_SHARE = 0.25;

/** Time of a stop and a start on another target. */
const RESTART_MS: Milliseconds = 500;

/** Safety factor on the duration of the restarted run. */
const RESTART_SAFETY_FACTOR = 1.2;

/** Returns the members of an urgent run that would end later than a restart on other targets. */
export function findEarlyStragglers(
  unit: ActiveUnit,
  estimator: DurationEstimator,
  now: Instant,
): Allocation[] {
  const observed = unit.allocations.filter(
    ({listedAt}) => listedAt - unit.runningSince >= MIN_OBSERVED_MS,
  );
  if (observed.length < unit.allocations.length || unit.resumeCheckpoint) {
    return [];
  }
  const expectedRate =
    100 /
    Math.max(
      1,
      estimator.estimateDuration(unit.job.accepted.queue, unit.step.estimateMs),
    );
  const isAlone = new Set(observed.map(({target}) => target)).size === 1;
  // The estimate may be wrong, so that a restart would be just as slow.
  if (isAlone && unit.progress.run > 1) {
    return [];
  }
  const best = Math.max(...observed.map(({percent}) => percent));
  if (!isAlone && best < MIN_BEST_PERCENT) {
    return [];
  }
  const rates = observed.map(({percent, listedAt}) => ({
    percent,
    rate: percent / (listedAt - unit.runningSince),
  }));
  const bestRate = isAlone
    ? expectedRate
    : Math.max(...rates.map(({rate}) => rate));
  const share = isAlone ? SLOW_RUN_SHARE : SLOW_MEMBER_SHARE;
  const restart = RESTART_MS + (100 / bestRate) * RESTART_SAFETY_FACTOR;
  return observed.filter((member, index) => {
    const {rate, percent} = rates[index]!;
    const remaining = (100 - percent) / Math.max(rate, 1e-9);
    const isSlow = rate < bestRate * share;
    return isSlow && remaining - (now - member.listedAt) > restart;
  });
}
