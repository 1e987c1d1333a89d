/** Formats and parses names of tasks, which consist of job id, occurrence, step and index. */

/** Parts of a task's name; the numbers count from 0. */
export interface TaskName {
  jobId: string;
  occurrence: number;
  step: number;
  index: number;
}

/** Formats a task's name as `jobId.occurrence.step.index`. */
export function formatTaskName(name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`;
}

/** Parses a task's name; returns undefined for any other text. */
export function parseTaskName(text: string): TaskName | undefined {
  const [jobId, ...rest] = text.split('.');
  const [occurrence, step, index] = rest.map(Number);
  const areIntegers = [occurrence, step, index].every(Number.isInteger);
  if (!jobId || rest.length !== 3 || !areIntegers) {
    return undefined;
  }
  return {jobId, occurrence: occurrence!, step: step!, index: index!};
}
