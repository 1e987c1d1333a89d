/** Which urgent jobs are inside the guarantee of their workspace. */
import type {ActiveJob} from '../active_job.js';

/** Urgent jobs of workspaces that need no more than their guarantee. */
export function findGuaranteedJobs(
  jobs: readonly ActiveJob[],
  guarantees: ReadonlyMap<string, number>,
): ReadonlySet<ActiveJob> {
  const byWorkspace = new Map<string, {needed: number; jobs: ActiveJob[]}>();
  for (const job of jobs) {
    if (job.accepted.terms.priority !== 0 || job.isCancelled) {
      continue;
    }
    const entry = byWorkspace.get(job.accepted.workspace) ?? {
      needed: 0,
      jobs: [],
    };
    entry.needed += countAccelerators(job);
    entry.jobs.push(job);
    byWorkspace.set(job.accepted.workspace, entry);
  }
  const within = new Set<ActiveJob>();
  for (const [workspace, {needed, jobs}] of byWorkspace) {
    if (needed <= (guarantees.get(workspace) ?? 0)) {
      jobs.forEach(job => within.add(job));
    }
  }
  return within;
}

/** Accelerators of a job's widest step. */
function countAccelerators({accepted: job}: ActiveJob): number {
  const needs = job.spec.steps.map(
    step => step.count * step.demand.accelerators,
  );
  return Math.max(...needs);
}
