/**
 * Working copies of targets, whose free capacity a scheduling pass deducts as
 * it places units.
 */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {type TargetState, isNegative} from '../target_state.js';

/** A target with its free capacity during one scheduling pass. */
export interface CandidateTarget {
  target: TargetState;
  free: Demand;
  rack: string;
  domain: string;
  labels: readonly string[];
  /** Factor by which tasks take longer than usual; at least 1. */
  slowness: number;
  /** Whether runs failed on the target for which it may be at fault. */
  isDoubted: boolean;
  /** Whether so many runs failed on the target that others should be used. */
  isAvoided: boolean;
  /** Whether the target has no runs. */
  isEmpty: boolean;
  /** Whether the target has a run that it has not listed yet. */
  hasUnlistedRun: boolean;
  /** Whether a run on the target is isolated, so that no other may start there. */
  isClosed: boolean;
  /**
   * Reserved for a larger unit from this instant on: units placed here must be
   * expected to end by then. Infinity if there is no reservation.
   */
  reservedFrom: Instant;
  /** Members that were placed on the target in this pass. */
  plannedRuns: Array<{demand: Demand; endsAt: Instant}>;
}

/** What a unit (a gang or a single task) needs from targets. */
export interface PlacementRequest {
  /** Demand of each member. */
  demand: Demand;
  /** Number of members, all of which must be placed. */
  count: number;
  isRackSensitive: boolean;
  requiredLabel?: string;
  /** Rack of the step's data; undefined if any rack will do. */
  dataRack?: string;
  /**
   * Returns how many more members of the step's occurrence a target may take.
   */
  countRemainingMembers: (targetId: string) => number;
  /** Ids of targets that receive no member. */
  avoidedTargets: ReadonlySet<string>;
  /**
   * Cost of a target that takes twice the usual time, expressed in free
   * accelerators.
   */
  slownessWeight: number;
  /**
   * Targets that the advisor allows; undefined if the queue needs no advice.
   */
  allowedTargets?: ReadonlySet<string>;
}

/**
 * Returns how many members with `demand` fit into `free`, at most `maxMembers`.
 */
export function countFits(
  free: Demand,
  demand: Demand,
  maxMembers: number,
): number {
  // A target that lacks one resource takes no run, not even one that does not need it.
  if (isNegative(free)) {
    return 0;
  }
  let fits = maxMembers;
  if (demand.cpu > 0) {
    fits = Math.min(fits, Math.floor(free.cpu / demand.cpu));
  }
  if (demand.memoryMb > 0) {
    fits = Math.min(fits, Math.floor(free.memoryMb / demand.memoryMb));
  }
  if (demand.accelerators > 0) {
    fits = Math.min(fits, Math.floor(free.accelerators / demand.accelerators));
  }
  return Math.max(0, fits);
}

/**
 * Returns how many members a target may take by the constraints of the request,
 * regardless of its capacity.
 */
export function countAllowedMembers(
  request: PlacementRequest,
  candidate: CandidateTarget,
): number {
  const {id} = candidate.target.info;
  const isExcluded =
    (request.requiredLabel !== undefined &&
      !candidate.labels.includes(request.requiredLabel)) ||
    request.avoidedTargets.has(id) ||
    (request.allowedTargets !== undefined && !request.allowedTargets.has(id));
  return isExcluded
    ? 0
    : Math.min(request.count, request.countRemainingMembers(id));
}

/** Deducts the demand of `members` members from a candidate. */
export function deductCapacity(
  candidate: CandidateTarget,
  demand: Demand,
  members: number,
): void {
  candidate.free = {
    cpu: candidate.free.cpu - demand.cpu * members,
    memoryMb: candidate.free.memoryMb - demand.memoryMb * members,
    accelerators: candidate.free.accelerators - demand.accelerators * members,
  };
  candidate.isEmpty = false;
  candidate.hasUnlistedRun = true;
}

/** Returns `free` plus the capacity that a run holds. */
export function addAllocation(
  free: Demand,
  {demand}: {demand: Demand},
): Demand {
  return {
    cpu: free.cpu + demand.cpu,
    memoryMb: free.memoryMb + demand.memoryMb,
    accelerators: free.accelerators + demand.accelerators,
  };
}

/** Groups candidates by rack. */
export function groupByRack(
  candidates: readonly CandidateTarget[],
): Map<string, CandidateTarget[]> {
  const racks = new Map<string, CandidateTarget[]>();
  for (const candidate of candidates) {
    const rack = racks.get(candidate.rack);
    if (rack) {
      rack.push(candidate);
    } else {
      racks.set(candidate.rack, [candidate]);
    }
  }
  return racks;
}

/**
 * Returns groups of candidates, one of which must take all members without a
 * locality penalty: the rack of the data, or each rack for a rack-sensitive
 * request, otherwise all candidates.
 */
export function listPlacementGroups(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
): Array<readonly CandidateTarget[]> {
  if (request.dataRack !== undefined) {
    return [candidates.filter(({rack}) => rack === request.dataRack)];
  }
  return request.isRackSensitive
    ? [...groupByRack(candidates).values()]
    : [candidates];
}

/** Returns how many members a target with `free` capacity may take. */
export function countFittingMembers(
  request: PlacementRequest,
  candidate: CandidateTarget,
  free: Demand,
): number {
  return countFits(
    free,
    request.demand,
    countAllowedMembers(request, candidate),
  );
}
