/**
 * The order of the queue: urgent jobs first, then short work first, corrected
 * by the fair share of workspaces and by age.
 */
import type {Cells} from './cells.js';
import {MEDIAN_QUANTILE} from './run_time_estimator.js';
import type {WaitingJob} from './policy.js';

/** A job with its place in the order. */
export interface RankedJob {
  job: WaitingJob;
  /** Steps of priority: one less doubles the work that a job may bring. */
  rank: number;
}

/**
 * Periods of `ageingSeconds` that are worth one step. With one period a step,
 * a burst was served in the order of its arrival, long work first.
 */
const AGEING_PERIODS_PER_STEP = 6;

/** Largest correction by fair share, in steps of priority. */
const MAX_SHARE_STEPS = 2;

/** Orders jobs, the first to start first. */
export function orderQueue(
  cells: Cells,
  queue: readonly WaitingJob[],
  now: number,
): RankedJob[] {
  const shares = new FairShares(cells);
  const ranked = queue.map(job => ({
    job,
    rank: rankOf(cells, shares, job, now),
  }));
  return ranked.sort(
    (a, b) =>
      Number(b.job.urgent) - Number(a.job.urgent) ||
      a.rank - b.rank ||
      a.job.submittedAt - b.job.submittedAt ||
      (a.job.jobId < b.job.jobId ? -1 : 1),
  );
}

/** Accelerators that a job needs. */
export function countRequiredAccelerators({
  gang,
}: Pick<WaitingJob, 'gang'>): number {
  return gang.tasks * gang.perTask.accelerators;
}

/** One step doubles the expected work; waiting takes steps back. */
function rankOf(
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
  const work = Math.log2(1 + seconds);
  const waited = Math.max(0, now - job.submittedAt) / 1000;
  const age = waited / (cells.rules.ageingSeconds * AGEING_PERIODS_PER_STEP);
  return work + shares.stepsOf(job.workspace) - age;
}

/** How far each workspace is over or under its weighted share of what is used. */
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

  stepsOf(workspace: string): number {
    const weight = this.cells.configuration.workspaces.get(workspace)?.weight;
    if (!weight || this.totalUsed === 0) {
      return 0;
    }
    const due = (this.totalUsed * weight) / this.totalWeight;
    const used = this.cells.usedByWorkspace.get(workspace) ?? 0;
    const ratio = (used + 1) / (due + 1);
    const steps = Math.log2(ratio);
    return Math.max(-MAX_SHARE_STEPS, Math.min(MAX_SHARE_STEPS, steps));
  }
}
