/** Baseline policy without guarantees: first come, first served, with first-fit placement. */
import {
  type Assignment,
  type Configuration,
  type Reason,
  createReason,
} from '@galenavalve/model';
import {Cells} from './cells.js';
import {describeGang, findUnmetConstraint} from './infeasibility.js';
import type {
  DomainCells,
  PassDecisions,
  Policy,
  RunningGang,
  WaitingJob,
} from './policy.js';
import {findFirstFit} from './first_fit_search.js';

/** Starts each job, in order of submission, on the first targets that hold it. */
export class FirstFitPolicy implements Policy {
  readonly name = 'first-fit';

  createCells(domain: string, configuration: Configuration): Cells {
    return new Cells(domain, configuration);
  }

  decide(
    cells: DomainCells,
    queue: readonly WaitingJob[],
    now: number,
  ): PassDecisions {
    const domainCells = cells as Cells;
    const decisions: PassDecisions = {placements: [], reclaims: [], waits: []};
    const order = [...queue].sort((a, b) => a.submittedAt - b.submittedAt);
    for (const job of order) {
      const assignments =
        domainCells.isInService && findFirstFit(domainCells, job);
      if (assignments) {
        domainCells.addGang(toRunningGang(job, assignments, false, now));
        const reason = createReason('placed-borrowed', {
          targets: describeTargets(assignments),
        });
        decisions.placements.push({
          jobId: job.jobId,
          assignments,
          guaranteed: false,
          reason,
        });
      } else {
        decisions.waits.push({
          jobId: job.jobId,
          reason: describeCapacityWait(domainCells, job),
        });
      }
    }
    decisions.placements.forEach(({jobId}) => domainCells.removeGang(jobId));
    return decisions;
  }

  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined {
    return findUnmetConstraint(cells as Cells, job);
  }
}

/** Returns the gang of a job that starts at `now`, in wall-clock milliseconds. */
export function toRunningGang(
  job: WaitingJob,
  assignments: readonly Assignment[],
  guaranteed: boolean,
  now: number,
): RunningGang {
  return {
    jobId: job.jobId,
    workspace: job.workspace,
    gang: job.gang,
    kind: job.kind,
    assignments,
    guaranteed,
    urgent: job.urgent,
    repeatable: job.repeatable,
    checkpointable: job.checkpointable,
    startedAt: now,
    savedAt: now,
    expectedSeconds: job.expectedSeconds,
    stopping: false,
  };
}

/** Formats the ids of targets; only the first four are listed. */
export function describeTargets(assignments: readonly Assignment[]): string {
  const MAX_LISTED_TARGETS = 4;
  const names = assignments
    .slice(0, MAX_LISTED_TARGETS)
    .map(({target}) => target);
  const rest = assignments.length - names.length;
  return names.join(', ') + (rest > 0 ? ` and ${rest} more` : '');
}

/** Returns the reason why a job without a placement waits. */
export function describeCapacityWait(cells: Cells, job: WaitingJob): Reason {
  if (!cells.isInService) {
    return createReason('waiting-domain', {domain: cells.domain});
  }
  return createReason('waiting-capacity', {
    missing: describeGang(job),
    available: `${cells.getMaxFreeAccelerators(job.gang.adjacency)} accelerators`,
  });
}
