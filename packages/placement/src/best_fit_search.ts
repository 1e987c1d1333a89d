/** The search for a place: best fit by level, in the capacity that a view shows. */
import type {Assignment, GangShape} from '@galenavalve/model';
import {chooseAccelerators} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import {
  type TargetResources,
  type TargetCell,
  countFitting,
} from './target_cell.js';

/** What a search needs to know of a job. */
export interface SearchRequest {
  workspace: string;
  gang: GangShape;
  avoidTargets: readonly string[];
}

/** The part of a target that a search may use; undefined when it may use nothing. */
export type ResourceView = (target: TargetCell) => TargetResources | undefined;

/** A target with the number of tasks that fit, or that go there. */
export interface TargetCandidate {
  target: TargetCell;
  resources: TargetResources;
  tasks: number;
}

/** Whether new work of a job may start on a target at all. */
export function isUsable(request: SearchRequest, target: TargetCell): boolean {
  return (
    target.isSchedulable &&
    target.permits(request.workspace) &&
    !request.avoidTargets.includes(target.id)
  );
}

/** The free capacity of targets that can take work of the job. */
export function createFreeView(request: SearchRequest): ResourceView {
  return target => (isUsable(request, target) ? target.free : undefined);
}

/** Finds the place in a domain that leaves the largest blocks whole, or undefined. */
export function findBestFit(
  cells: Cells,
  request: SearchRequest,
  view: ResourceView = createFreeView(request),
): Assignment[] | undefined {
  const {tasks, perTask, adjacency} = request.gang;
  const isInDomain = adjacency === 'domain';
  const smallest = isInDomain
    ? perTask.accelerators
    : tasks * perTask.accelerators;
  const needed = isInDomain ? 1 : tasks;
  return placeAmong(listRacks(cells, smallest, perTask.accelerators, needed), {
    gang: request.gang,
    view,
  });
}

/** What is placed, and in which capacity. */
export interface PlacementQuery {
  gang: GangShape;
  view: ResourceView;
}

/** Places a gang on groups of targets, each of one rack, the fullest group first. */
export function placeAmong(
  groups: Iterable<readonly TargetCell[]>,
  {gang, view}: PlacementQuery,
): Assignment[] | undefined {
  const chosen: TargetCandidate[] = [];
  let missing = gang.tasks;
  for (const targets of groups) {
    const portions = listCandidates(targets, gang, view);
    const whole = choosePortions(portions, gang, missing);
    if (gang.adjacency !== 'domain') {
      if (whole) {
        return toAssignments(whole, gang);
      }
      continue;
    }
    const used = whole ?? portions;
    for (const portion of used) {
      chosen.push(portion);
      missing -= portion.tasks;
    }
    if (missing === 0) {
      return toAssignments(chosen, gang);
    }
  }
  return undefined;
}

/** The targets that hold at least one task. */
export function listCandidates(
  targets: Iterable<TargetCell>,
  gang: GangShape,
  view: ResourceView,
): TargetCandidate[] {
  const portions: TargetCandidate[] = [];
  for (const target of targets) {
    const room = view(target);
    const tasks = room ? countFitting(room, gang.perTask) : 0;
    if (room && tasks > 0) {
      portions.push({target, resources: room, tasks});
    }
  }
  return portions;
}

/** The targets of the racks that may hold `needed` tasks, the fullest rack first. */
function* listRacks(
  cells: Cells,
  smallest: number,
  perTask: number,
  needed: number,
): Iterable<readonly TargetCell[]> {
  for (let free = smallest; free < cells.racksByFree.length; free++) {
    for (const rack of cells.racksByFree[free]!) {
      if (rack.getTaskUpperBound(perTask) >= needed) {
        yield rack.targets;
      }
    }
  }
}

/**
 * Chooses the fullest target that holds the tasks alone, else as few targets
 * as possible, the last of them the fullest that holds the rest.
 */
function choosePortions(
  portions: TargetCandidate[],
  gang: GangShape,
  tasks: number,
): TargetCandidate[] | undefined {
  portions.sort(
    (a, b) =>
      a.tasks - b.tasks ||
      a.target.freeAccelerators - b.target.freeAccelerators ||
      a.target.index - b.target.index,
  );
  const chosen: TargetCandidate[] = [];
  let missing = tasks;
  let end = portions.length;
  while (missing > 0 && end > 0) {
    const rest = portions.findIndex(portion => portion.tasks >= missing);
    if (rest >= 0 && rest < end) {
      chosen.push({...portions[rest]!, tasks: missing});
      return chosen;
    }
    if (gang.adjacency === 'target') {
      return undefined;
    }
    end--;
    chosen.push(portions[end]!);
    missing -= portions[end]!.tasks;
  }
  return undefined;
}

function toAssignments(
  portions: TargetCandidate[],
  gang: GangShape,
): Assignment[] {
  let firstTask = 0;
  return portions.map(({target, resources: room, tasks}) => {
    const assignment: Assignment = {
      target: target.id,
      firstTask,
      tasks,
      accelerators: chooseAccelerators(
        room.accelerators,
        tasks * gang.perTask.accelerators,
        target.spec.accelerators,
      ),
    };
    firstTask += tasks;
    return assignment;
  });
}
