/** Which urgent jobs are inside the guarantee of their workspace. */
import type {JobRun} from '../runs.js';

/** Urgent jobs of workspaces that need no more than their guarantee. */
export function findGuaranteed(
  jobs: readonly JobRun[],
  guarantees: ReadonlyMap<string, number>,
): ReadonlySet<JobRun> {
  const byWorkspace = new Map<string, {needed: number; jobs: JobRun[]}>();
  for (const job of jobs) {
    if (job.job.terms.priority !== 0 || job.isCancelled) {
      continue;
    }
    const entry = byWorkspace.get(job.job.workspace) ?? {needed: 0, jobs: []};
    entry.needed += acceleratorsOf(job);
    entry.jobs.push(job);
    byWorkspace.set(job.job.workspace, entry);
  }
  const within = new Set<JobRun>();
  for (const [workspace, {needed, jobs}] of byWorkspace) {
    if (needed <= (guarantees.get(workspace) ?? 0)) {
      jobs.forEach(job => within.add(job));
    }
  }
  return within;
}

/** Accelerators of a job's widest step. */
function acceleratorsOf({job}: JobRun): number {
  const needs = job.spec.steps.map(
    step => step.count * step.demand.accelerators,
  );
  return Math.max(...needs);
}
