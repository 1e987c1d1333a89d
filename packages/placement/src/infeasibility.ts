/** Finds jobs that can never run in a domain, and the constraint that makes them so. */
import {type Reason, createReason} from '@galenavalve/model';
import type {Cells} from './cells.js';
import type {WaitingJob} from './policy.js';
import {getCapacity, countFitting} from './target_cell.js';

/** Tasks of one demand that an empty domain can hold, at each level. */
export interface TaskCapacity {
  target: number;
  rack: number;
  domain: number;
}

/** The constraint that a job can never meet in the domain, or undefined. */
export function findUnmetConstraint(
  cells: Cells,
  job: WaitingJob,
): Reason | undefined {
  const {workspace: id, gang} = job;
  const workspace = cells.configuration.workspaces.get(id);
  if (!workspace) {
    return createReason('never-unknown-workspace', {workspace: id});
  }
  const permitted = workspace.permittedDomains;
  const holding = computeTaskCapacity(cells, job);
  if (holding.target === 0 || permitted?.includes(cells.domain) === false) {
    return createReason('never-permitted', {workspace: id});
  }
  if (holding[gang.adjacency] >= gang.tasks) {
    return undefined;
  }
  return createReason('never-size', {
    level: gang.adjacency,
    workspace: id,
    needed: describeGang(job),
    available: holding[gang.adjacency],
  });
}

/** Counts the tasks that fit when nothing else runs and every target is well. */
export function computeTaskCapacity(
  cells: Cells,
  job: WaitingJob,
  isUsable: (target: string) => boolean = () => true,
): TaskCapacity {
  const holding: TaskCapacity = {target: 0, rack: 0, domain: 0};
  for (const rack of cells.racks.values()) {
    let inRack = 0;
    for (const target of rack.targets) {
      if (target.permits(job.workspace) && isUsable(target.id)) {
        const tasks = countFitting(getCapacity(target.spec), job.gang.perTask);
        holding.target = Math.max(holding.target, tasks);
        inRack += tasks;
      }
    }
    holding.rack = Math.max(holding.rack, inRack);
    holding.domain += inRack;
  }
  return holding;
}

/** The gang in words, such as "16 tasks of 2 accelerators in one rack". */
export function describeGang({gang}: Pick<WaitingJob, 'gang'>): string {
  const {tasks, perTask, adjacency} = gang;
  const each = `${perTask.accelerators} accelerators, ${perTask.processors} processors, ${perTask.memoryMb} MiB`;
  return `${tasks} tasks of ${each} in one ${adjacency}`;
}
