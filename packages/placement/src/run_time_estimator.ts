/** Estimates run times: the caller's estimate, corrected by observed run times. */

/** Number of most recent observations that are kept per workspace and kind. */
const WINDOW_SIZE = 64;

/** Number of observations from which the estimate relies on them alone. */
const MIN_TRUSTED_OBSERVATIONS = 8;

/** Factor on the caller's estimate for an upper estimate of kinds without observations. */
const UNKNOWN_UPPER_ESTIMATE_FACTOR = 3;

/** Quantile for the queue order. */
export const MEDIAN_QUANTILE = 0.5;

/** Quantile for decisions that rely on an end, such as backfill that must not delay another job. */
export const UPPER_QUANTILE = 0.9;

/** Corrects estimates by the ratios of actual to declared run time, per workspace and kind. */
export class RunTimeEstimator {
  private readonly windows = new Map<string, RatioWindow>();

  /** Records one run. Ignores run times that are not positive. */
  recordRunTime(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    actualSeconds: number,
  ): void {
    if (declaredSeconds <= 0 || actualSeconds <= 0) {
      return;
    }
    const key = `${workspace}/${kind}`;
    let window = this.windows.get(key);
    if (!window) {
      window = new RatioWindow();
      this.windows.set(key, window);
    }
    window.add(actualSeconds / declaredSeconds);
  }

  /**
   * Returns the `quantile` (0 to 1) of the run times of such jobs, in seconds.
   * With few observations, the default factor is mixed in.
   */
  estimate(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    quantile: number,
  ): number {
    const window = this.windows.get(`${workspace}/${kind}`);
    const defaultFactor =
      quantile > MEDIAN_QUANTILE ? UNKNOWN_UPPER_ESTIMATE_FACTOR : 1;
    if (!window) {
      return declaredSeconds * defaultFactor;
    }
    const observed = window.getQuantile(quantile);
    const weight = Math.min(1, window.size / MIN_TRUSTED_OBSERVATIONS);
    return declaredSeconds * (observed * weight + defaultFactor * (1 - weight));
  }
}

/** Most recent ratios of one workspace and kind, in a ring buffer. */
class RatioWindow {
  private readonly values: number[] = [];
  private sorted: number[] | undefined;
  private next = 0;

  get size(): number {
    return this.values.length;
  }

  add(value: number): void {
    this.values[this.next] = value;
    this.next = (this.next + 1) % WINDOW_SIZE;
    this.sorted = undefined;
  }

  getQuantile(quantile: number): number {
    this.sorted ??= [...this.values].sort((a, b) => a - b);
    const index = Math.ceil(quantile * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)]!;
  }
}
