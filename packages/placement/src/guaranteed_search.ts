/** Search for a placement within the guarantee of a workspace. */
import type {Assignment} from '@galenavalve/model';
import type {Cells} from './cells.js';
import {getMaskOn} from './guaranteed_cell.js';
import {relocateCells} from './cell_relocation.js';
import {
  type ResourceView,
  type SearchRequest,
  findBestFit,
  isUsable,
  placeAmong,
} from './best_fit_search.js';
import type {TargetResources, TargetCell} from './target_cell.js';

/** The targets on which a reservation lets a job start. */
export interface ReservationFilter {
  /** Returns whether the job may start on a target in guaranteed cells of its own workspace. */
  isOpenInGuarantee: (target: TargetCell) => boolean;
  /** Returns whether the job may start on a target outside these cells. */
  isOpenElsewhere: (target: TargetCell) => boolean;
}

/**
 * Finds a free placement within the guarantee of the job's workspace: in cells
 * that are bound already, else where cells can be moved to, else in any of its
 * cells. Stops no gangs, but may relocate cells. Returns undefined if there is
 * none.
 */
export function findGuaranteedPlace(
  cells: Cells,
  request: SearchRequest,
  isOpen: ReservationFilter,
): Assignment[] | undefined {
  const inBoundCells = placeAmong(
    groupGuaranteedTargetsByRack(cells, request.workspace),
    {
      gang: request.gang,
      view: target =>
        isOpen.isOpenInGuarantee(target)
          ? getFreeInBoundCells(cells, request, target)
          : undefined,
    },
  );
  return (
    inBoundCells ??
    findByRelocation(cells, request, isOpen) ??
    placeAmong(groupGuaranteedTargetsByRack(cells, request.workspace), {
      gang: request.gang,
      view: target =>
        isOpen.isOpenInGuarantee(target)
          ? getFreeInGuarantee(cells, request, target)
          : undefined,
    })
  );
}

/**
 * Finds the placement that leaves the largest free blocks intact, and moves
 * cells there if possible.
 */
function findByRelocation(
  cells: Cells,
  request: SearchRequest,
  isOpen: ReservationFilter,
): Assignment[] | undefined {
  if (request.gang.perTask.accelerators === 0) {
    return undefined;
  }
  const view: ResourceView = target =>
    isOpen.isOpenElsewhere(target) && isUsable(request, target)
      ? target.free
      : undefined;
  const assignments = findBestFit(cells, request, view);
  return assignments && relocateCells(cells, request, assignments)
    ? assignments
    : undefined;
}

/**
 * Creates a view of the resources that the job's workspace may still use within
 * its guarantee, as if no borrowers ran.
 */
export function createReclaimableView(
  cells: Cells,
  request: SearchRequest,
): ResourceView {
  return target =>
    isUsable(request, target)
      ? cells.guaranteedCells.getRemainingGuarantee(request.workspace, target)
      : undefined;
}

/**
 * Groups the targets with guaranteed cells of a workspace by rack, the rack
 * with the fewest free accelerators first.
 */
export function groupGuaranteedTargetsByRack(
  cells: Cells,
  workspace: string,
): (readonly TargetCell[])[] {
  const groups = new Map<object, TargetCell[]>();
  for (const target of cells.guaranteedCells
    .getWorkspace(workspace)
    .masksByTarget.keys()) {
    const group = groups.get(target.rack);
    if (group) {
      group.push(target);
    } else {
      groups.set(target.rack, [target]);
    }
  }
  const order = [...groups].map(([rack, targets]) => ({
    targets,
    free: (rack as {free: number}).free,
  }));
  order.sort((a, b) => a.free - b.free);
  return order.map(({targets}) => targets);
}

/**
 * Returns the resources that both amounts contain: common accelerators, and the
 * minimum of the rest.
 */
export function intersectResources(
  a: TargetResources,
  b: TargetResources,
): TargetResources {
  return {
    accelerators: a.accelerators & b.accelerators,
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    slots: Math.min(a.slots, b.slots),
  };
}

/** Returns the free resources in bound cells; filling these first keeps other cells unbound. */
function getFreeInBoundCells(
  cells: Cells,
  request: SearchRequest,
  target: TargetCell,
): TargetResources | undefined {
  const {guaranteedCells} = cells;
  if (
    !guaranteedCells.getWorkspace(request.workspace).usageByTarget.has(target)
  ) {
    return undefined;
  }
  let boundMask = 0;
  for (const cell of guaranteedCells.listCellsOn(target)) {
    if (cell.workspace === request.workspace && guaranteedCells.isBound(cell)) {
      boundMask |= getMaskOn(cell, target);
    }
  }
  const free = getFreeInGuarantee(cells, request, target);
  return free && {...free, accelerators: free.accelerators & boundMask};
}

/** Returns the free resources of a target within the guarantee of the job's workspace. */
function getFreeInGuarantee(
  cells: Cells,
  request: SearchRequest,
  target: TargetCell,
): TargetResources | undefined {
  if (!isUsable(request, target)) {
    return undefined;
  }
  const resources = cells.guaranteedCells.getRemainingGuarantee(
    request.workspace,
    target,
  );
  return resources && intersectResources(resources, target.free);
}
