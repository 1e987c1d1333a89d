/** Decisions: who starts, where, and who is stopped for it. */
export {type Decision, type Situation, type Start, decide} from './decision.js';
export {type Placement, type Share} from './search.js';
export {Tier, type Urgency, rateUrgency} from './urgency.js';
