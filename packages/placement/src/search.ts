/** The search for a place: best fit by level, in the free capacity of a domain. */
import type {Assignment, GangShape} from '@galenavalve/model';
import {chooseAccelerators} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import type {RackCell} from './rack_cell.js';
import {type Room, type TargetCell, countFitting} from './target_cell.js';

/** What a search needs to know of a job. */
export interface SearchRequest {
  workspace: string;
  gang: GangShape;
  avoidTargets: readonly string[];
}

/** The part of a target that a search may use; undefined when it may use nothing. */
export type RoomView = (target: TargetCell) => Room | undefined;

/** A target with the number of tasks that go there. */
interface Portion {
  target: TargetCell;
  room: Room;
  tasks: number;
}

/** The free capacity of targets that can take work of the job. */
export function freeRoom(request: SearchRequest): RoomView {
  return target =>
    target.isWell &&
    target.permits(request.workspace) &&
    !request.avoidTargets.includes(target.id)
      ? target.free
      : undefined;
}

/** Finds the place that leaves the largest blocks whole, or undefined. */
export function findBestFit(
  cells: Cells,
  request: SearchRequest,
  view: RoomView = freeRoom(request),
): Assignment[] | undefined {
  const {tasks, perTask, adjacency} = request.gang;
  const needed = tasks * perTask.accelerators;
  if (adjacency !== 'domain') {
    for (let free = needed; free < cells.racksByFree.length; free++) {
      for (const rack of cells.racksByFree[free]!) {
        const portions =
          rack.boundTasks(perTask.accelerators) >= tasks &&
          fillRack(rack, request.gang, view);
        if (portions) {
          return toAssignments(portions, request.gang);
        }
      }
    }
    return undefined;
  }
  return findInDomain(cells, request.gang, view);
}

/** Places a gang in one rack, on its fullest sufficient targets. */
function fillRack(
  rack: RackCell,
  gang: GangShape,
  view: RoomView,
): Portion[] | undefined {
  const portions = listPortions(rack.targets, gang, view);
  return choosePortions(portions, gang);
}

function findInDomain(
  cells: Cells,
  gang: GangShape,
  view: RoomView,
): Assignment[] | undefined {
  const chosen: Portion[] = [];
  let missing = gang.tasks;
  for (const racks of cells.racksByFree) {
    for (const rack of racks) {
      if (rack.boundTasks(gang.perTask.accelerators) === 0) {
        continue;
      }
      const portions = listPortions(rack.targets, gang, view);
      const whole = choosePortions(portions, {...gang, tasks: missing});
      const used = whole ?? portions;
      chosen.push(...used);
      missing -= used.reduce((sum, portion) => sum + portion.tasks, 0);
      if (missing === 0) {
        return toAssignments(chosen, gang);
      }
    }
  }
  return undefined;
}

function listPortions(
  targets: readonly TargetCell[],
  gang: GangShape,
  view: RoomView,
): Portion[] {
  const portions: Portion[] = [];
  for (const target of targets) {
    const room = view(target);
    const tasks = room ? countFitting(room, gang.perTask) : 0;
    if (room && tasks > 0) {
      portions.push({target, room, tasks});
    }
  }
  return portions;
}

/** Chooses the fullest targets that hold the gang; the last one is the smallest that holds the rest. */
function choosePortions(
  portions: Portion[],
  gang: GangShape,
): Portion[] | undefined {
  portions.sort((a, b) => a.tasks - b.tasks || a.target.index - b.target.index);
  const single = portions.find(portion => portion.tasks >= gang.tasks);
  if (single) {
    return [{...single, tasks: gang.tasks}];
  }
  if (gang.adjacency === 'target') {
    return undefined;
  }
  const chosen: Portion[] = [];
  let missing = gang.tasks;
  for (let i = portions.length - 1; i >= 0 && missing > 0; i--) {
    const rest = portions.find(
      portion => portion.tasks >= missing && !chosen.includes(portion),
    );
    const portion = rest ?? portions[i]!;
    chosen.push({...portion, tasks: Math.min(portion.tasks, missing)});
    missing -= Math.min(portion.tasks, missing);
  }
  return missing === 0 ? chosen : undefined;
}

function toAssignments(portions: Portion[], gang: GangShape): Assignment[] {
  let firstTask = 0;
  return portions.map(({target, room, tasks}) => {
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
