/** How long runs still take, by the progress that their targets list. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Estimates} from './estimates.js';
import type {Booking, UnitRun} from './runs.js';

/** Least progress, in percent, from which a pace can be read. */
const READABLE = 5;

/** Time over which a present pace is read: a few listings, and several percent of usual tasks. */
const SAMPLE_TIME: Milliseconds = 1500;

/** Notes a reading of the run's progress. */
export function samplePace(booking: Booking, now: Instant): void {
  const passed = now - booking.sample.at;
  if (passed < SAMPLE_TIME) {
    return;
  }
  const pace = (booking.percent - booking.sample.percent) / passed;
  booking.bestPace = Math.max(booking.bestPace, pace);
  booking.presentPace = pace;
  booking.sample = {percent: booking.percent, at: now};
}

/** Expected time until the run of `booking` ends. */
export function remainingTime(
  booking: Booking,
  unit: UnitRun,
  estimates: Estimates,
  rackFactor: number,
  now: Instant,
): Milliseconds {
  const gained = booking.percent - booking.firstPercent;
  if (gained >= READABLE) {
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
