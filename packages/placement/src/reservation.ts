/**
 * Reserves targets for the oldest large job, so that smaller jobs cannot
 * overtake it forever.
 *
 * Other jobs may start on reserved targets only as backfill, that is, if they are
 * expected to end before the large job could start anyway. Once the large job has
 * waited for `rules.largeJobWaitSeconds`, the reservation is exclusive: no other
 * job starts there.
 */
import type {Cells} from './cells.js';
import {UPPER_QUANTILE} from './run_time_estimator.js';
import {groupGuaranteedTargetsByRack} from './guaranteed_search.js';
import type {RunningGang, WaitingJob} from './policy.js';
import {isUsable} from './best_fit_search.js';
import {
  type TargetResources,
  type TargetCell,
  getCapacity,
  countFitting,
} from './target_cell.js';

/** Targets that are reserved for a job. */
export interface Reservation {
  jobId: string;
  workspace: string;
  /** Whether the reservation is within the guarantee of the job's workspace. */
  isWithinGuarantee: boolean;
  targets: ReadonlySet<TargetCell>;
  /** Wall-clock milliseconds at which the targets are expected to be free. */
  freeAt: number;
  /** Whether no other job may start there. */
  isExclusive: boolean;
}

/** Number of racks that are compared, those with the most free accelerators first. */
const MAX_COMPARED_RACKS = 64;

/** Remaining run time of an overdue gang, as a share of its run time so far. */
const OVERDUE_EXTENSION_SHARE = 0.5;

/** A target, the number of tasks of the job that it can hold, and the time from which on it can. */
interface Opening {
  target: TargetCell;
  tasks: number;
  /** Wall-clock milliseconds at which the awaited gangs are expected to have ended. */
  freeAt: number;
}

/**
 * Returns whether a job is large: needs at least as many accelerators as the
 * largest target has.
 */
export function isLarge(cells: Cells, {gang}: WaitingJob): boolean {
  return gang.tasks * gang.perTask.accelerators >= cells.maxTargetSize;
}

/** Plans the reservation for a job; returns undefined if no schedulable targets can hold it. */
export function planReservation(
  cells: Cells,
  job: WaitingJob,
  now: number,
): Reservation | undefined {
  const waitedSeconds = (now - job.submittedAt) / 1000;
  const isExclusive = waitedSeconds >= cells.rules.largeJobWaitSeconds;
  const previous = findPreviousOpenings(cells, job, now);
  const inGuarantee = previous
    ? undefined
    : findOpenings(cells, job, now, true);
  const openings =
    previous ?? inGuarantee ?? findOpenings(cells, job, now, false);
  const isWithinGuarantee = previous
    ? cells.reservation!.isWithinGuarantee
    : inGuarantee !== undefined;
  return (
    openings && {
      jobId: job.jobId,
      workspace: job.workspace,
      isWithinGuarantee,
      targets: new Set(openings.map(({target}) => target)),
      freeAt: getLatestFreeAt(openings),
      isExclusive,
    }
  );
}

/**
 * Creates a predicate of the targets on which a job that ends at `endsAt`
 * (wall-clock milliseconds) may start despite the reservation.
 */
export function createReservationPredicate(
  reservation: Reservation | undefined,
  job: WaitingJob,
  endsAt: number,
): (target: TargetCell) => boolean {
  if (!reservation || reservation.jobId === job.jobId) {
    return () => true;
  }
  if (!reservation.isExclusive && endsAt <= reservation.freeAt) {
    return () => true;
  }
  return target => !reservation.targets.has(target);
}

/**
 * Lists borrowers on the reserved targets that need fewer than `size`
 * accelerators and keep their progress when they are stopped.
 */
export function listPreemptible(
  {targets}: Reservation,
  size: number,
): RunningGang[] {
  const gangs = new Set<RunningGang>();
  for (const target of targets) {
    for (const {gang} of target.occupants.values()) {
      const isSmaller = gang.gang.tasks * gang.gang.perTask.accelerators < size;
      const isPreemptible = gang.checkpointable && !gang.guaranteed;
      if (isSmaller && isPreemptible && !gang.stopping) {
        gangs.add(gang);
      }
    }
  }
  return [...gangs];
}

/**
 * Returns the wall-clock milliseconds at which a gang is expected to have
 * ended, by the upper estimate.
 */
export function estimateEnd(
  cells: Cells,
  gang: RunningGang,
  now: number,
): number {
  const seconds = cells.estimates.estimate(
    gang.workspace,
    gang.kind,
    gang.expectedSeconds,
    UPPER_QUANTILE,
  );
  const endAt = gang.startedAt + seconds * 1000;
  const overdueEndAt = now + (now - gang.startedAt) * OVERDUE_EXTENSION_SHARE;
  return endAt > now ? endAt : overdueEndAt;
}

