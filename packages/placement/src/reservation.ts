/**
 * Keeps a place for the oldest large job, so that smaller jobs cannot
 * overtake it for ever.
 *
 * Others may start in the place only while they are expected to end before
 * the large job could start anyway. Once it has waited
 * `rules.largeJobWaitSeconds`, nobody else starts there.
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

/** The place that is kept for a job. */
export interface Reservation {
  jobId: string;
  workspace: string;
  /** Whether the place lies within the guarantee of the job's workspace. */
  isWithinGuarantee: boolean;
  targets: ReadonlySet<TargetCell>;
  /** Wall-clock milliseconds at which the place is expected to be free. */
  freeAt: number;
  /** True when nobody else may start there. */
  isExclusive: boolean;
}

/** Racks that are compared, those with the most free accelerators first. */
const MAX_RACKS = 64;

/** Share of its age that an overdue gang is expected to go on for. */
const OVERDUE_SHARE = 0.5;

/** A target with the time at which it can hold tasks. */
interface Opening {
  target: TargetCell;
  tasks: number;
  freeAt: number;
}

/** Whether a job is large: it needs a whole target or more. */
export function isLarge(cells: Cells, {gang}: WaitingJob): boolean {
  return gang.tasks * gang.perTask.accelerators >= cells.maxTargetSize;
}

/** The place to keep for a job; undefined when no well targets can hold it. */
export function planReservation(
  cells: Cells,
  job: WaitingJob,
  now: number,
): Reservation | undefined {
  const waited = (now - job.submittedAt) / 1000;
  const isClosed = waited >= cells.rules.largeJobWaitSeconds;
  const kept = findKept(cells, job, now);
  const inHomes = kept ? undefined : findOpenings(cells, job, now, true);
  const openings = kept ?? inHomes ?? findOpenings(cells, job, now, false);
  const isInHomes = kept
    ? cells.reservation!.isWithinGuarantee
    : inHomes !== undefined;
  return (
    openings && {
      jobId: job.jobId,
      workspace: job.workspace,
      isWithinGuarantee: isInHomes,
      targets: new Set(openings.map(({target}) => target)),
      freeAt: latest(openings),
      isExclusive: isClosed,
    }
  );
}

/** Whether a job may start on a target in spite of the reservation. */
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

/** Borrowers in the kept place that are smaller than the large job and keep their progress when stopped. */
export function listPreemptible(
  {targets}: Reservation,
  size: number,
): RunningGang[] {
  const gangs = new Set<RunningGang>();
  for (const target of targets) {
    for (const {gang} of target.occupants.values()) {
      const isSmaller = gang.gang.tasks * gang.gang.perTask.accelerators < size;
      const isMovable = gang.checkpointable && !gang.guaranteed;
      if (isSmaller && isMovable && !gang.stopping) {
        gangs.add(gang);
      }
    }
  }
  return [...gangs];
}

/** When a gang is expected to have ended, with the upper estimate. */
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
  const end = gang.startedAt + seconds * 1000;
  const overdue = now + (now - gang.startedAt) * OVERDUE_SHARE;
  return end > now ? end : overdue;
}

/** The place that was kept before, if it still can hold the job. */
function findKept(
  cells: Cells,
  job: WaitingJob,
  now: number,
): Opening[] | undefined {
  const kept = cells.reservation;
  if (kept?.jobId !== job.jobId) {
    return undefined;
  }
  const targets = [...kept.targets].map(({id}) => cells.targets.get(id));
  const present = targets.filter(target => target !== undefined);
  const view = kept.isWithinGuarantee
    ? homeCapacity(cells, job)
    : wholeCapacity;
  return fill(listOpenings(cells, job, present, now, view), job);
}

/** The earliest place: in the workspace's own homes if they can hold the job, else anywhere. */
function findOpenings(
  cells: Cells,
  job: WaitingJob,
  now: number,
  isInHomes: boolean,
): Opening[] | undefined {
  const groups = isInHomes
    ? groupGuaranteedTargetsByRack(cells, job.workspace)
    : emptiestRacks(cells);
  const view = isInHomes ? homeCapacity(cells, job) : wholeCapacity;
  if (job.gang.adjacency === 'domain') {
    const targets = isInHomes
      ? cells.guaranteedCells.getWorkspace(job.workspace).masksByTarget.keys()
      : cells.targets.values();
    return fill(listOpenings(cells, job, targets, now, view), job);
  }
  let best: Opening[] | undefined;
  for (const targets of groups) {
    const found = fill(listOpenings(cells, job, targets, now, view), job);
    if (found && (!best || latest(found) < latest(best))) {
      best = found;
    }
  }
  return best;
}

/** What a target can hold for the job once others are gone, and which others it waits for. */
interface Capacity {
  room: (target: TargetCell) => TargetResources | undefined;
  isWaitedFor: (gang: RunningGang) => boolean;
}

const wholeCapacity: Capacity = {
  room: target => getCapacity(target.spec),
  isWaitedFor: () => true,
};

/** Within a guarantee only the workspace's own guaranteed gangs are waited for. */
function homeCapacity(cells: Cells, {workspace}: WaitingJob): Capacity {
  return {
    room: target =>
      cells.guaranteedCells.getGuaranteedResources(workspace, target),
    isWaitedFor: gang => gang.guaranteed && gang.workspace === workspace,
  };
}

function* emptiestRacks(cells: Cells): Iterable<readonly TargetCell[]> {
  let count = 0;
  for (let free = cells.racksByFree.length - 1; free >= 0; free--) {
    for (const rack of cells.racksByFree[free]!) {
      yield rack.targets;
      count++;
      if (count === MAX_RACKS) {
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
  capacity: Capacity,
): Opening[] {
  const openings: Opening[] = [];
  for (const target of targets) {
    const room = isUsable(job, target) ? capacity.room(target) : undefined;
    const tasks = room ? countFitting(room, job.gang.perTask) : 0;
    if (tasks > 0) {
      const freeAt = clearAt(cells, target, now, capacity);
      openings.push({target, tasks, freeAt});
    }
  }
  return openings;
}

function clearAt(
  cells: Cells,
  target: TargetCell,
  now: number,
  {isWaitedFor}: Capacity,
): number {
  let at = now;
  for (const {gang} of target.occupants.values()) {
    if (isWaitedFor(gang)) {
      at = Math.max(at, estimateEnd(cells, gang, now));
    }
  }
  return at;
}

/** The earliest openings that hold the job together. */
function fill(openings: Opening[], {gang}: WaitingJob): Opening[] | undefined {
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

function latest(openings: readonly Opening[]): number {
  return openings.reduce((at, {freeAt}) => Math.max(at, freeAt), 0);
}
