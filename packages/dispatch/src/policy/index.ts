/**
 * Scheduling policy: which units start where, and which are stopped for them.
 */
export {
  type Decision,
  type SchedulingSnapshot,
  type WaitingUnit,
  createCandidates,
  decide,
  listReadyUnits,
} from './decision.js';
export {type SchedulingPolicy, SlackPolicy} from './scheduling_policy.js';
export {
  type CandidateTarget,
  type PlacementRequest,
  deductCapacity,
} from './candidate_target.js';
export {
  createPlacementRequest,
  isFeasibleWithLocality,
} from './placement_request.js';
export {findLocalPlacement, findPlacementAnywhere} from './placement_search.js';
export {planReclaim} from './reclaim.js';
export type {PlannedStart} from './placement_request.js';
export {type Placement, type PlacementShare} from './placement_search.js';
export {
  UrgencyTier,
  type Urgency,
  computeObjective,
  rateUrgency,
} from './urgency.js';
