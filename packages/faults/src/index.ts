/** Seeded fault exploration of the whole system in one process and in virtual time. */

// Explorations
export {type ExplorationResult, checkReclaim, explore} from './exploration.js';
export {ALL_GUARDS, type Guards} from './guards.js';

// Promises
export {
  PARTIAL_RUN_BOUND_MS,
  PromiseChecker,
  checkTermination,
  type PromiseName,
  TAKE_OUT_BOUND_MS,
  type Violation,
} from './promises.js';

// Simulated cluster
export {
  SimulatedCluster,
  createDomain,
  createRequest,
  listTargets,
} from './simulated_cluster.js';
