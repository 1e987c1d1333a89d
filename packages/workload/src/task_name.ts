/** Names of tasks: job, occurrence, step and index. */

/** A task of a job. */
export interface TaskName {
  jobId: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Writes a task's name. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Reads a task's name; undefined when it is not one. */
export function parseTaskName(text: string): TaskName | undefined {
  const [jobId, ...rest] = text.split('.');
  const [occurrence, step, index] = rest.map(Number);
  const areNumbers = [occurrence, step, index].every(Number.isInteger);
  if (!jobId || rest.length !== 3 || !areNumbers) {
    return undefined;
  }
  return {jobId, occurrence: occurrence!, step: step!, index: index!};
}
