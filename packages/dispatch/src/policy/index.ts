/** Decisions: who starts, where, and who is stopped for it. */
export {type Decision, type Situation, decide} from './decision.js';
export type {Start} from './seeker.js';
export {type Placement, type Share} from './search.js';
export {Tier, type Urgency, objectiveOf, rateUrgency} from './urgency.js';
