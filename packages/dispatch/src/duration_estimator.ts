/**
 * Corrects callers' estimates by the actual durations of tasks of the same
 * queue.
 */
import type {Milliseconds} from '@galenavalve/shared';

/** Weight of the newest ratio in the moving average. */
const NEWEST_RATIO_WEIGHT = 0.15;

/**
 * Range of plausible ratios; values outside it are measurement errors and are
 * clamped.
 */
const MIN_RATIO = 0.1;
const MAX_RATIO = 10;

/** Moving averages of the ratio of actual to estimated duration, by queue. */
export class DurationEstimator {
  private readonly ratios = new Map<string, number>();

  /** Records the actual duration of a task of `queue`. */
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

  /** Returns the expected duration of a task of `queue`. */
  estimateDuration(queue: string, estimate: Milliseconds): Milliseconds {
    return estimate * (this.ratios.get(queue) ?? 1);
  }
}
