/** Checks of a job that the schema cannot express. */
import {MAX_JOB_TASKS, countTasks} from './job_size.js';
import type {JobSpec} from './job_spec.js';

/** Describes the first error in a job that the schema cannot detect; returns undefined if there is none. */
export function findSpecProblem(spec: JobSpec): string | undefined {
  const tasks = countTasks(spec);
  if (tasks > MAX_JOB_TASKS) {
    return `the job has ${tasks} tasks, and at most ${MAX_JOB_TASKS} are allowed; split it into several jobs`;
  }
  for (const [index, step] of spec.steps.entries()) {
    const invalid = step.dependsOn.find(other => other >= index);
    if (invalid !== undefined) {
      return `step ${index} depends on step ${invalid}, which is not an earlier step`;
    }
  }
  return undefined;
}
