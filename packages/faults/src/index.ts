/** Seeded explorations of faults over the whole system in one process. */

// Explorations
export {type Finding, checkReclaim, explore} from './exploration.js';
export {ALL_GUARDS, type Guards} from './guards.js';

// Promises
export {
  PARTIAL_BOUND_MS,
  PromiseBook,
  checkEnds,
  type PromiseName,
  TAKE_OUT_BOUND_MS,
  type Violation,
} from './promises.js';

// The world
export {World, createDomain, createRequest, listTargets} from './world.js';
