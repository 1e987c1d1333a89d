/** Creates the working copies of targets for one scheduling pass. */
import type {Instant} from '@galenavalve/shared';
import {isClosedToOthers} from '../crash_attribution.js';
import {MAX_LISTING_AGE_MS} from '../settings.js';
import type {TargetState} from '../target_state.js';
import type {CandidateTarget} from './candidate_target.js';
import type {SchedulingSnapshot} from './scheduling_snapshot.js';
import {findUnresponsiveDomains} from './unresponsive_domains.js';

/** Returns the targets that can receive new runs, avoided ones included, with their free capacity. */
export function createCandidates(
  {evacuated, targets}: SchedulingSnapshot,
  now: Instant,
): CandidateTarget[] {
  const unresponsiveDomains = findUnresponsiveDomains(targets, now);
  const candidates: CandidateTarget[] = [];
  for (const target of targets) {
    const {info} = target;
    const isUsable = target.isUsable(now, MAX_LISTING_AGE_MS);
    const isExcluded =
      evacuated.has(info.domain) || unresponsiveDomains.has(info.domain);
    if (!isUsable || isExcluded) {
      continue;
    }
    candidates.push({
      target,
      free: target.computeFreeCapacity(),
      rack: info.rack,
      domain: info.domain,
      labels: info.labels,
      slowness: target.slowness,
      isDoubted: target.faults.isDoubted(now),
      isAvoided: target.isAvoided(now),
      isEmpty: target.allocations.size === 0,
      hasUnlistedRun: hasUnlistedRun(target),
      isClosed: isClosedToOthers(target),
      reservedFrom: Infinity,
      plannedRuns: [],
    });
  }
  dropAvoidanceOfMost(candidates);
  return candidates;
}

/**
 * Uses the avoided targets of a pool if they are more than half of it: it is not
 * the targets that are at fault then, but the jobs.
 */
function dropAvoidanceOfMost(candidates: readonly CandidateTarget[]): void {
  const pools = new Map<string, {total: number; avoided: CandidateTarget[]}>();
  for (const candidate of candidates) {
    const {pool} = candidate.target.info;
    const entry = pools.get(pool) ?? {total: 0, avoided: []};
    pools.set(pool, entry);
    entry.total++;
    if (candidate.isAvoided) {
      entry.avoided.push(candidate);
    }
  }
  for (const {total, avoided} of pools.values()) {
    if (avoided.length > total / 2) {
      avoided.forEach(candidate => (candidate.isAvoided = false));
    }
  }
}

function hasUnlistedRun({allocations}: TargetState): boolean {
  for (const {isListed} of allocations.values()) {
    if (!isListed) {
      return true;
    }
  }
  return false;
}
