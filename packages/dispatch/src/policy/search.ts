/** Finds targets for a unit: the tightest fit, in one rack where that matters. */
import type {Instant} from '@galenavalve/shared';
import {
  type Seeker,
  type Space,
  allowedMembers,
  countFits,
  groupByRack,
} from './space.js';

/** Members on one target. */
export interface Share {
  space: Space;
  members: number;
}

/** A complete placement of a unit. */
export interface Placement {
  shares: Share[];
  /** Across racks though the tasks mind, or away from the data. */
  isFar: boolean;
}

/** Places every member, near if possible; undefined when they do not all fit. `endsBy` is the expected end. */
export function findPlacement(
  seeker: Seeker,
  spaces: readonly Space[],
  endsBy: Instant,
): Placement | undefined {
  const open = spaces.filter(space => space.keptFrom >= endsBy);
  return findNear(seeker, open);
}

/** Places every member on whatever has room, however far apart. */
export function findAnywhere(
  seeker: Seeker,
  spaces: readonly Space[],
  endsBy: Instant,
): Placement | undefined {
  const open = spaces.filter(space => space.keptFrom >= endsBy);
  const shares = fillGroup(seeker, open);
  return shares && {shares, isFar: true};
}

function findNear(
  seeker: Seeker,
  spaces: readonly Space[],
): Placement | undefined {
  if (!seeker.isRackSensitive && seeker.dataRack === undefined) {
    const shares = fillGroup(seeker, spaces);
    return shares && {shares, isFar: false};
  }
  let best: Share[] | undefined;
  let bestCost = Infinity;
  for (const [rack, members] of groupByRack(spaces)) {
    if (seeker.dataRack !== undefined && rack !== seeker.dataRack) {
      continue;
    }
    const shares = fillGroup(seeker, members);
    const cost = shares && costOf(shares, members, seeker);
    if (shares && cost! < bestCost) {
      best = shares;
      bestCost = cost!;
    }
  }
  return best && {shares: best, isFar: false};
}

/** Fills the targets that are left with least room, until all members have a place. */
function fillGroup(
  seeker: Seeker,
  spaces: readonly Space[],
): Share[] | undefined {
  const fits: Share[] = [];
  let total = 0;
  for (const space of spaces) {
    const most = allowedMembers(seeker, space);
    const members = countFits(space.free, seeker.demand, most);
    if (members > 0) {
      fits.push({space, members});
      total += members;
    }
  }
  if (total < seeker.count) {
    return undefined;
  }
  fits.sort((a, b) => leftover(a, seeker) - leftover(b, seeker));
  const shares: Share[] = [];
  let missing = seeker.count;
  for (const {space, members} of fits) {
    if (missing === 0) {
      break;
    }
    const taken = Math.min(members, missing);
    shares.push({space, members: taken});
    missing -= taken;
  }
  return shares;
}

/** Room left on a target that takes all it can, in accelerators; slow targets count as emptier. */
function leftover({space, members}: Share, seeker: Seeker): number {
  const left = space.free.accelerators - members * seeker.demand.accelerators;
  return left + (space.slowness - 1) * seeker.slownessWeight;
}

/** Prefers the rack that is left with least room. */
function costOf(
  shares: readonly Share[],
  rack: readonly Space[],
  seeker: Seeker,
): number {
  const free = rack.reduce((sum, {free}) => sum + free.accelerators, 0);
  const slowest = Math.max(...shares.map(({space}) => space.slowness));
  return free + (slowest - 1) * seeker.slownessWeight;
}
