/** What a unit asks of targets. */
import {type UnitRun, countedDemand, memberCount} from '../runs.js';
import {type Placement, findPlacement} from './search.js';
import type {Seeker, Space} from './space.js';

/** Accelerators of room that twice the time on a target weighs as much as, for urgent work. */
const URGENT_SLOWNESS_WEIGHT = 40;

/** The same for other work: it leaves the fast targets to urgent work. */
const PATIENT_SLOWNESS_WEIGHT = -5;

/** A unit with its place. */
export interface Start {
  unit: UnitRun;
  placement: Placement;
}

/** The unit as the search sees it; `starts` were decided before it in the same pass. */
export function createSeeker(
  unit: UnitRun,
  starts: readonly Start[],
  allowed: ReadonlySet<string> | undefined,
): Seeker {
  const {step} = unit;
  return {
    demand: countedDemand(step),
    count: memberCount(unit),
    isRackSensitive: step.isRackSensitive && memberCount(unit) > 1,
    requiredLabel: step.requiredLabel,
    dataRack: step.dataRack,
    vacancy: countVacancies(unit, starts),
    avoid: unit.avoid,
    allowed,
    slownessWeight:
      unit.job.job.terms.priority === 0
        ? URGENT_SLOWNESS_WEIGHT
        : PATIENT_SLOWNESS_WEIGHT,
  };
}

/** Units of the same shape and constraints find room or not together. */
export function shapeOf(unit: UnitRun): string {
  const {step, job} = unit;
  const isSpecial =
    unit.avoid.size > 0 ||
    step.maxPerTarget !== undefined ||
    job.job.terms.needsAdvice;
  const own = isSpecial ? `${job.id}.${unit.stepIndex}.${unit.unitIndex}` : '';
  const {cpu, memoryMb, accelerators} = step.demand;
  return [
    memberCount(unit),
    cpu,
    memoryMb,
    accelerators,
    step.isRackSensitive,
    step.requiredLabel,
    step.dataRack,
    step.estimateMs,
    job.job.queue,
    own,
  ].join('|');
}

/** Whether one rack could hold every member if it were empty. */
export function canEverFitNear(
  seeker: Seeker,
  spaces: readonly Space[],
): boolean {
  const empty = spaces.map(space => ({
    ...space,
    free: {...space.room.info.capacity},
  }));
  return findPlacement(seeker, empty, -Infinity) !== undefined;
}

/** Members of the step that each target may still take. */
function countVacancies(
  unit: UnitRun,
  starts: readonly Start[],
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
      other.bookings.forEach(({room}) => add(room.info.id, 1));
    }
  }
  for (const {unit: other, placement} of starts) {
    if (isSameStep(other, unit)) {
      placement.shares.forEach(share =>
        add(share.space.room.info.id, share.members),
      );
    }
  }
  return id => Math.max(0, most - (taken.get(id) ?? 0));
}

function isSameStep(a: UnitRun, b: UnitRun): boolean {
  return (
    a.job === b.job &&
    a.occurrence === b.occurrence &&
    a.stepIndex === b.stepIndex
  );
}
