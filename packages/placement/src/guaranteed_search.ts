/** The search for a place within a workspace's guarantee. */
import type {Assignment} from '@galenavalve/model';
import type {Cells} from './cells.js';
import {claimPlace} from './home_exchange.js';
import {
  type RoomView,
  type SearchRequest,
  findBestFit,
  isUsable,
  placeAmong,
} from './search.js';
import type {Room, TargetCell} from './target_cell.js';

/** The targets that a reservation leaves open to a job. */
export interface OpenTargets {
  /** Whether it may start there in its own homes. */
  home: (target: TargetCell) => boolean;
  /** Whether it may start there otherwise. */
  elsewhere: (target: TargetCell) => boolean;
}

/**
 * Finds a free place within the guarantee of the job's workspace: in its
 * homes, or where a home can be moved to. Stops nobody.
 */
export function findGuaranteedPlace(
  cells: Cells,
  request: SearchRequest,
  isOpen: OpenTargets,
): Assignment[] | undefined {
  return (
    findClaimable(cells, request, isOpen) ??
    placeAmong(listHomeGroups(cells, request.workspace), {
      gang: request.gang,
      view: target =>
        isOpen.home(target) ? freeHomeRoom(cells, request, target) : undefined,
    })
  );
}

/** The place that leaves the largest blocks whole, if homes can be moved there. */
function findClaimable(
  cells: Cells,
  request: SearchRequest,
  isOpen: OpenTargets,
): Assignment[] | undefined {
  if (request.gang.perTask.accelerators === 0) {
    return undefined;
  }
  const view: RoomView = target =>
    isOpen.elsewhere(target) && isUsable(request, target)
      ? target.free
      : undefined;
  const place = findBestFit(cells, request, view);
  return place && claimPlace(cells, request, place) ? place : undefined;
}

/** What a workspace may use of a target within its guarantee, counting borrowers as absent. */
export function reclaimableRoom(
  cells: Cells,
  request: SearchRequest,
): RoomView {
  return target =>
    isUsable(request, target)
      ? cells.homes.guaranteedRoom(request.workspace, target)
      : undefined;
}

/** The targets with homes of a workspace, grouped by rack, the smallest group first. */
export function listHomeGroups(
  cells: Cells,
  workspace: string,
): (readonly TargetCell[])[] {
  const groups = new Map<object, TargetCell[]>();
  for (const target of cells.homes.of(workspace).masks.keys()) {
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
export function intersectRooms(a: Room, b: Room): Room {
  return {
    accelerators: a.accelerators & b.accelerators,
    processors: Math.min(a.processors, b.processors),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    slots: Math.min(a.slots, b.slots),
  };
}

function freeHomeRoom(
  cells: Cells,
  request: SearchRequest,
  target: TargetCell,
): Room | undefined {
  if (!isUsable(request, target)) {
    return undefined;
  }
  const room = cells.homes.guaranteedRoom(request.workspace, target);
  return room && intersectRooms(room, target.free);
}
