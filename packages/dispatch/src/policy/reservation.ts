/**
 * Reserves targets for a unit (a gang or a single task) that does not fit yet, so
 * that small units do not starve it.
 */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Allocation} from '../active_job.js';
import {
  type PlacementRequest,
  type CandidateTarget,
  countAllowedMembers,
  countFittingMembers,
  addAllocation,
  listPlacementGroups,
} from './candidate_target.js';

/** Returns when the run of an allocation is expected to end. */
export type EndEstimator = (allocation: Allocation) => Instant;

interface ReservationPlan {
  /** When the unit is expected to fit. */
  at: Instant;
  /** Targets to reserve: the fewest that then fit all members. */
  candidates: CandidateTarget[];
}

/**
 * Reserves the targets that are the first to fit all members; returns false if
 * none ever will.
 */
export function reserveTargets(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
  estimateEnd: EndEstimator,
  now: Instant,
): boolean {
  let best: ReservationPlan | undefined;
  for (const group of listPlacementGroups(request, candidates)) {
    const plan = planReservation(request, group, estimateEnd, now);
    if (plan && (!best || plan.at < best.at)) {
      best = plan;
    }
  }
  for (const candidate of best?.candidates ?? []) {
    candidate.reservedFrom = Math.min(candidate.reservedFrom, best!.at);
  }
  return best !== undefined;
}

/**
 * Plans the reservation within one group of targets: simulates the release of
 * their allocations in the order of the expected ends until the unit fits.
 * Returns undefined if it does not fit even when all are released, or if some of
 * them have no end.
 */
function planReservation(
  request: PlacementRequest,
  group: readonly CandidateTarget[],
  estimateEnd: EndEstimator,
  now: Instant,
): ReservationPlan | undefined {
  const free = new Map<CandidateTarget, Demand>();
  const ends: Array<{
    candidate: CandidateTarget;
    allocation: Allocation;
    at: Instant;
  }> = [];
  for (const candidate of group) {
    if (countAllowedMembers(request, candidate) === 0) {
      continue;
    }
    free.set(candidate, candidate.free);
    for (const allocation of candidate.target.allocations.values()) {
      ends.push({
        candidate,
        allocation,
        at: Math.max(now, estimateEnd(allocation)),
      });
    }
  }
  ends.sort((a, b) => a.at - b.at);
  let total = 0;
  for (const [candidate, capacity] of free) {
    total += countFittingMembers(request, candidate, capacity);
  }
  let at = now;
  for (const end of ends) {
    if (total >= request.count) {
      break;
    }
    const before = free.get(end.candidate)!;
    const after = addAllocation(before, end.allocation);
    free.set(end.candidate, after);
    total += countFittingMembers(request, end.candidate, after);
    total -= countFittingMembers(request, end.candidate, before);
    at = end.at;
  }
  if (total < request.count || at === Infinity) {
    return undefined;
  }
  return {at, candidates: chooseFewestTargets(request, free)};
}

/** Returns the fewest targets that can take all members. */
export function chooseFewestTargets(
  request: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
): CandidateTarget[] {
  const byFittingMembers = [...free]
    .map(([candidate, capacity]) => ({
      candidate,
      fits: countFittingMembers(request, candidate, capacity),
    }))
    .filter(({fits}) => fits > 0)
    .sort((a, b) => b.fits - a.fits);
  const chosen: CandidateTarget[] = [];
  let missing = request.count;
  for (const {candidate, fits} of byFittingMembers) {
    if (missing <= 0) {
      break;
    }
    chosen.push(candidate);
    missing -= fits;
  }
  return chosen;
}
