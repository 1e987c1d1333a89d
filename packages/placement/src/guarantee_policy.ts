/** The policy of galenavalve. */
import type {Configuration, Reason} from '@galenavalve/model';
import {Cells} from './cells.js';
import {DecisionPass} from './decision_pass.js';
import {findUnmetConstraint} from './infeasibility.js';
import type {DomainCells, PassDecisions, Policy, WaitingJob} from './policy.js';

/**
 * Guaranteed work first, by reclaim where needed; then borrowed work by
 * expected length, fair share and age, with a place kept for the oldest large
 * job.
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
