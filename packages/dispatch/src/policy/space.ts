/** The rooms of one decision, as plain numbers that the decision uses up while it places. */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Booking} from '../runs.js';
import type {TargetRoom} from '../target_room.js';

/** Room of one target during a decision. */
export interface Space {
  room: TargetRoom;
  free: Demand;
  rack: string;
  domain: string;
  labels: readonly string[];
  slowness: number;
  /** Kept for a larger unit from this instant on: what goes there must have ended by then. */
  keptFrom: Instant;
}

/** A unit to be placed. */
export interface Seeker {
  demand: Demand;
  count: number;
  isRackSensitive: boolean;
  requiredLabel?: string;
  dataRack?: string;
  /** Members of the step's occurrence that one target may still take. */
  vacancy: (targetId: string) => number;
  avoid: ReadonlySet<string>;
  /** Accelerators of room that twice the time on a target weighs as much as. */
  slownessWeight: number;
  /** Targets that the queue's advisor allows; absent without an advisor. */
  allowed?: ReadonlySet<string>;
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
export function allowedMembers(seeker: Seeker, space: Space): number {
  const {id} = space.room.info;
  const isBarred =
    (seeker.requiredLabel !== undefined &&
      !space.labels.includes(seeker.requiredLabel)) ||
    seeker.avoid.has(id) ||
    (seeker.allowed !== undefined && !seeker.allowed.has(id));
  return isBarred ? 0 : Math.min(seeker.count, seeker.vacancy(id));
}

/** Takes `members` of `demand` out of a space. */
export function take(space: Space, demand: Demand, members: number): void {
  space.free = {
    cpu: space.free.cpu - demand.cpu * members,
    memoryMb: space.free.memoryMb - demand.memoryMb * members,
    accelerators: space.free.accelerators - demand.accelerators * members,
  };
}

/** Adds the room of a booking. */
export function give(free: Demand, {demand}: Booking): Demand {
  return {
    cpu: free.cpu + demand.cpu,
    memoryMb: free.memoryMb + demand.memoryMb,
    accelerators: free.accelerators + demand.accelerators,
  };
}

/** Groups spaces by rack. */
export function groupByRack(spaces: readonly Space[]): Map<string, Space[]> {
  const racks = new Map<string, Space[]>();
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
export function groupsFor(
  seeker: Seeker,
  spaces: readonly Space[],
): Array<readonly Space[]> {
  return seeker.isRackSensitive ? [...groupByRack(spaces).values()] : [spaces];
}

/** Members that a target with `room` left may take. */
export function fitsOf(seeker: Seeker, space: Space, room: Demand): number {
  return countFits(room, seeker.demand, allowedMembers(seeker, space));
}
