/**
 * Orders the queue: urgent jobs first, then the shortest jobs first, corrected by
 * the fair share of workspaces and by ageing, which raises the priority of jobs
 * with their waiting time.
 */
import type {Cells} from './cells.js';
import {MEDIAN_QUANTILE} from './run_time_estimator.js';
import type {WaitingJob} from './policy.js';

/** A job with its rank in the queue; lower ranks start first. */
export interface RankedJob {
  job: WaitingJob;
  /**
   * Rank in priority steps, a binary logarithm: one step less makes up for twice
   * the expected run time.
   */
  rank: number;
}

/**
 * Periods of `ageingSeconds` after which ageing amounts to one priority step.
 * With one period per step, ageing dominates, and a burst is served in order of
 * arrival, long jobs before short ones.
 */
const AGEING_PERIODS_PER_STEP = 6;

/** Largest correction by fair share, in priority steps. */
const MAX_FAIR_SHARE_STEPS = 2;

/** Orders jobs by urgency and rank; ties go to the job that was submitted first. */
export function orderQueue(
  cells: Cells,
  queue: readonly WaitingJob[],
  now: number,
): RankedJob[] {
  const shares = new FairShares(cells);
  const ranked = queue.map(job => ({
    job,
    rank: computeRank(cells, shares, job, now),
  }));
  return ranked.sort(
    (a, b) =>
      Number(b.job.urgent) - Number(a.job.urgent) ||
      a.rank - b.rank ||
      a.job.submittedAt - b.job.submittedAt ||
      (a.job.jobId < b.job.jobId ? -1 : 1),
  );
}

/** Returns the number of accelerators that a gang needs in total. */
export function countRequiredAccelerators({
  gang,
}: Pick<WaitingJob, 'gang'>): number {
  return gang.tasks * gang.perTask.accelerators;
}

/**
 * Computes the rank: each doubling of the expected run time adds a step,
 * waiting subtracts steps.
 */
function computeRank(
  cells: Cells,
  shares: FairShares,
  job: WaitingJob,
  now: number,
): number {
  const seconds = cells.estimates.estimate(
    job.workspace,
    job.kind,
    job.expectedSeconds,
    MEDIAN_QUANTILE,
  );
  const lengthSteps = Math.log2(1 + seconds);
  const waitedSeconds = Math.max(0, now - job.submittedAt) / 1000;
  const ageSteps =
    waitedSeconds / (cells.rules.ageingSeconds * AGEING_PERIODS_PER_STEP);
  return lengthSteps + shares.getSteps(job.workspace) - ageSteps;
}

/** Compares the usage of each workspace with its share by weight of all used accelerators. */
class FairShares {
  private totalUsed = 0;
  private totalWeight = 0;

  constructor(private readonly cells: Cells) {
    for (const used of cells.usedByWorkspace.values()) {
      this.totalUsed += used;
    }
    for (const {weight} of cells.configuration.workspaces.values()) {
      this.totalWeight += weight;
    }
  }

  /**
   * Returns the correction in priority steps; negative for a workspace that
   * uses less than its share.
   */
  getSteps(workspace: string): number {
    const weight = this.cells.configuration.workspaces.get(workspace)?.weight;
    if (!weight || this.totalUsed === 0) {
      return 0;
    }
    const fairShare = (this.totalUsed * weight) / this.totalWeight;
    const used = this.cells.usedByWorkspace.get(workspace) ?? 0;
    const ratio = (used + 1) / (fairShare + 1);
    const steps = Math.log2(ratio);
    return Math.max(
      -MAX_FAIR_SHARE_STEPS,
      Math.min(MAX_FAIR_SHARE_STEPS, steps),
    );
  }
}
