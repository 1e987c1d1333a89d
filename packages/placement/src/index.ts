/** Pure placement decisions: cells, guarantees, queue order, reclaim and backfill. */

// Decisions
export * from './policy.js';
