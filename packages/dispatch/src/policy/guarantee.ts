/**
 * Determines which urgent jobs, those of priority 0, are covered by the guarantee
 * of their workspace.
 */
import type {ActiveJob} from '../active_job.js';

/**
 * Returns the urgent jobs of workspaces whose urgent jobs together need no more
 * accelerators than guaranteed.
 */
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
  const guaranteed = new Set<ActiveJob>();
  for (const [workspace, {needed, jobs}] of byWorkspace) {
    if (needed <= (guarantees.get(workspace) ?? 0)) {
      jobs.forEach(job => guaranteed.add(job));
    }
  }
  return guaranteed;
}

/** Returns the number of accelerators of the job's widest step. */
function countAccelerators({accepted: job}: ActiveJob): number {
  const counts = job.spec.steps.map(
    step => step.count * step.demand.accelerators,
  );
  return Math.max(...counts);
}
