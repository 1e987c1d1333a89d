/** Scheduling policy of galenavalve: guarantees with borrowing and reclaim. */
import type {Configuration, Reason} from '@galenavalve/model';
import {Cells} from './cells.js';
import {DecisionPass} from './decision_pass.js';
import {findUnmetConstraint} from './infeasibility.js';
import type {DomainCells, PassDecisions, Policy, WaitingJob} from './policy.js';

/**
 * Places guaranteed work first, with reclaim where needed. Then places borrowed
 * work, ordered by expected run time, fair share and age, with a reservation for
 * the oldest large job.
 */
export class GuaranteePolicy implements Policy {
  readonly name = 'galenavalve';

  createCells(domain: string, configuration: Configuration): Cells {
    return new Cells(domain, configuration);
  }

  decide(
    cells: DomainCells,
    queue: readonly WaitingJob[],
    now: number,
  ): PassDecisions {
    return new DecisionPass(cells as Cells, now).run(queue);
  }

  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined {
    return findUnmetConstraint(cells as Cells, job);
  }
}
