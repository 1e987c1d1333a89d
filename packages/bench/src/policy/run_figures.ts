/** Defines the figures of one run of a policy, and computes means, percentiles and time integrals. */
import type {ScenarioName} from './scenario.js';

/** Figures of one run. */
export interface RunFigures {
  deployment: string;
  policy: string;
  scenario: ScenarioName;
  seed: number;
  /** Time from submission to completion; `largeP99` covers large jobs alone. */
  completionSeconds: {mean: number; p50: number; p99: number; largeP99: number};
  /** Free accelerators that no gang shape can use, as a share of all, averaged over time. */
  fragmentation: number;
  /** Useful work as a share of the work that the jobs and the capacity in service allowed. */
  goodput: number;
  /** Time from the decision to reclaim until the start of the job. */
  reclaimSeconds: {p99: number};
  /** Jobs that waited too long although they fitted into the unused guarantee of their workspace. */
  promiseViolations: number;
  /** Jobs that were ended without a result. */
  failedJobs: number;
  /** Longest wait of a large job for its first start, in seconds. */
  largeWaitSeconds: number;
  /** Lowest mean completion time that any policy can reach, in seconds. */
  boundMean: number;
}

/** Integral over time of a value that changes in steps. */
export class TimeIntegral {
  private weightedSum = 0;
  private durationSeconds = 0;

  /** Adds a value that held for the given time. */
  add(value: number, seconds: number): void {
    this.weightedSum += value * seconds;
    this.durationSeconds += seconds;
  }

  /** Sum of the values, each multiplied by its duration in seconds. */
  get total(): number {
    return this.weightedSum;
  }

  /** Time-weighted mean; 0 when nothing was added. */
  get mean(): number {
    return this.durationSeconds === 0
      ? 0
      : this.weightedSum / this.durationSeconds;
  }
}

/** Computes the arithmetic mean; 0 when there are no values. */
export function computeMean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return values.length === 0 ? 0 : sum / values.length;
}

/** Computes the smallest value that a share `quantile` (0 to 1) of the values does not exceed; 0 when there are no values. */
export function computeQuantile(
  values: readonly number[],
  quantile: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(quantile * sorted.length) - 1;
  return sorted[Math.max(0, index)] ?? 0;
}
