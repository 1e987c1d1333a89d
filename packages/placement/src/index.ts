/** Pure placement decisions: cells, guarantees, queue order, reclaim and backfill. */

// Decisions
export * from './policy.js';
export {GalenaPolicy} from './galena_policy.js';
export {FirstFit} from './first_fit.js';
export {Quota} from './quota.js';

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
export {findGuaranteeFailure} from './guarantee_check.js';

// Cells
export {Cells} from './cells.js';
export type {Home, HomeMap, Part, WorkspaceHomes} from './home.js';
export {type Room, TargetCell, countFitting} from './target_cell.js';
export {countBits, halfMasks} from './accelerator_mask.js';
export {type SearchRequest, findBestFit} from './search.js';

// Failure domains
export {
  type DomainSummary,
  type Move,
  type Route,
  type StartOption,
  chooseDomain,
  estimateBacklog,
  findMove,
  startOptions,
  summarizeDomain,
} from './routing.js';
export {
  type EvacuationDecision,
  type EvacuationRequest,
  type EvacuationStep,
  decideEvacuation,
} from './evacuation.js';

// Evidence and usage
export {type Standing, TargetEvidence} from './target_evidence.js';
export {
  type Throttle,
  type UsageReport,
  MAX_REPORT_AGE_MS,
  decideThrottle,
} from './throttle.js';
export {EstimateBook, MEDIAN, UPPER} from './estimate.js';