/** Finds openings on the targets that were reserved before, if they can still hold the job. */
function findPreviousOpenings(
  cells: Cells,
  job: WaitingJob,
  now: number,
): Opening[] | undefined {
  const previous = cells.reservation;
  if (previous?.jobId !== job.jobId) {
    return undefined;
  }
  const targets = [...previous.targets].map(({id}) => cells.targets.get(id));
  const existing = targets.filter(target => target !== undefined);
  const view = previous.isWithinGuarantee
    ? createGuaranteeCapacity(cells, job)
    : WHOLE_CAPACITY;
  return selectOpenings(listOpenings(cells, job, existing, now, view), job);
}

/**
 * Finds the openings that are free earliest, in the guaranteed cells of the
 * workspace or in the whole domain.
 */
function findOpenings(
  cells: Cells,
  job: WaitingJob,
  now: number,
  isWithinGuarantee: boolean,
): Opening[] | undefined {
  const groups = isWithinGuarantee
    ? groupGuaranteedTargetsByRack(cells, job.workspace)
    : listEmptiestRacks(cells);
  const view = isWithinGuarantee
    ? createGuaranteeCapacity(cells, job)
    : WHOLE_CAPACITY;
  if (job.gang.adjacency === 'domain') {
    const targets = isWithinGuarantee
      ? cells.guaranteedCells.getWorkspace(job.workspace).masksByTarget.keys()
      : cells.targets.values();
    return selectOpenings(listOpenings(cells, job, targets, now, view), job);
  }
  let best: Opening[] | undefined;
  for (const targets of groups) {
    const found = selectOpenings(
      listOpenings(cells, job, targets, now, view),
      job,
    );
    if (found && (!best || getLatestFreeAt(found) < getLatestFreeAt(best))) {
      best = found;
    }
  }
  return best;
}

/** The capacity of targets that a reservation may use once the awaited gangs have ended. */
interface CapacityView {
  /** Returns the resources of a target that the job may use, or undefined if none. */
  getResources: (target: TargetCell) => TargetResources | undefined;
  /** Returns whether the job has to wait for a gang to end. */
  isAwaited: (gang: RunningGang) => boolean;
}

const WHOLE_CAPACITY: CapacityView = {
  getResources: target => getCapacity(target.spec),
  isAwaited: () => true,
};

/**
 * Creates the view of a guarantee, in which only guaranteed gangs of the same
 * workspace are awaited.
 */
function createGuaranteeCapacity(
  cells: Cells,
  {workspace}: WaitingJob,
): CapacityView {
  return {
    getResources: target =>
      cells.guaranteedCells.getGuaranteedResources(workspace, target),
    isAwaited: gang => gang.guaranteed && gang.workspace === workspace,
  };
}

function* listEmptiestRacks(cells: Cells): Iterable<readonly TargetCell[]> {
  let count = 0;
  for (let free = cells.racksByFree.length - 1; free >= 0; free--) {
    for (const rack of cells.racksByFree[free]!) {
      yield rack.targets;
      count++;
      if (count === MAX_COMPARED_RACKS) {
        return;
      }
    }
  }
}

function listOpenings(
  cells: Cells,
  job: WaitingJob,
  targets: Iterable<TargetCell>,
  now: number,
  capacity: CapacityView,
): Opening[] {
  const openings: Opening[] = [];
  for (const target of targets) {
    const resources = isUsable(job, target)
      ? capacity.getResources(target)
      : undefined;
    const tasks = resources ? countFitting(resources, job.gang.perTask) : 0;
    if (tasks > 0) {
      const freeAt = estimateFreeAt(cells, target, now, capacity);
      openings.push({target, tasks, freeAt});
    }
  }
  return openings;
}

function estimateFreeAt(
  cells: Cells,
  target: TargetCell,
  now: number,
  {isAwaited}: CapacityView,
): number {
  let freeAt = now;
  for (const {gang} of target.occupants.values()) {
    if (isAwaited(gang)) {
      freeAt = Math.max(freeAt, estimateEnd(cells, gang, now));
    }
  }
  return freeAt;
}

/**
 * Selects the earliest openings that together hold the job; returns undefined
 * if they do not suffice.
 */
function selectOpenings(
  openings: Opening[],
  {gang}: WaitingJob,
): Opening[] | undefined {
  openings.sort((a, b) => a.freeAt - b.freeAt || b.tasks - a.tasks);
  if (gang.adjacency === 'target') {
    const single = openings.find(({tasks}) => tasks >= gang.tasks);
    return single && [single];
  }
  let missing = gang.tasks;
  const chosen: Opening[] = [];
  for (const opening of openings) {
    chosen.push(opening);
    missing -= opening.tasks;
    if (missing <= 0) {
      return chosen;
    }
  }
  return undefined;
}

function getLatestFreeAt(openings: readonly Opening[]): number {
  return openings.reduce((latest, {freeAt}) => Math.max(latest, freeAt), 0);
}
