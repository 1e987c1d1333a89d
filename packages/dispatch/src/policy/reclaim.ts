/**
 * Chooses which units (gangs or single tasks) to stop so that urgent work gets
 * capacity, at the lowest cost in lost work.
 */
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

/**
 * Returns the cost of stopping a unit in core-seconds; Infinity if it may not
 * be stopped.
 */
export type StopCostEstimator = (unit: ActiveUnit) => number;

/**
 * Whether the run of an allocation ends by itself early enough for the request.
 */
export type EndPredicate = (allocation: Allocation) => boolean;

/** Units to stop, and the targets that then have capacity. */
export interface ReclaimPlan {
  victims: ActiveUnit[];
  /** Targets that together have room for all members once the victims and the awaited runs have ended. */
  candidates: CandidateTarget[];
  /** Lost work in core-seconds. */
  cost: number;
}

/**
 * Finds the cheapest way to free capacity for `request`; undefined if there is
 * none.
 */
export function planReclaim(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
  estimateStopCost: StopCostEstimator,
  endsInTime: EndPredicate,
): ReclaimPlan | undefined {
  let best: ReclaimPlan | undefined;
  for (const group of listPlacementGroups(request, candidates)) {
    const plan = planGroup(request, group, estimateStopCost, endsInTime);
    if (plan && (!best || plan.cost < best.cost)) {
      best = plan;
    }
  }
  return best;
}

function planGroup(
  request: PlacementRequest,
  group: readonly CandidateTarget[],
  estimateStopCost: StopCostEstimator,
  endsInTime: EndPredicate,
): ReclaimPlan | undefined {
  const usable = group.filter(
    candidate => countAllowedMembers(request, candidate) > 0,
  );
  const free = new Map<CandidateTarget, Demand>();
  const stoppable = new Set<ActiveUnit>();
  for (const candidate of usable) {
    // Runs that are being stopped or end in time release their capacity without
    // a cost.
    let capacity = candidate.free;
    for (const allocation of candidate.target.allocations.values()) {
      const {unit} = allocation;
      if (isBeingFreed(allocation) || endsInTime(allocation)) {
        capacity = addAllocation(capacity, allocation);
      } else if (unit && Number.isFinite(estimateStopCost(unit))) {
        stoppable.add(unit);
      }
    }
    free.set(candidate, capacity);
  }
  const candidateByTarget = new Map(
    usable.map(candidate => [candidate.target, candidate]),
  );
  const victims: ActiveUnit[] = [];
  let cost = 0;
  let fits = countAllFittingMembers(request, free);
  while (fits < request.count) {
    const missing = request.count - fits;
    const next = chooseVictim(
      request,
      free,
      candidateByTarget,
      stoppable,
      missing,
      estimateStopCost,
    );
    if (!next) {
      return undefined;
    }
    stoppable.delete(next);
    victims.push(next);
    cost += estimateStopCost(next);
    for (const [candidate, capacity] of computeFreedCapacity(
      next,
      free,
      candidateByTarget,
    )) {
      fits += countFittingMembers(request, candidate, capacity);
      fits -= countFittingMembers(request, candidate, free.get(candidate)!);
      free.set(candidate, capacity);
    }
  }
  return {victims, candidates: chooseFewestTargets(request, free), cost};
}

/** Chooses the unit to stop with the lowest cost per member of the request that then fits. */
function chooseVictim(
  request: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
  candidateByTarget: ReadonlyMap<TargetState, CandidateTarget>,
  stoppable: ReadonlySet<ActiveUnit>,
  missing: number,
  estimateStopCost: StopCostEstimator,
): ActiveUnit | undefined {
  let best: ActiveUnit | undefined;
  let bestCostPerMember = Infinity;
  for (const unit of stoppable) {
    let gain = 0;
    for (const [candidate, capacity] of computeFreedCapacity(
      unit,
      free,
      candidateByTarget,
    )) {
      gain += countFittingMembers(request, candidate, capacity);
      gain -= countFittingMembers(request, candidate, free.get(candidate)!);
    }
    gain = Math.min(gain, missing);
    // One member of the request may need the capacity of several small units. A
    // unit whose stop alone makes room for no member therefore remains eligible,
    // with a gain of 0.1 members.
    const costPerMember = (estimateStopCost(unit) + 1e-6) / Math.max(gain, 0.1);
    if (costPerMember < bestCostPerMember) {
      best = unit;
      bestCostPerMember = costPerMember;
    }
  }
  return best;
}

function computeFreedCapacity(
  unit: ActiveUnit,
  free: ReadonlyMap<CandidateTarget, Demand>,
  candidateByTarget: ReadonlyMap<TargetState, CandidateTarget>,
): Map<CandidateTarget, Demand> {
  const after = new Map<CandidateTarget, Demand>();
  for (const allocation of unit.allocations) {
    const candidate = candidateByTarget.get(allocation.target);
    if (candidate) {
      after.set(
        candidate,
        addAllocation(after.get(candidate) ?? free.get(candidate)!, allocation),
      );
    }
  }
  return after;
}

function isBeingFreed(allocation: Allocation): boolean {
  return allocation.isBeingStopped || allocation.unit?.phase === 'stopping';
}

function countAllFittingMembers(
  request: PlacementRequest,
  free: ReadonlyMap<CandidateTarget, Demand>,
): number {
  let total = 0;
  for (const [candidate, capacity] of free) {
    total += countFittingMembers(request, candidate, capacity);
  }
  return total;
}
