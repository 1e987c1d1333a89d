/** Pure placement decisions: cells, guarantees, queue order, reclaim and backfill. */

// Decisions
export * from './policy.js';
export {GalenaPolicy} from './galena_policy.js';
export {FirstFit} from './first_fit.js';
