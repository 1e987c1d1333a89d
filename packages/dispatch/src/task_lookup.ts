/** Finds what the leader knows of a task by its name. */
import {type Demand, type JobTable, parseTaskName} from '@galenavalve/workload';
import {
  type ActiveJob,
  type ActiveUnit,
  computeAllocatedDemand,
} from './active_job.js';

/** Returns the unit of an active job that a task belongs to. */
export function findUnit(
  jobs: ReadonlyMap<string, ActiveJob>,
  task: string,
): ActiveUnit | undefined {
  const name = parseTaskName(task);
  const job = name && jobs.get(name.jobId);
  return job?.units.find(
    unit =>
      unit.occurrence === name!.occurrence &&
      unit.stepIndex === name!.step &&
      (unit.step.isGang || unit.unitIndex === name!.index),
  );
}

/** Returns what a task of any job, also of an ended one, deducts from the capacity of its target; undefined if the job is unknown. */
export function findDemand(table: JobTable, task: string): Demand | undefined {
  const name = parseTaskName(task);
  const step = name && table.find(name.jobId)?.job.spec.steps[name.step];
  return step && computeAllocatedDemand(step);
}
