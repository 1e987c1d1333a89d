/** Pure placement decisions: cells, guarantees, queue order, reclaim and backfill. */

// Decisions
export * from './policy.js';
export {GalenaPolicy} from './galena_policy.js';
export {FirstFit} from './first_fit.js';

// Guarantees
export {type Apportionment, apportionGuarantees} from './apportion.js';
export type {DomainPromise, Shortfall} from './promise.js';
export {
  type TargetPredicate,
  describeGuarantees,
  describeShortfall,
  findShortfall,
  inServiceOnly,
} from './shortfall.js';

// Cells
export {Cells} from './cells.js';
export type {Home, HomeMap, Part, WorkspaceHomes} from './home.js';
