/** Creates the working copies of targets for one scheduling pass. */
import type {Instant} from '@galenavalve/shared';
import {isClosedToOthers} from '../crash_attribution.js';
import {MAX_LISTING_AGE_MS} from '../settings.js';
import type {TargetState} from '../target_state.js';
import type {CandidateTarget} from './candidate_target.js';
import type {SchedulingSnapshot} from './scheduling_snapshot.js';
import {findUnresponsiveDomains} from './unresponsive_domains.js';

/** Returns the targets that may receive new runs, with their free capacity. */
export function createCandidates(
  {evacuated, targets}: SchedulingSnapshot,
  now: Instant,
): CandidateTarget[] {
  const unresponsiveDomains = findUnresponsiveDomains(targets, now);
  const candidates: CandidateTarget[] = [];
  for (const target of targets) {
    const {info} = target;
    const isSchedulable = target.isSchedulable(now, MAX_LISTING_AGE_MS);
    const isExcluded =
      evacuated.has(info.domain) || unresponsiveDomains.has(info.domain);
    if (!isSchedulable || isExcluded) {
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
      isEmpty: target.allocations.size === 0,
      hasUnlistedRun: hasUnlistedRun(target),
      isClosed: isClosedToOthers(target),
      reservedFrom: Infinity,
      plannedRuns: [],
    });
  }
  return candidates;
}

function hasUnlistedRun({allocations}: TargetState): boolean {
  for (const {isListed} of allocations.values()) {
    if (!isListed) {
      return true;
    }
  }
  return false;
}
