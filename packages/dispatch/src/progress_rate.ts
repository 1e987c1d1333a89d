/** How long runs still take, by the progress that their targets list. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {DurationEstimator} from './duration_estimator.js';
import type {Allocation, ActiveUnit} from './active_job.js';

/** Least progress, in percent, from which a pace can be read. */
const MIN_RATE_PROGRESS_PERCENT = 5;

/** Shortest time over which a present pace is read: a few listings. */
const MIN_SAMPLE_INTERVAL_MS: Milliseconds = 1500;

/** Percent that a sample covers, or that it would at the best pace: progress is listed in whole percents. */
const MIN_SAMPLE_PROGRESS_PERCENT = 4;
const MIN_EXPECTED_PROGRESS_PERCENT = 8;

/**
 * Notes a reading of the run's progress at `clock`, its target's own, in
 * milliseconds: listings wait in line at a busy dispatcher. `estimate` is what
 * its caller expects of a whole run.
 */
export function sampleProgressRate(
  booking: Allocation,
  estimate: Milliseconds,
  clock: number,
): void {
  // What a checkpoint brought along was not done here.
  booking.rateSample ??= {percent: booking.percent, clock};
  const passed = clock - booking.rateSample.clock;
  const gained = booking.percent - booking.rateSample.percent;
  const expectedPace = Math.max(booking.bestRate, 100 / Math.max(estimate, 1));
  const isReadable =
    gained >= MIN_SAMPLE_PROGRESS_PERCENT ||
    passed * expectedPace >= MIN_EXPECTED_PROGRESS_PERCENT;
  if (passed < MIN_SAMPLE_INTERVAL_MS || !isReadable) {
    return;
  }
  const pace = gained / passed;
  booking.bestRate = Math.max(booking.bestRate, pace);
  booking.currentRate = pace;
  booking.rateSample = {percent: booking.percent, clock};
}

/** Whether a run's own progress says when it ends, and not its caller's estimate. */
export function isProgressRateKnown(booking: Allocation): boolean {
  return booking.percent - booking.firstPercent >= MIN_RATE_PROGRESS_PERCENT;
}

/** Members of a gang from which the pace of each can be told from that of the others. */
const MIN_COMPARABLE_MEMBERS = 3;

/** Notes for each target of a gang how long its members take against the gang's median: callers' estimates need not be good for that. */
export function compareMemberRates(bookings: readonly Allocation[]): void {
  const known = bookings.filter(isProgressRateKnown);
  if (known.length < MIN_COMPARABLE_MEMBERS) {
    return;
  }
  const times = known.map(
    ({percent, percentAt, firstPercent, firstPercentAt}) =>
      (percentAt - firstPercentAt) / (percent - firstPercent),
  );
  const median = [...times].sort((a, b) => a - b)[times.length >> 1]!;
  if (median > 0) {
    known.forEach(({target: room}, index) =>
      room.recordDurationRatio(times[index]! / median),
    );
  }
}

/** Expected time until the run of `booking` ends. */
export function estimateRemainingTime(
  booking: Allocation,
  unit: ActiveUnit,
  estimates: DurationEstimator,
  rackFactor: number,
  now: Instant,
): Milliseconds {
  if (isProgressRateKnown(booking)) {
    const gained = booking.percent - booking.firstPercent;
    const pace = (booking.percentAt - booking.firstPercentAt) / gained;
    const left = pace * (100 - booking.percent);
    return Math.max(0, left - (now - booking.percentAt));
  }
  const factor = unit.hasLocalityPenalty ? rackFactor : 1;
  const whole =
    estimates.estimateDuration(unit.job.accepted.queue, unit.step.estimateMs) *
    factor *
    booking.target.slowness;
  return whole * (1 - booking.percent / 100);
}
