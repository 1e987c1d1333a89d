/** Finds infeasible jobs, which can never run in a domain, and the constraint that they violate. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Cells} from './cells.js';
import type {WaitingJob} from './policy.js';
import {getCapacity, countFitting} from './target_cell.js';

/**
 * Number of tasks of one demand that the largest target, the largest rack and
 * the whole domain can hold when empty.
 */
export interface TaskCapacity {
  target: number;
  rack: number;
  domain: number;
}

/**
 * Returns the constraint that a job can never meet in the domain, or undefined
 * if it is feasible.
 */
export function findUnmetConstraint(
  cells: Cells,
  job: WaitingJob,
): Reason | undefined {
  const {workspace: id, gang} = job;
  const workspace = cells.configuration.workspaces.get(id);
  if (!workspace) {
    return createReason('never-unknown-workspace', {workspace: id});
  }
  const permittedDomains = workspace.permittedDomains;
  const capacity = computeTaskCapacity(cells, job);
  if (
    capacity.target === 0 ||
    permittedDomains?.includes(cells.domain) === false
  ) {
    return createReason('never-permitted', {workspace: id});
  }
  if (capacity[gang.adjacency] >= gang.tasks) {
    return undefined;
  }
  return createReason('never-size', {
    level: gang.adjacency,
    workspace: id,
    needed: describeGang(job),
    available: capacity[gang.adjacency],
  });
}

/**
 * Counts the tasks that fit if nothing else runs and every target that
 * `isUsable` accepts is schedulable.
 */
export function computeTaskCapacity(
  cells: Cells,
  job: WaitingJob,
  isUsable: (target: string) => boolean = () => true,
): TaskCapacity {
  const capacity: TaskCapacity = {target: 0, rack: 0, domain: 0};
  for (const rack of cells.racks.values()) {
    let rackTasks = 0;
    for (const target of rack.targets) {
      if (target.permits(job.workspace) && isUsable(target.id)) {
        const tasks = countFitting(getCapacity(target.spec), job.gang.perTask);
        capacity.target = Math.max(capacity.target, tasks);
        rackTasks += tasks;
      }
    }
    capacity.rack = Math.max(capacity.rack, rackTasks);
    capacity.domain += rackTasks;
  }
  return capacity;
}

/**
 * Formats a gang, such as "16 tasks of 2 accelerators, 4 processors, 1024 MiB in
 * one rack".
 */
export function describeGang({gang}: Pick<WaitingJob, 'gang'>): string {
  const {tasks, perTask, adjacency} = gang;
  const demand = `${perTask.accelerators} accelerators, ${perTask.processors} processors, ${perTask.memoryMb} MiB`;
  return `${tasks} tasks of ${demand} in one ${adjacency}`;
}
