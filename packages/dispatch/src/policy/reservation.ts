/** Keeps room for a unit that does not fit yet, so that small work does not starve it. */
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

/** When the run of a booking is expected to end. */
export type EndEstimator = (booking: Allocation) => Instant;

interface ReservationPlan {
  at: Instant;
  candidates: CandidateTarget[];
}

/** Marks the targets that will first have room for all members; false when none ever will. */
export function reserveTargets(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
  expectEnd: EndEstimator,
  now: Instant,
): boolean {
  let best: ReservationPlan | undefined;
  for (const group of listPlacementGroups(seeker, spaces)) {
    const opening = planReservation(seeker, group, expectEnd, now);
    if (opening && (!best || opening.at < best.at)) {
      best = opening;
    }
  }
  for (const space of best?.candidates ?? []) {
    space.reservedFrom = Math.min(space.reservedFrom, best!.at);
  }
  return best !== undefined;
}

/** Lets the bookings of a group end one after the other until the unit fits. */
function planReservation(
  seeker: PlacementRequest,
  group: readonly CandidateTarget[],
  expectEnd: EndEstimator,
  now: Instant,
): ReservationPlan | undefined {
  const free = new Map<CandidateTarget, Demand>();
  const ends: Array<{
    space: CandidateTarget;
    booking: Allocation;
    at: Instant;
  }> = [];
  for (const space of group) {
    if (countAllowedMembers(seeker, space) === 0) {
      continue;
    }
    free.set(space, space.free);
    for (const booking of space.target.allocations.values()) {
      ends.push({space, booking, at: Math.max(now, expectEnd(booking))});
    }
  }
  ends.sort((a, b) => a.at - b.at);
  let total = 0;
  for (const [space, room] of free) {
    total += countFittingMembers(seeker, space, room);
  }
  let at = now;
  for (const end of ends) {
    if (total >= seeker.count) {
      break;
    }
    const before = free.get(end.space)!;
    const after = addAllocation(before, end.booking);
    free.set(end.space, after);
    total += countFittingMembers(seeker, end.space, after);
    total -= countFittingMembers(seeker, end.space, before);
    at = end.at;
  }
  if (total < seeker.count) {
    return undefined;
  }
  return {at, candidates: chooseFewestTargets(seeker, free)};
}

/** The fewest targets that together take all members. */
export function chooseFewestTargets(
  seeker: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
): CandidateTarget[] {
  const byFits = [...free]
    .map(([space, room]) => ({
      space,
      fits: countFittingMembers(seeker, space, room),
    }))
    .filter(({fits}) => fits > 0)
    .sort((a, b) => b.fits - a.fits);
  const chosen: CandidateTarget[] = [];
  let missing = seeker.count;
  for (const {space, fits} of byFits) {
    if (missing <= 0) {
      break;
    }
    chosen.push(space);
    missing -= fits;
  }
  return chosen;
}
