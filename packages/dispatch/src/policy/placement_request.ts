/** Creates placement requests from units. */
import {
  type ActiveUnit,
  computeAllocatedDemand,
  countMembers,
} from '../active_job.js';
import {type Placement, findLocalPlacement} from './placement_search.js';
import type {PlacementRequest, CandidateTarget} from './candidate_target.js';

/**
 * Slowness weight of urgent units, in accelerators; see
 * `PlacementRequest.slownessWeight`.
 */
const URGENT_SLOWNESS_WEIGHT = 40;

/**
 * Slowness weight of other units. Being negative, it makes them prefer slow
 * targets and leave the fast ones to urgent work.
 */
const NON_URGENT_SLOWNESS_WEIGHT = -5;

/** A unit and the placement with which it starts. */
export interface PlannedStart {
  unit: ActiveUnit;
  placement: Placement;
  /** Whether suspects among the members close their targets to other work. */
  isIsolated?: boolean;
}

/**
 * Creates the placement request of a unit. `starts` are the decisions made
 * earlier in the same pass.
 */
export function createPlacementRequest(
  unit: ActiveUnit,
  starts: readonly PlannedStart[],
  allowedTargets: ReadonlySet<string> | undefined,
): PlacementRequest {
  const {step} = unit;
  return {
    demand: computeAllocatedDemand(step),
    count: countMembers(unit),
    isRackSensitive: step.isRackSensitive && countMembers(unit) > 1,
    requiredLabel: step.requiredLabel,
    dataRack: step.dataRack,
    countRemainingMembers: createMemberCounter(unit, starts),
    avoidedTargets: unit.avoidedTargets,
    allowedTargets,
    slownessWeight:
      unit.job.accepted.terms.priority === 0
        ? URGENT_SLOWNESS_WEIGHT
        : NON_URGENT_SLOWNESS_WEIGHT,
  };
}

/**
 * Returns a key that units share whose requests are equal; either all of them can
 * be placed or none.
 */
export function createShapeKey(unit: ActiveUnit): string {
  const {step, job} = unit;
  const {pool, needsAdvice} = job.accepted.terms;
  // What differs by target is equal for the units of a step that avoid the same.
  const differsByTarget = step.maxPerTarget !== undefined || needsAdvice;
  const {cpu, memoryMb, accelerators} = step.demand;
  return [
    pool,
    countMembers(unit),
    cpu,
    memoryMb,
    accelerators,
    step.isRackSensitive,
    step.requiredLabel,
    step.dataRack,
    step.estimateMs,
    job.accepted.queue,
    differsByTarget ? `${job.id}.${unit.occurrence}.${unit.stepIndex}` : '',
    [...unit.avoidedTargets].sort().join(),
  ].join('|');
}

/**
 * Whether the request could be placed without a locality penalty if all targets
 * were empty.
 */
export function isFeasibleWithLocality(
  request: PlacementRequest,
  candidates: readonly CandidateTarget[],
): boolean {
  const emptyCandidates = candidates.map(candidate => ({
    ...candidate,
    free: {...candidate.target.info.capacity},
  }));
  return findLocalPlacement(request, emptyCandidates, -Infinity) !== undefined;
}

/**
 * Returns a function that computes how many more members of the unit's step a
 * target may take.
 */
function createMemberCounter(
  unit: ActiveUnit,
  starts: readonly PlannedStart[],
): (targetId: string) => number {
  const maxPerTarget = unit.step.maxPerTarget;
  if (maxPerTarget === undefined) {
    return () => Infinity;
  }
  const placedCounts = new Map<string, number>();
  const add = (id: string, members: number) =>
    placedCounts.set(id, (placedCounts.get(id) ?? 0) + members);
  for (const other of unit.job.units) {
    if (isSameStep(other, unit)) {
      other.allocations.forEach(({target}) => add(target.info.id, 1));
    }
  }
  for (const {unit: other, placement} of starts) {
    if (isSameStep(other, unit)) {
      placement.shares.forEach(share =>
        add(share.candidate.target.info.id, share.members),
      );
    }
  }
  return id => Math.max(0, maxPerTarget - (placedCounts.get(id) ?? 0));
}

function isSameStep(a: ActiveUnit, b: ActiveUnit): boolean {
  return (
    a.job === b.job &&
    a.occurrence === b.occurrence &&
    a.stepIndex === b.stepIndex
  );
}
