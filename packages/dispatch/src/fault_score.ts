/** Evidence that a target is at fault for the failures of runs on it. */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** Time in which evidence loses half of its weight; faults of targets last a few seconds. */
const HALF_LIFE_MS: Milliseconds = 5000;

/** Share of the evidence that remains after a run that succeeded; a faulty target may fail only some of its runs. */
const SHARE_AFTER_SUCCESS = 0.5;

/** Score from which on a target is doubted: half a failure that nothing else explains. */
const DOUBT_THRESHOLD = 0.5;

/** Sum of failures that decays with time. */
export class FaultScore {
  private value = 0;
  private updatedAt: Instant = -Infinity;

  /** Adds `failures`; less than 1 if the task may be at fault. Returns the new score. */
  add(failures: number, now: Instant): number {
    this.value = this.read(now) + failures;
    this.updatedAt = now;
    return this.value;
  }

  /** Called when a run on the target has succeeded. */
  onSuccess(): void {
    this.value *= SHARE_AFTER_SUCCESS;
  }

  /** Returns the score at `now`. */
  read(now: Instant): number {
    return this.value === 0
      ? 0
      : this.value * 2 ** (-(now - this.updatedAt) / HALF_LIFE_MS);
  }

  /** Whether other targets should be preferred. */
  isDoubted(now: Instant): boolean {
    return this.read(now) >= DOUBT_THRESHOLD;
  }
}
