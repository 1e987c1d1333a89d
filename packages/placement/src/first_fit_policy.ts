/** A baseline: first come, first fit, with no promises. */
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

/** Starts each job, in the order of arrival, on the first targets that fit. */
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
    const own = cells as Cells;
    const decisions: PassDecisions = {placements: [], reclaims: [], waits: []};
    const order = [...queue].sort((a, b) => a.submittedAt - b.submittedAt);
    for (const job of order) {
      const assignments = own.isInService && findFirstFit(own, job);
      if (assignments) {
        own.addGang(toRunningGang(job, assignments, false, now));
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
          reason: describeCapacityWait(own, job),
        });
      }
    }
    decisions.placements.forEach(({jobId}) => own.removeGang(jobId));
    return decisions;
  }

  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined {
    return findUnmetConstraint(cells as Cells, job);
  }
}

/** The gang that a job becomes when it starts at `now`. */
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

/** Names of targets, shortened after the first few. */
export function describeTargets(assignments: readonly Assignment[]): string {
  const SHOWN = 4;
  const names = assignments.slice(0, SHOWN).map(({target}) => target);
  const rest = assignments.length - names.length;
  return names.join(', ') + (rest > 0 ? ` and ${rest} more` : '');
}

/** Why a job without a place waits. */
export function describeCapacityWait(cells: Cells, job: WaitingJob): Reason {
  if (!cells.isInService) {
    return createReason('waiting-domain', {domain: cells.domain});
  }
  return createReason('waiting-capacity', {
    missing: describeGang(job),
    available: `${cells.getMaxFreeAccelerators(job.gang.adjacency)} accelerators`,
  });
}
