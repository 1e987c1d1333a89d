/** The rooms of one decision, as plain numbers that the decision uses up while it places. */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Allocation} from '../active_job.js';
import type {TargetState} from '../target_state.js';

/** Room of one target during a decision. */
export interface CandidateTarget {
  target: TargetState;
  free: Demand;
  rack: string;
  domain: string;
  labels: readonly string[];
  slowness: number;
  /** Kept for a larger unit from this instant on: what goes there must have ended by then. */
  reservedFrom: Instant;
}

/** A unit to be placed. */
export interface PlacementRequest {
  demand: Demand;
  count: number;
  isRackSensitive: boolean;
  requiredLabel?: string;
  dataRack?: string;
  /** Members of the step's occurrence that one target may still take. */
  countRemainingMembers: (targetId: string) => number;
  avoidedTargets: ReadonlySet<string>;
  /** Accelerators of room that twice the time on a target weighs as much as. */
  slownessWeight: number;
  /** Targets that the queue's advisor allows; absent without an advisor. */
  allowedTargets?: ReadonlySet<string>;
}

/** How many members of `seeker` fit into `free`. */
export function countFits(free: Demand, demand: Demand, most: number): number {
  let fits = most;
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

/** Members that a target may take by the seeker's constraints, whatever its room. */
export function countAllowedMembers(
  seeker: PlacementRequest,
  space: CandidateTarget,
): number {
  const {id} = space.target.info;
  const isBarred =
    (seeker.requiredLabel !== undefined &&
      !space.labels.includes(seeker.requiredLabel)) ||
    seeker.avoidedTargets.has(id) ||
    (seeker.allowedTargets !== undefined && !seeker.allowedTargets.has(id));
  return isBarred
    ? 0
    : Math.min(seeker.count, seeker.countRemainingMembers(id));
}

/** Takes `members` of `demand` out of a space. */
export function deductCapacity(
  space: CandidateTarget,
  demand: Demand,
  members: number,
): void {
  space.free = {
    cpu: space.free.cpu - demand.cpu * members,
    memoryMb: space.free.memoryMb - demand.memoryMb * members,
    accelerators: space.free.accelerators - demand.accelerators * members,
  };
}

/** Adds the room of a booking. */
export function addAllocation(free: Demand, {demand}: Allocation): Demand {
  return {
    cpu: free.cpu + demand.cpu,
    memoryMb: free.memoryMb + demand.memoryMb,
    accelerators: free.accelerators + demand.accelerators,
  };
}

/** Groups spaces by rack. */
export function groupByRack(
  spaces: readonly CandidateTarget[],
): Map<string, CandidateTarget[]> {
  const racks = new Map<string, CandidateTarget[]>();
  for (const space of spaces) {
    const rack = racks.get(space.rack);
    if (rack) {
      rack.push(space);
    } else {
      racks.set(space.rack, [space]);
    }
  }
  return racks;
}

/** The groups of targets of which one must hold all members: racks, or everything. */
export function listPlacementGroups(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
): Array<readonly CandidateTarget[]> {
  return seeker.isRackSensitive ? [...groupByRack(spaces).values()] : [spaces];
}

/** Members that a target with `room` left may take. */
export function countFittingMembers(
  seeker: PlacementRequest,
  space: CandidateTarget,
  room: Demand,
): number {
  return countFits(room, seeker.demand, countAllowedMembers(seeker, space));
}
