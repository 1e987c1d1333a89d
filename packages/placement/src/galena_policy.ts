/** The policy of galenavalve. */
import {
  type Configuration,
  type Reason,
  createReason,
} from '@galenavalve/model';
import {Cells} from './cells.js';
import {
  describeCapacityWait,
  describeTargets,
  toRunningGang,
} from './first_fit.js';
import {findConstraint} from './impossibility.js';
import type {DomainCells, PassDecisions, Policy, WaitingJob} from './policy.js';
import {findBestFit} from './search.js';

/** Urgent jobs first, then by arrival, each at its best fit. */
export class GalenaPolicy implements Policy {
  readonly name = 'galenavalve';

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
    const order = [...queue].sort(
      (a, b) =>
        Number(b.urgent) - Number(a.urgent) || a.submittedAt - b.submittedAt,
    );
    for (const job of order) {
      const assignments = own.isInService && findBestFit(own, job);
      if (assignments) {
        own.occupy(toRunningGang(job, assignments, false, now));
        decisions.placements.push({
          jobId: job.jobId,
          assignments,
          guaranteed: false,
          reason: createReason('placed-borrowed', {
            targets: describeTargets(assignments),
          }),
        });
      } else {
        decisions.waits.push({
          jobId: job.jobId,
          reason: describeCapacityWait(own, job),
        });
      }
    }
    decisions.placements.forEach(({jobId}) => own.vacate(jobId));
    return decisions;
  }

  findImpossibility(cells: DomainCells, job: WaitingJob): Reason | undefined {
    return findConstraint(cells as Cells, job);
  }
}
