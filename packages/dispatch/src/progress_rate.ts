/**
 * Estimates the remaining time of runs from the progress in their targets'
 * listings.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {DurationEstimator} from './duration_estimator.js';
import type {Allocation, ActiveUnit} from './active_job.js';

/** Minimum progress from which a rate can be derived. */
const MIN_RATE_PROGRESS_PERCENT = 5;

/**
 * Minimum interval over which the current rate is measured; it spans a few
 * listings.
 */
const MIN_SAMPLE_INTERVAL_MS: Milliseconds = 1500;

/**
 * Minimum progress in a sample interval, or else the progress expected at the
 * best rate. Smaller values are too coarse, since progress is listed in whole
 * percent.
 */
const MIN_SAMPLE_PROGRESS_PERCENT = 4;
const MIN_EXPECTED_PROGRESS_PERCENT = 8;

/**
 * Records a sample of a run's progress at `clock`, in milliseconds of the
 * target's clock: the arrival time is unreliable, since listings queue up at a
 * busy dispatcher. `estimate` is the duration of a whole run by its caller's
 * estimate.
 */
export function sampleProgressRate(
  allocation: Allocation,
  estimate: Milliseconds,
  clock: number,
): void {
  // Progress that was restored from a checkpoint was not made by this run.
  allocation.rateSample ??= {percent: allocation.percent, clock};
  const elapsed = clock - allocation.rateSample.clock;
  const gained = allocation.percent - allocation.rateSample.percent;
  const expectedRate = Math.max(
    allocation.bestRate,
    100 / Math.max(estimate, 1),
  );
  const isReadable =
    gained >= MIN_SAMPLE_PROGRESS_PERCENT ||
    elapsed * expectedRate >= MIN_EXPECTED_PROGRESS_PERCENT;
  if (elapsed < MIN_SAMPLE_INTERVAL_MS || !isReadable) {
    return;
  }
  const rate = gained / elapsed;
  allocation.bestRate = Math.max(allocation.bestRate, rate);
  allocation.currentRate = rate;
  allocation.rateSample = {percent: allocation.percent, clock};
}

/**
 * Whether the remaining time can be derived from the run's own progress rather
 * than its caller's estimate.
 */
export function isProgressRateKnown(member: Allocation): boolean {
  return member.percent - member.firstPercent >= MIN_RATE_PROGRESS_PERCENT;
}

/** Minimum number of members whose rates can be compared with each other. */
const MIN_COMPARABLE_MEMBERS = 3;

/**
 * Records for each target of a gang how long its members take relative to the
 * gang's median. This does not depend on callers' estimates.
 */
export function compareMemberRates(allocations: readonly Allocation[]): void {
  const comparable = allocations.filter(isProgressRateKnown);
  if (comparable.length < MIN_COMPARABLE_MEMBERS) {
    return;
  }
  const timesPerPercent = comparable.map(
    ({percent, percentAt, firstPercent, firstPercentAt}) =>
      (percentAt - firstPercentAt) / (percent - firstPercent),
  );
  const median = [...timesPerPercent].sort((a, b) => a - b)[
    timesPerPercent.length >> 1
  ]!;
  if (median > 0) {
    comparable.forEach(({target}, index) =>
      target.recordDurationRatio(timesPerPercent[index]! / median),
    );
  }
}

/** Returns the expected time until the run of `allocation` ends. */
export function estimateRemainingTime(
  allocation: Allocation,
  unit: ActiveUnit,
  estimator: DurationEstimator,
  rackFactor: number,
  now: Instant,
): Milliseconds {
  if (isProgressRateKnown(allocation)) {
    const gained = allocation.percent - allocation.firstPercent;
    const msPerPercent =
      (allocation.percentAt - allocation.firstPercentAt) / gained;
    const remaining = msPerPercent * (100 - allocation.percent);
    return Math.max(0, remaining - (now - allocation.percentAt));
  }
  const factor = unit.hasLocalityPenalty ? rackFactor : 1;
  const fullDuration =
    estimator.estimateDuration(unit.job.accepted.queue, unit.step.estimateMs) *
    factor *
    allocation.target.slowness;
  return fullDuration * (1 - allocation.percent / 100);
}
