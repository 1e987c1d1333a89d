/** Seeded explorations of faults over the whole system in one process. */

// Explorations
export {type Finding, explore} from './exploration.js';
export {ALL_GUARDS, type Guards} from './guards.js';

// Promises
export {
  PARTIAL_BOUND_MS,
  PromiseBook,
  type PromiseName,
  TAKE_OUT_BOUND_MS,
  type Violation,
} from './promises.js';

// The world
export {World} from './world.js';
