/** Estimates of run times: the caller's estimate, corrected by what was seen. */

/** Number of latest observations that are kept per workspace and kind. */
const WINDOW = 64;

/** Observations before the estimate rests on them alone. */
const ENOUGH = 8;

/** Factor for kinds that were never seen, when an upper estimate is asked for. */
const UNKNOWN_UPPER_FACTOR = 3;

/** Quantile for planning of the order. */
export const MEDIAN_QUANTILE = 0.5;

/** Quantile for promises, such as backfill that must not delay another job. */
export const UPPER_QUANTILE = 0.9;

/** Ratios of actual to declared run time, per workspace and kind. */
export class RunTimeEstimator {
  private readonly ratios = new Map<string, RatioWindow>();

  /** Notes one run. */
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
    let window = this.ratios.get(key);
    if (!window) {
      window = new RatioWindow();
      this.ratios.set(key, window);
    }
    window.add(actualSeconds / declaredSeconds);
  }

  /** The run time in seconds that a share `quantile` of such jobs stays under. */
  estimate(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    quantile: number,
  ): number {
    const window = this.ratios.get(`${workspace}/${kind}`);
    const guess = quantile > MEDIAN_QUANTILE ? UNKNOWN_UPPER_FACTOR : 1;
    if (!window) {
      return declaredSeconds * guess;
    }
    const seen = window.quantile(quantile);
    const trust = Math.min(1, window.size / ENOUGH);
    return declaredSeconds * (seen * trust + guess * (1 - trust));
  }
}

/** The latest ratios of one workspace and kind. */
class RatioWindow {
  private readonly values: number[] = [];
  private sorted: number[] | undefined;
  private next = 0;

  get size(): number {
    return this.values.length;
  }

  add(value: number): void {
    this.values[this.next] = value;
    this.next = (this.next + 1) % WINDOW;
    this.sorted = undefined;
  }

  quantile(share: number): number {
    this.sorted ??= [...this.values].sort((a, b) => a - b);
    const index = Math.ceil(share * this.sorted.length) - 1;
    return this.sorted[Math.max(0, index)]!;
  }
}
