/** The search for a place within a workspace's guarantee. */
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

/** The targets that a reservation leaves open to a job. */
export interface ReservationFilter {
  /** Whether it may start there in its own homes. */
  isOpenInGuarantee: (target: TargetCell) => boolean;
  /** Whether it may start there otherwise. */
  isOpenElsewhere: (target: TargetCell) => boolean;
}

/**
 * Finds a free place within the guarantee of the job's workspace: in its
 * homes, or where a home can be moved to. Stops nobody.
 */
export function findGuaranteedPlace(
  cells: Cells,
  request: SearchRequest,
  isOpen: ReservationFilter,
): Assignment[] | undefined {
  const inBound = placeAmong(
    groupGuaranteedTargetsByRack(cells, request.workspace),
    {
      gang: request.gang,
      view: target =>
        isOpen.isOpenInGuarantee(target)
          ? freeBoundRoom(cells, request, target)
          : undefined,
    },
  );
  return (
    inBound ??
    findClaimable(cells, request, isOpen) ??
    placeAmong(groupGuaranteedTargetsByRack(cells, request.workspace), {
      gang: request.gang,
      view: target =>
        isOpen.isOpenInGuarantee(target)
          ? freeHomeRoom(cells, request, target)
          : undefined,
    })
  );
}

/** The place that leaves the largest blocks whole, if homes can be moved there. */
function findClaimable(
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
  const place = findBestFit(cells, request, view);
  return place && relocateCells(cells, request, place) ? place : undefined;
}

/** What a workspace may use of a target within its guarantee, counting borrowers as absent. */
export function createReclaimableView(
  cells: Cells,
  request: SearchRequest,
): ResourceView {
  return target =>
    isUsable(request, target)
      ? cells.guaranteedCells.getRemainingGuarantee(request.workspace, target)
      : undefined;
}

/** The targets with homes of a workspace, grouped by rack, the smallest group first. */
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

/** The smaller of two amounts of each resource. */
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

/** Free room in homes that are in use already; filling them keeps the others whole. */
function freeBoundRoom(
  cells: Cells,
  request: SearchRequest,
  target: TargetCell,
): TargetResources | undefined {
  const {guaranteedCells: homes} = cells;
  if (!homes.getWorkspace(request.workspace).usageByTarget.has(target)) {
    return undefined;
  }
  let bound = 0;
  for (const home of homes.listCellsOn(target)) {
    if (home.workspace === request.workspace && homes.isBound(home)) {
      bound |= getMaskOn(home, target);
    }
  }
  const room = freeHomeRoom(cells, request, target);
  return room && {...room, accelerators: room.accelerators & bound};
}

function freeHomeRoom(
  cells: Cells,
  request: SearchRequest,
  target: TargetCell,
): TargetResources | undefined {
  if (!isUsable(request, target)) {
    return undefined;
  }
  const room = cells.guaranteedCells.getRemainingGuarantee(
    request.workspace,
    target,
  );
  return room && intersectResources(room, target.free);
}
