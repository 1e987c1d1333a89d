/** Checks that a job, with the open ones, fits into the memory of a leader. */
import {
  type JobMemoryLimit,
  type JobSpec,
  type JobTable,
  type OpenTaskLimit,
  countOpenTasks,
  estimateJobBytes,
} from '@galenavalve/workload';

/** Why a job does not fit. */
export type SizeProblem =
  /** It never will. */
  | {kind: 'invalid'; problem: string}
  /** It may once other jobs have ended. */
  | {kind: 'refused'; problem: string};

/** Describes why a job of a workspace does not fit; returns undefined if it does. */
export function findSizeProblem(
  spec: JobSpec,
  workspace: string,
  table: JobTable,
  {total, perWorkspace}: OpenTaskLimit,
  memoryLimit?: JobMemoryLimit,
): SizeProblem | undefined {
  const tasks = countOpenTasks(spec);
  if (tasks > perWorkspace) {
    const problem = `the job has up to ${tasks} open tasks, and at most ${perWorkspace} fit into memory`;
    return {kind: 'invalid', problem};
  }
  if (table.countOpenTasks(workspace) + tasks > perWorkspace) {
    const problem =
      'the open jobs of the workspace have as many tasks as it may have';
    return {kind: 'refused', problem};
  }
  if (table.countOpenTasks() + tasks > total) {
    const problem = 'the open jobs have as many tasks as fit into memory';
    return {kind: 'refused', problem};
  }
  return memoryLimit && findMemoryProblem(spec, workspace, table, memoryLimit);
}

function findMemoryProblem(
  spec: JobSpec,
  workspace: string,
  table: JobTable,
  {total, perWorkspace}: JobMemoryLimit,
): SizeProblem | undefined {
  const bytes = estimateJobBytes(spec);
  if (table.countJobBytes(workspace) + bytes > perWorkspace) {
    const problem =
      'the jobs of the workspace that are kept take as much memory as they may';
    return {kind: 'refused', problem};
  }
  if (table.countJobBytes() + bytes > total) {
    const problem = 'the jobs that are kept take as much memory as they may';
    return {kind: 'refused', problem};
  }
  return undefined;
}
