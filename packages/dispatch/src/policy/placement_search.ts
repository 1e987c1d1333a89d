/** Finds targets for a unit: the tightest fit, in one rack where that matters. */
import type {Instant} from '@galenavalve/shared';
import {
  type PlacementRequest,
  type CandidateTarget,
  countAllowedMembers,
  countFits,
  groupByRack,
} from './candidate_target.js';

/** Members on one target. */
export interface PlacementShare {
  candidate: CandidateTarget;
  members: number;
}

/** A complete placement of a unit. */
export interface Placement {
  shares: PlacementShare[];
  /** Across racks though the tasks mind, or away from the data. */
  hasLocalityPenalty: boolean;
}

/** Places every member, near if possible; undefined when they do not all fit. `endsBy` is the expected end. */
export function findLocalPlacement(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
  endsBy: Instant,
): Placement | undefined {
  const open = spaces.filter(space => space.reservedFrom >= endsBy);
  return findTightestLocalFit(seeker, open);
}

/** Places every member on whatever has room, however far apart. */
export function findPlacementAnywhere(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
  endsBy: Instant,
): Placement | undefined {
  const open = spaces.filter(space => space.reservedFrom >= endsBy);
  const shares = fillGroup(seeker, open);
  return shares && {shares, hasLocalityPenalty: true};
}

function findTightestLocalFit(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
): Placement | undefined {
  if (!seeker.isRackSensitive && seeker.dataRack === undefined) {
    const shares = fillGroup(seeker, spaces);
    return shares && {shares, hasLocalityPenalty: false};
  }
  let best: PlacementShare[] | undefined;
  let bestCost = Infinity;
  for (const [rack, members] of groupByRack(spaces)) {
    if (seeker.dataRack !== undefined && rack !== seeker.dataRack) {
      continue;
    }
    const shares = fillGroup(seeker, members);
    const cost = shares && computeRackCost(shares, members, seeker);
    if (shares && cost! < bestCost) {
      best = shares;
      bestCost = cost!;
    }
  }
  return best && {shares: best, hasLocalityPenalty: false};
}

/** Fills the targets that are left with least room, until all members have a place. */
function fillGroup(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
): PlacementShare[] | undefined {
  const fits: PlacementShare[] = [];
  let total = 0;
  for (const space of spaces) {
    const most = countAllowedMembers(seeker, space);
    const members = countFits(space.free, seeker.demand, most);
    if (members > 0) {
      fits.push({candidate: space, members});
      total += members;
    }
  }
  if (total < seeker.count) {
    return undefined;
  }
  fits.sort((a, b) => computeLeftover(a, seeker) - computeLeftover(b, seeker));
  const shares: PlacementShare[] = [];
  let missing = seeker.count;
  for (const {candidate: space, members} of fits) {
    if (missing === 0) {
      break;
    }
    const taken = Math.min(members, missing);
    shares.push({candidate: space, members: taken});
    missing -= taken;
  }
  return shares;
}

/** Room left on a target that takes all it can, in accelerators; slow targets count as emptier. */
function computeLeftover(
  {candidate: space, members}: PlacementShare,
  seeker: PlacementRequest,
): number {
  const left = space.free.accelerators - members * seeker.demand.accelerators;
  return left + (space.slowness - 1) * seeker.slownessWeight;
}

/** Prefers the rack that is left with least room. */
function computeRackCost(
  shares: readonly PlacementShare[],
  rack: readonly CandidateTarget[],
  seeker: PlacementRequest,
): number {
  const free = rack.reduce((sum, {free}) => sum + free.accelerators, 0);
  const slowest = Math.max(
    ...shares.map(({candidate: space}) => space.slowness),
  );
  return free + (slowest - 1) * seeker.slownessWeight;
}
