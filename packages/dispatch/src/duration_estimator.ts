/**
 * Corrects callers' estimates by the actual durations of tasks of the same
 * queue.
 */
import type {Milliseconds} from '@galenavalve/shared';

/** Number of latest tasks of a queue that the correction is derived from. */
const MAX_RATIOS = 21;

/** Number of tasks from which on the estimates of callers no longer count themselves. */
const MIN_RATIOS = 5;

/**
 * Range of plausible ratios; values outside it are measurement errors and are
 * clamped.
 */
const MIN_RATIO = 0.1;
const MAX_RATIO = 10;

/**
 * Medians of the ratio of actual to estimated duration, by queue. A few slow
 * targets do not move a median.
 */
export class DurationEstimator {
  private readonly ratios = new Map<string, number[]>();
  private readonly medians = new Map<string, number>();

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
    const latest = [...(this.ratios.get(queue) ?? []), ratio].slice(
      -MAX_RATIOS,
    );
    this.ratios.set(queue, latest);
    this.medians.set(queue, computeMedian(latest));
  }

  /** Returns the expected duration of a task of `queue`. */
  estimateDuration(queue: string, estimate: Milliseconds): Milliseconds {
    return estimate * (this.medians.get(queue) ?? 1);
  }
}

function computeMedian(ratios: readonly number[]): number {
  const samples = ratios.length < MIN_RATIOS ? [...ratios, 1] : [...ratios];
  const sorted = samples.sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  return sorted.length % 2 === 1
    ? sorted[middle]!
    : (sorted[middle - 1]! + sorted[middle]!) / 2;
}
