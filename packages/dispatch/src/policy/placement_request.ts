/** What a unit asks of targets. */
import {
  type ActiveUnit,
  computeAllocatedDemand,
  countMembers,
} from '../active_job.js';
import {type Placement, findLocalPlacement} from './placement_search.js';
import type {PlacementRequest, CandidateTarget} from './candidate_target.js';

/** Accelerators of room that twice the time on a target weighs as much as, for urgent work. */
const URGENT_SLOWNESS_WEIGHT = 40;

/** The same for other work: it leaves the fast targets to urgent work. */
const NON_URGENT_SLOWNESS_WEIGHT = -5;

/** A unit with its place. */
export interface PlannedStart {
  unit: ActiveUnit;
  placement: Placement;
}

/** The unit as the search sees it; `starts` were decided before it in the same pass. */
export function createPlacementRequest(
  unit: ActiveUnit,
  starts: readonly PlannedStart[],
  allowed: ReadonlySet<string> | undefined,
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
    allowedTargets: allowed,
    slownessWeight:
      unit.job.accepted.terms.priority === 0
        ? URGENT_SLOWNESS_WEIGHT
        : NON_URGENT_SLOWNESS_WEIGHT,
  };
}

/** Units of the same shape and constraints find room or not together. */
export function createShapeKey(unit: ActiveUnit): string {
  const {step, job} = unit;
  const isSpecial =
    unit.avoidedTargets.size > 0 ||
    step.maxPerTarget !== undefined ||
    job.accepted.terms.needsAdvice;
  const own = isSpecial ? `${job.id}.${unit.stepIndex}.${unit.unitIndex}` : '';
  const {cpu, memoryMb, accelerators} = step.demand;
  return [
    countMembers(unit),
    cpu,
    memoryMb,
    accelerators,
    step.isRackSensitive,
    step.requiredLabel,
    step.dataRack,
    step.estimateMs,
    job.accepted.queue,
    own,
  ].join('|');
}

/** Whether one rack could hold every member if it were empty. */
export function isFeasibleWithLocality(
  seeker: PlacementRequest,
  spaces: readonly CandidateTarget[],
): boolean {
  const empty = spaces.map(space => ({
    ...space,
    free: {...space.target.info.capacity},
  }));
  return findLocalPlacement(seeker, empty, -Infinity) !== undefined;
}

/** Members of the step that each target may still take. */
function createMemberCounter(
  unit: ActiveUnit,
  starts: readonly PlannedStart[],
): (targetId: string) => number {
  const most = unit.step.maxPerTarget;
  if (most === undefined) {
    return () => Infinity;
  }
  const taken = new Map<string, number>();
  const add = (id: string, members: number) =>
    taken.set(id, (taken.get(id) ?? 0) + members);
  for (const other of unit.job.units) {
    if (isSameStep(other, unit)) {
      other.allocations.forEach(({target: room}) => add(room.info.id, 1));
    }
  }
  for (const {unit: other, placement} of starts) {
    if (isSameStep(other, unit)) {
      placement.shares.forEach(share =>
        add(share.candidate.target.info.id, share.members),
      );
    }
  }
  return id => Math.max(0, most - (taken.get(id) ?? 0));
}

function isSameStep(a: ActiveUnit, b: ActiveUnit): boolean {
  return (
    a.job === b.job &&
    a.occurrence === b.occurrence &&
    a.stepIndex === b.stepIndex
  );
}
