/** What an observer outside the cluster sees of it at one moment. */
import type {TargetInfo} from '@galenavalve/dispatch';
import type {Instant} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type Demand,
  type Step,
  countOccurrences,
  formatTaskName,
} from '@galenavalve/workload';

/** A target that is up, as it is, whatever the registry says of it. */
export interface ObservedTarget {
  info: TargetInfo;
  /** Whether instances can reach it, and neither it drains nor its failure domain is evacuated. */
  isOpen: boolean;
  /** Names of the tasks that run on it. */
  tasks: readonly string[];
}

/** An accepted job that was neither cancelled nor shown as ended. */
export interface ObservedJob {
  id: string;
  job: AcceptedJob;
  /** Time until which a run of it may have been lost in a crash that no instance can know of. */
  mayBeLostUntil: Instant;
  /** State of its units as an instance knows it, for reports. */
  describe: () => string;
}

/** All that the check of idle jobs needs to see. */
export interface ClusterView {
  jobs: readonly ObservedJob[];
  targets: readonly ObservedTarget[];
  /** Whether a task has succeeded at a target. */
  isDone: (task: string) => boolean;
  /** Finds the step of a task of any job. */
  findStep: (task: string) => Step | undefined;
  /** Wall-clock time in Unix milliseconds. */
  wallTime: number;
}

/** A task, or a gang, of which the turn has come: its time is due and the steps before it are done. */
export interface DueUnit {
  /** Name of the task, or of the first member of the gang. */
  task: string;
  step: Step;
  /** Number of tasks that start together. */
  members: number;
}

/** Limit of occurrences that are looked at; a schedule may have any number of times due at once. */
const MAX_OCCURRENCES = 500;

/** Lists the units of a job of which the turn has come and that are not done. */
export function listDueUnits(
  {id, job}: Pick<ObservedJob, 'id' | 'job'>,
  {isDone, wallTime}: Pick<ClusterView, 'isDone' | 'wallTime'>,
): DueUnit[] {
  const {steps, schedule} = job.spec;
  const units: DueUnit[] = [];
  const count = Math.min(countOccurrences(job.spec), MAX_OCCURRENCES);
  for (let occurrence = 0; occurrence < count; occurrence++) {
    const {startAt = 0, intervalMs = 0} = schedule ?? {};
    if (schedule && wallTime < startAt + occurrence * intervalMs) {
      break;
    }
    const name = (step: number, index: number) =>
      formatTaskName({jobId: id, occurrence, step, index});
    const isStepDone = (step: number) =>
      Array.from({length: steps[step]!.count}, (_, index) =>
        isDone(name(step, index)),
      ).every(Boolean);
    for (const [index, step] of steps.entries()) {
      if (!step.dependsOn.every(isStepDone)) {
        continue;
      }
      const count = step.isGang ? 1 : step.count;
      for (let unit = 0; unit < count; unit++) {
        if (step.isLongRunning || !isDone(name(index, unit))) {
          const members = step.isGang ? step.count : 1;
          units.push({task: name(index, unit), step, members});
        }
      }
    }
  }
  return units;
}

/** Returns the capacity of a target that no task uses. */
export function computeFreeCapacity(
  {info, tasks}: ObservedTarget,
  findStep: ClusterView['findStep'],
): Demand {
  const free = {...info.capacity};
  for (const task of tasks) {
    const step = findStep(task);
    free.cpu -= step?.usesIdleCpu ? 0 : (step?.demand.cpu ?? 0);
    free.memoryMb -= step?.demand.memoryMb ?? 0;
    free.accelerators -= step?.demand.accelerators ?? 0;
  }
  return free;
}
