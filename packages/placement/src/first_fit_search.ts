/**
 * First-fit search of the baseline policies: the first targets, in inventory
 * order, that hold a gang.
 */
import type {Assignment} from '@galenavalve/model';
import {selectLowestBits} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import {type SearchRequest, createFreeView} from './best_fit_search.js';
import {type TargetCell, countFitting} from './target_cell.js';

/** Finds the first placement for a gang; returns undefined if it does not fit. */
export function findFirstFit(
  cells: Cells,
  request: SearchRequest,
): Assignment[] | undefined {
  if (request.gang.adjacency === 'domain') {
    return fillTargetsInOrder([...cells.targets.values()], request);
  }
  for (const rack of cells.racks.values()) {
    const assignments =
      request.gang.adjacency === 'rack'
        ? fillTargetsInOrder(rack.targets, request)
        : findOnOneTarget(rack.targets, request);
    if (assignments) {
      return assignments;
    }
  }
  return undefined;
}

function findOnOneTarget(
  targets: readonly TargetCell[],
  request: SearchRequest,
): Assignment[] | undefined {
  for (const target of targets) {
    const assignments = fillTargetsInOrder([target], request);
    if (assignments) {
      return assignments;
    }
  }
  return undefined;
}

function fillTargetsInOrder(
  targets: readonly TargetCell[],
  request: SearchRequest,
): Assignment[] | undefined {
  const {tasks, perTask} = request.gang;
  const view = createFreeView(request);
  const assignments: Assignment[] = [];
  let firstTask = 0;
  for (const target of targets) {
    const resources = view(target);
    const fittingTasks = resources ? countFitting(resources, perTask) : 0;
    const placedTasks = Math.min(fittingTasks, tasks - firstTask);
    if (resources && placedTasks > 0) {
      assignments.push({
        target: target.id,
        firstTask,
        tasks: placedTasks,
        accelerators: selectLowestBits(
          resources.accelerators,
          placedTasks * perTask.accelerators,
        ),
      });
      firstTask += placedTasks;
    }
    if (firstTask === tasks) {
      return assignments;
    }
  }
  return undefined;
}
