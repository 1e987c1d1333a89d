/** Pure scheduling decisions: cells, guarantees, queue order, reclaim and backfill. */

// Decisions
export * from './policy.js';
export {GuaranteePolicy} from './guarantee_policy.js';
export {FirstFitPolicy} from './first_fit_policy.js';
export {QuotaPolicy} from './quota_policy.js';

// Guarantees
export {type Apportionment, apportionGuarantees} from './apportionment.js';
export type {DomainGuarantee, Shortfall} from './domain_guarantee.js';
export {
  type TargetPredicate,
  listGuaranteeViews,
  describeShortfall,
  findShortfalls,
  createInServiceFilter,
} from './shortfall.js';
export {findGuaranteeFailure} from './guarantee_check.js';

// Cells
export {Cells} from './cells.js';
export type {
  GuaranteedCell,
  GuaranteedCellMap,
  TargetSlice,
  WorkspaceCells,
} from './guaranteed_cell.js';
export {type TargetResources, TargetCell, countFitting} from './target_cell.js';
export {countBits, listHalfMasks} from './accelerator_mask.js';
export {type SearchRequest, findBestFit} from './best_fit_search.js';

// Failure domains
export {
  type DomainSummary,
  type Move,
  type Route,
  type StartOption,
  chooseDomain,
  estimateBacklog,
  findMove,
  START_OPTIONS,
  summarizeDomain,
} from './routing.js';
export {
  type EvacuationDecision,
  type EvacuationRequest,
  type EvacuationAction,
  decideEvacuation,
} from './evacuation.js';

// Failures, usage and run times
export {type QuarantineState, FailureTracker} from './failure_tracker.js';
export {
  type Throttle,
  type UsageReport,
  MAX_REPORT_AGE_MS,
  decideThrottle,
} from './throttle.js';
export {
  RunTimeEstimator,
  MEDIAN_QUANTILE,
  UPPER_QUANTILE,
} from './run_time_estimator.js';
