/** Size of a job: how many of its tasks instances keep in memory, and the limit that its progress record sets. */
import {type JobSpec, MAX_STEP_TASKS} from './job_spec.js';

/** Maximum number of tasks in all steps of a job; the limit of open tasks, which depends on the heap, is lower. */
export const MAX_JOB_TASKS = MAX_STEP_TASKS;

/**
 * Number of tasks up to which further occurrences of a schedule are added. A
 * schedule may have any number of occurrences due at once.
 */
const MAX_SCHEDULE_TASKS = 4096;

/** Number of occurrences that may be open whatever their number of tasks, and the limit of open ones. */
const MIN_OPEN_OCCURRENCES = 16;
const MAX_OPEN_OCCURRENCES = 256;

/** Returns the number of tasks in all steps of one occurrence. */
export function countTasks({steps}: JobSpec): number {
  return steps.reduce((sum, {count}) => sum + count, 0);
}

/** Returns how many occurrences of the job may be open at a time. */
export function computeMaxOpenOccurrences(spec: JobSpec): number {
  return Math.min(
    MAX_OPEN_OCCURRENCES,
    Math.max(
      MIN_OPEN_OCCURRENCES,
      Math.floor(MAX_SCHEDULE_TASKS / countTasks(spec)),
    ),
  );
}

/** Returns the largest number of tasks of the job that may be open at a time. */
export function countOpenTasks(spec: JobSpec): number {
  const times = spec.schedule?.times ?? 1;
  return countTasks(spec) * Math.min(times, computeMaxOpenOccurrences(spec));
}
