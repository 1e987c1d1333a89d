/** Sums up one run of a policy. */
import type {ScenarioName} from './scenario.js';

/** The figures of one run. */
export interface RunFigures {
  deployment: string;
  policy: string;
  scenario: ScenarioName;
  seed: number;
  /** Time from submission to the end, in seconds. */
  completionSeconds: {mean: number; p50: number; p99: number; largeP99: number};
  /** Free accelerators that no shape can use, as a share of all, over time. */
  fragmentation: number;
  /** Work that counted, as a share of what the capacity in service allowed. */
  goodput: number;
  /** Time from the decision to reclaim to the start, in seconds. */
  reclaimSeconds: {p99: number};
  /** Jobs that waited although their workspace's unused promise held them. */
  promiseViolations: number;
  /** Jobs that were ended without a result. */
  failedJobs: number;
  /** Longest wait of a large job for its first start, in seconds. */
  largeWaitSeconds: number;
  /** Lowest mean completion time that any policy can reach, in seconds. */
  boundMean: number;
}

/** A sum over time of values that hold from one moment to the next. */
export class TimeIntegral {
  private sum = 0;
  private seconds = 0;

  /** Adds a value that held for some seconds. */
  add(value: number, seconds: number): void {
    this.sum += value * seconds;
    this.seconds += seconds;
  }

  get total(): number {
    return this.sum;
  }

  get mean(): number {
    return this.seconds === 0 ? 0 : this.sum / this.seconds;
  }
}

/** The mean of some values; 0 when there are none. */
export function computeMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}

/** The value that a share `quantile` of the values does not exceed; 0 when there are none. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
