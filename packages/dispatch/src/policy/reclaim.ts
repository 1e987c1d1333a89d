/** Chooses whom to stop so that urgent work finds room, with the least work thrown away. */
import type {Demand} from '@galenavalve/workload';
import type {Allocation, ActiveUnit} from '../active_job.js';
import type {TargetState} from '../target_state.js';
import {chooseFewestTargets} from './reservation.js';
import {
  type PlacementRequest,
  type CandidateTarget,
  countAllowedMembers,
  countFittingMembers,
  addAllocation,
  listPlacementGroups,
} from './candidate_target.js';

/** What stopping a unit would throw away; Infinity for one that may not be stopped. */
export type StopCostEstimator = (unit: ActiveUnit) => number;

/** Whether the run of a booking ends by itself in time for the seeker. */
export type EndPredicate = (booking: Allocation) => boolean;

/** Units to stop, and where the room will be. */
export interface ReclaimPlan {
  victims: ActiveUnit[];
  candidates: CandidateTarget[];
  cost: number;
}

/** The cheapest way to make room for `seeker`; undefined when there is none. */
export function planReclaim(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
  costOf: StopCostEstimator,
  endsInTime: EndPredicate,
): ReclaimPlan | undefined {
  let best: ReclaimPlan | undefined;
  for (const group of listPlacementGroups(seeker, spaces)) {
    const plan = planGroup(seeker, group, costOf, endsInTime);
    if (plan && (!best || plan.cost < best.cost)) {
      best = plan;
    }
  }
  return best;
}

function planGroup(
  seeker: PlacementRequest,
  group: readonly CandidateTarget[],
  costOf: StopCostEstimator,
  endsInTime: EndPredicate,
): ReclaimPlan | undefined {
  const usable = group.filter(space => countAllowedMembers(seeker, space) > 0);
  const free = new Map<CandidateTarget, Demand>();
  const candidates = new Set<ActiveUnit>();
  for (const space of usable) {
    // Room of runs that are being stopped, or end in time, comes by itself.
    let room = space.free;
    for (const booking of space.target.allocations.values()) {
      const {unit} = booking;
      if (isBeingFreed(booking) || endsInTime(booking)) {
        room = addAllocation(room, booking);
      } else if (unit && Number.isFinite(costOf(unit))) {
        candidates.add(unit);
      }
    }
    free.set(space, room);
  }
  const spaceOf = new Map(usable.map(space => [space.target, space]));
  const victims: ActiveUnit[] = [];
  let cost = 0;
  let fits = countAllFittingMembers(seeker, free);
  while (fits < seeker.count) {
    const missing = seeker.count - fits;
    const next = chooseVictim(
      seeker,
      free,
      spaceOf,
      candidates,
      missing,
      costOf,
    );
    if (!next) {
      return undefined;
    }
    candidates.delete(next);
    victims.push(next);
    cost += costOf(next);
    for (const [space, room] of computeFreedCapacity(next, free, spaceOf)) {
      fits += countFittingMembers(seeker, space, room);
      fits -= countFittingMembers(seeker, space, free.get(space)!);
      free.set(space, room);
    }
  }
  return {victims, candidates: chooseFewestTargets(seeker, free), cost};
}

/** The unit that gives most members a place for its cost. */
function chooseVictim(
  seeker: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
  spaceOf: ReadonlyMap<TargetState, CandidateTarget>,
  candidates: ReadonlySet<ActiveUnit>,
  missing: number,
  costOf: StopCostEstimator,
): ActiveUnit | undefined {
  let best: ActiveUnit | undefined;
  let bestRate = Infinity;
  for (const unit of candidates) {
    let gain = 0;
    for (const [space, room] of computeFreedCapacity(unit, free, spaceOf)) {
      gain += countFittingMembers(seeker, space, room);
      gain -= countFittingMembers(seeker, space, free.get(space)!);
    }
    gain = Math.min(gain, missing);
    // Several small runs may have to go before one member fits.
    const rate = (costOf(unit) + 1e-6) / Math.max(gain, 0.1);
    if (rate < bestRate) {
      best = unit;
      bestRate = rate;
    }
  }
  return best;
}

function computeFreedCapacity(
  unit: ActiveUnit,
  free: ReadonlyMap<CandidateTarget, Demand>,
  spaceOf: ReadonlyMap<TargetState, CandidateTarget>,
): Map<CandidateTarget, Demand> {
  const after = new Map<CandidateTarget, Demand>();
  for (const booking of unit.allocations) {
    const space = spaceOf.get(booking.target);
    if (space) {
      after.set(
        space,
        addAllocation(after.get(space) ?? free.get(space)!, booking),
      );
    }
  }
  return after;
}

function isBeingFreed(booking: Allocation): boolean {
  return booking.isBeingStopped || booking.unit?.phase === 'stopping';
}

function countAllFittingMembers(
  seeker: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
): number {
  let total = 0;
  for (const [space, room] of free) {
    total += countFittingMembers(seeker, space, room);
  }
  return total;
}
