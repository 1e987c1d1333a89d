/**
 * Scheduling policy: which units start where, and which are stopped for them.
 */
export {type Decision, type SchedulingSnapshot, decide} from './decision.js';
export type {PlannedStart} from './placement_request.js';
export {type Placement, type PlacementShare} from './placement_search.js';
export {
  UrgencyTier,
  type Urgency,
  computeObjective,
  rateUrgency,
} from './urgency.js';
