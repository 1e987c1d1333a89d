/** Corrects callers' estimates by what tasks of the same queue really took. */
import type {Milliseconds} from '@galenavalve/shared';

/** Weight of the newest observation. */
const NEWEST_RATIO_WEIGHT = 0.15;

/** Ratios beyond these are taken as misreadings. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 10;

/** Ratios of real to estimated durations, by queue. */
export class DurationEstimator {
  private readonly ratios = new Map<string, number>();

  /** Notes that a task of `queue` took `actual`. */
  recordDuration(
    queue: string,
    estimate: Milliseconds,
    actual: Milliseconds,
  ): void {
    if (estimate <= 0) {
      return;
    }
    const raw = actual / estimate;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, raw));
    const known = this.ratios.get(queue);
    const next =
      known === undefined
        ? ratio
        : known + (ratio - known) * NEWEST_RATIO_WEIGHT;
    this.ratios.set(queue, next);
  }

  /** Expected duration of a task. */
  estimateDuration(queue: string, estimate: Milliseconds): Milliseconds {
    return estimate * (this.ratios.get(queue) ?? 1);
  }
}
