/**
 * Finds targets for a unit by tightest fit, within one rack if the unit is
 * rack-sensitive or bound to its data.
 */
import type {Instant} from '@galenavalve/shared';
import {
  type PlacementRequest,
  type CandidateTarget,
  countAllowedMembers,
  countFits,
  groupByRack,
} from './candidate_target.js';

/** Members placed on one target. */
export interface PlacementShare {
  candidate: CandidateTarget;
  members: number;
}

/** Targets for all members of a unit. */
export interface Placement {
  shares: PlacementShare[];
  /**
   * Whether the placement spans racks though the unit is rack-sensitive, or is
   * outside the rack of its data. The unit then takes longer by the rack factor.
   */
  hasLocalityPenalty: boolean;
}

/**
 * Places all members without a locality penalty; undefined if they do not fit.
 * `endsBy` is the expected end, which must not be later than a target's
 * reservation.
 */
export function findLocalPlacement(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
  endsBy: Instant,
): Placement | undefined {
  const available = candidates.filter(
    candidate => candidate.reservedFrom >= endsBy,
  );
  return findTightestLocalFit(request, available);
}

/**
 * Places all members on any targets with free capacity, with a locality
 * penalty; undefined if they do not fit.
 */
export function findPlacementAnywhere(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
  endsBy: Instant,
): Placement | undefined {
  const available = candidates.filter(
    candidate => candidate.reservedFrom >= endsBy,
  );
  const shares = fillGroup(request, available);
  return shares && {shares, hasLocalityPenalty: true};
}

function findTightestLocalFit(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
): Placement | undefined {
  if (!request.isRackSensitive && request.dataRack === undefined) {
    const shares = fillGroup(request, candidates);
    return shares && {shares, hasLocalityPenalty: false};
  }
  let best: PlacementShare[] | undefined;
  let bestCost = Infinity;
  for (const [rack, rackCandidates] of groupByRack(candidates)) {
    if (request.dataRack !== undefined && rack !== request.dataRack) {
      continue;
    }
    const shares = fillGroup(request, rackCandidates);
    const cost = shares && computeRackCost(shares, rackCandidates, request);
    if (shares && cost! < bestCost) {
      best = shares;
      bestCost = cost!;
    }
  }
  return best && {shares: best, hasLocalityPenalty: false};
}

/**
 * Places members on the targets with the least capacity left over; undefined if
 * they do not all fit.
 */
function fillGroup(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
): PlacementShare[] | undefined {
  const options: PlacementShare[] = [];
  let total = 0;
  for (const candidate of candidates) {
    const maxMembers = countAllowedMembers(request, candidate);
    const members = countFits(candidate.free, request.demand, maxMembers);
    if (members > 0) {
      options.push({candidate, members});
      total += members;
    }
  }
  if (total < request.count) {
    return undefined;
  }
  options.sort(
    (a, b) => computeLeftover(a, request) - computeLeftover(b, request),
  );
  const shares: PlacementShare[] = [];
  let missing = request.count;
  for (const {candidate, members} of options) {
    if (missing === 0) {
      break;
    }
    const taken = Math.min(members, missing);
    shares.push({candidate, members: taken});
    missing -= taken;
  }
  return shares;
}

/**
 * Returns the accelerators left over on a target that takes as many members as
 * it can, plus the cost of its slowness.
 */
function computeLeftover(
  {candidate, members}: PlacementShare,
  request: PlacementRequest,
): number {
  const left =
    candidate.free.accelerators - members * request.demand.accelerators;
  return left + (candidate.slowness - 1) * request.slownessWeight;
}

/**
 * Returns the cost of a rack: its free accelerators plus the cost of the slowest
 * target used. The rack with the least capacity left is preferred.
 */
function computeRackCost(
  shares: readonly PlacementShare[],
  rack: readonly CandidateTarget[],
  request: PlacementRequest,
): number {
  const free = rack.reduce((sum, {free}) => sum + free.accelerators, 0);
  const slowest = Math.max(...shares.map(({candidate}) => candidate.slowness));
  return free + (slowest - 1) * request.slownessWeight;
}
