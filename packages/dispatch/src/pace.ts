/** How long runs still take, by the progress that their targets list. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Estimates} from './estimates.js';
import type {Booking, UnitRun} from './runs.js';

/** Least progress, in percent, from which a pace can be read. */
const READABLE = 5;

/** Shortest time over which a present pace is read: a few listings. */
const SAMPLE_TIME: Milliseconds = 1500;

/** Percent that a sample covers, or that it would at the best pace: progress is listed in whole percents. */
const SAMPLE_GAIN = 4;
const SAMPLE_EXPECTED_GAIN = 8;

/**
 * Notes a reading of the run's progress at `clock`, its target's own, in
 * milliseconds: listings wait in line at a busy dispatcher. `estimate` is what
 * its caller expects of a whole run.
 */
export function samplePace(
  booking: Booking,
  estimate: Milliseconds,
  clock: number,
): void {
  // What a checkpoint brought along was not done here.
  booking.sample ??= {percent: booking.percent, clock};
  const passed = clock - booking.sample.clock;
  const gained = booking.percent - booking.sample.percent;
  const expectedPace = Math.max(booking.bestPace, 100 / Math.max(estimate, 1));
  const isReadable =
    gained >= SAMPLE_GAIN || passed * expectedPace >= SAMPLE_EXPECTED_GAIN;
  if (passed < SAMPLE_TIME || !isReadable) {
    return;
  }
  const pace = gained / passed;
  booking.bestPace = Math.max(booking.bestPace, pace);
  booking.presentPace = pace;
  booking.sample = {percent: booking.percent, clock};
}

/** Whether a run's own progress says when it ends, and not its caller's estimate. */
export function isPaceKnown(booking: Booking): boolean {
  return booking.percent - booking.firstPercent >= READABLE;
}

/** Members of a gang from which the pace of each can be told from that of the others. */
const COMPARABLE_MEMBERS = 3;

/** Notes for each target of a gang how long its members take against the gang's median: callers' estimates need not be good for that. */
export function comparePaces(bookings: readonly Booking[]): void {
  const known = bookings.filter(isPaceKnown);
  if (known.length < COMPARABLE_MEMBERS) {
    return;
  }
  const times = known.map(
    ({percent, percentAt, firstPercent, firstPercentAt}) =>
      (percentAt - firstPercentAt) / (percent - firstPercent),
  );
  const median = [...times].sort((a, b) => a - b)[times.length >> 1]!;
  if (median > 0) {
    known.forEach(({room}, index) => room.notePace(times[index]! / median));
  }
}

/** Expected time until the run of `booking` ends. */
export function remainingTime(
  booking: Booking,
  unit: UnitRun,
  estimates: Estimates,
  rackFactor: number,
  now: Instant,
): Milliseconds {
  if (isPaceKnown(booking)) {
    const gained = booking.percent - booking.firstPercent;
    const pace = (booking.percentAt - booking.firstPercentAt) / gained;
    const left = pace * (100 - booking.percent);
    return Math.max(0, left - (now - booking.percentAt));
  }
  const factor = unit.isFar ? rackFactor : 1;
  const whole =
    estimates.expect(unit.job.job.queue, unit.step.estimateMs) *
    factor *
    booking.room.slowness;
  return whole * (1 - booking.percent / 100);
}
