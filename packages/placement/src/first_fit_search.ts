/** The search of the baselines: the first targets, in order, that hold a gang. */
import type {Assignment} from '@galenavalve/model';
import {selectLowestBits} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import {type SearchRequest, createFreeView} from './best_fit_search.js';
import {type TargetCell, countFitting} from './target_cell.js';

/** Finds the first place for a gang, or undefined. */
export function findFirstFit(
  cells: Cells,
  request: SearchRequest,
): Assignment[] | undefined {
  if (request.gang.adjacency === 'domain') {
    return fillInOrder([...cells.targets.values()], request);
  }
  for (const rack of cells.racks.values()) {
    const found =
      request.gang.adjacency === 'rack'
        ? fillInOrder(rack.targets, request)
        : fillOne(rack.targets, request);
    if (found) {
      return found;
    }
  }
  return undefined;
}

function fillOne(
  targets: readonly TargetCell[],
  request: SearchRequest,
): Assignment[] | undefined {
  for (const target of targets) {
    const found = fillInOrder([target], request);
    if (found) {
      return found;
    }
  }
  return undefined;
}

function fillInOrder(
  targets: readonly TargetCell[],
  request: SearchRequest,
): Assignment[] | undefined {
  const {tasks, perTask} = request.gang;
  const view = createFreeView(request);
  const assignments: Assignment[] = [];
  let firstTask = 0;
  for (const target of targets) {
    const room = view(target);
    const fitting = room ? countFitting(room, perTask) : 0;
    const used = Math.min(fitting, tasks - firstTask);
    if (room && used > 0) {
      assignments.push({
        target: target.id,
        firstTask,
        tasks: used,
        accelerators: selectLowestBits(
          room.accelerators,
          used * perTask.accelerators,
        ),
      });
      firstTask += used;
    }
    if (firstTask === tasks) {
      return assignments;
    }
  }
  return undefined;
}
