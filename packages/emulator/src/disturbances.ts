/** Keeps the time of the latest disturbance of an emulated cluster, since some guarantees hold in calm times only. */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** Faults, kills, crashes, and changes of targets or the desired state. */
export class Disturbances {
  private lastAt: Instant = -Infinity;

  /** Records a disturbance. */
  record(now: Instant): void {
    this.lastAt = now;
  }

  /** Whether there was no disturbance for `duration` milliseconds. */
  isCalmFor(duration: Milliseconds, now: Instant): boolean {
    return now - this.lastAt >= duration;
  }
}
