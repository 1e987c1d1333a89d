/** Best-fit search for a placement, level by level, in the capacity that a view exposes. */
import type {Assignment, GangShape} from '@galenavalve/model';
import {chooseAccelerators} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import {
  type TargetResources,
  type TargetCell,
  countFitting,
} from './target_cell.js';

/** Properties of a job that a placement search needs. */
export interface SearchRequest {
  workspace: string;
  gang: GangShape;
  avoidTargets: readonly string[];
}

/** Returns the resources of a target that a search may use, or undefined if it may use none. */
export type ResourceView = (target: TargetCell) => TargetResources | undefined;

/** A target with the resources that a search may use there. */
export interface TargetCandidate {
  target: TargetCell;
  resources: TargetResources;
  /** Tasks that fit on the target, or that are placed there once it is chosen. */
  tasks: number;
}

/** Returns whether a target may take new work of a job, whatever its free capacity. */
export function isUsable(request: SearchRequest, target: TargetCell): boolean {
  return (
    target.isSchedulable &&
    target.permits(request.workspace) &&
    !request.avoidTargets.includes(target.id)
  );
}

/** Creates a view of the free resources of the targets that may take work of a job. */
export function createFreeView(request: SearchRequest): ResourceView {
  return target => (isUsable(request, target) ? target.free : undefined);
}

/**
 * Finds the placement in a domain that leaves the largest free blocks intact.
 * Returns undefined if the gang does not fit.
 */
export function findBestFit(
  cells: Cells,
  request: SearchRequest,
  view: ResourceView = createFreeView(request),
): Assignment[] | undefined {
  const {tasks, perTask, adjacency} = request.gang;
  const isInDomain = adjacency === 'domain';
  const minFree = isInDomain
    ? perTask.accelerators
    : tasks * perTask.accelerators;
  const minTasks = isInDomain ? 1 : tasks;
  return placeAmong(listRacks(cells, minFree, perTask.accelerators, minTasks), {
    gang: request.gang,
    view,
  });
}

/** A gang to place, and the capacity that it may use. */
export interface PlacementQuery {
  gang: GangShape;
  view: ResourceView;
}

/**
 * Places a gang on groups of targets, trying the groups in the given order.
 * Each group is within one rack; a gang with domain adjacency may span groups.
 * Returns undefined if the gang does not fit.
 */
export function placeAmong(
  groups: Iterable<readonly TargetCell[]>,
  {gang, view}: PlacementQuery,
): Assignment[] | undefined {
  const chosen: TargetCandidate[] = [];
  let missing = gang.tasks;
  for (const targets of groups) {
    const candidates = listCandidates(targets, gang, view);
    const selected = chooseCandidates(candidates, gang, missing);
    if (gang.adjacency !== 'domain') {
      if (selected) {
        return toAssignments(selected, gang);
      }
      continue;
    }
    const used = selected ?? candidates;
    for (const candidate of used) {
      chosen.push(candidate);
      missing -= candidate.tasks;
    }
    if (missing === 0) {
      return toAssignments(chosen, gang);
    }
  }
  return undefined;
}

/** Lists the targets on which at least one task fits. */
export function listCandidates(
  targets: Iterable<TargetCell>,
  gang: GangShape,
  view: ResourceView,
): TargetCandidate[] {
  const candidates: TargetCandidate[] = [];
  for (const target of targets) {
    const resources = view(target);
    const tasks = resources ? countFitting(resources, gang.perTask) : 0;
    if (resources && tasks > 0) {
      candidates.push({target, resources, tasks});
    }
  }
  return candidates;
}

/**
 * Lists the targets of the racks that may hold `minTasks` tasks, the rack with the
 * fewest free accelerators first.
 */
function* listRacks(
  cells: Cells,
  minFree: number,
  perTask: number,
  minTasks: number,
): Iterable<readonly TargetCell[]> {
  for (let free = minFree; free < cells.racksByFree.length; free++) {
    for (const rack of cells.racksByFree[free]!) {
      if (rack.getTaskUpperBound(perTask) >= minTasks) {
        yield rack.targets;
      }
    }
  }
}

/**
 * Chooses the fullest target that holds all tasks, else as few targets as
 * possible: the targets that hold the most tasks, and for the rest of the tasks
 * the fullest target that holds them. Returns undefined if the tasks do not fit.
 */
function chooseCandidates(
  candidates: TargetCandidate[],
  gang: GangShape,
  tasks: number,
): TargetCandidate[] | undefined {
  candidates.sort(
    (a, b) =>
      a.tasks - b.tasks ||
      a.target.freeAccelerators - b.target.freeAccelerators ||
      a.target.index - b.target.index,
  );
  const chosen: TargetCandidate[] = [];
  let missing = tasks;
  let end = candidates.length;
  while (missing > 0 && end > 0) {
    const last = candidates.findIndex(candidate => candidate.tasks >= missing);
    if (last >= 0 && last < end) {
      chosen.push({...candidates[last]!, tasks: missing});
      return chosen;
    }
    if (gang.adjacency === 'target') {
      return undefined;
    }
    end--;
    chosen.push(candidates[end]!);
    missing -= candidates[end]!.tasks;
  }
  return undefined;
}

function toAssignments(
  candidates: TargetCandidate[],
  gang: GangShape,
): Assignment[] {
  let firstTask = 0;
  return candidates.map(({target, resources, tasks}) => {
    const assignment: Assignment = {
      target: target.id,
      firstTask,
      tasks,
      accelerators: chooseAccelerators(
        resources.accelerators,
        tasks * gang.perTask.accelerators,
        target.spec.accelerators,
      ),
    };
    firstTask += tasks;
    return assignment;
  });
}
