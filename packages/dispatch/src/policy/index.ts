/**
 * Scheduling policy: which units start where, and which are stopped for them.
 */
export {decide} from './decision.js';
export type {Decision, SchedulingSnapshot} from './scheduling_snapshot.js';
export {createCandidates} from './create_candidates.js';
export {type WaitingUnit, listReadyUnits} from './ready_units.js';
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
