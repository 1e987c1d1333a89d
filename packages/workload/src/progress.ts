/**
 * Progress of a job. A step consists of units, whose tasks are placed together:
 * a gang is one unit, and a step of single tasks has one unit per task.
 */
import * as z from 'zod';
import type {JobSpec, Step} from './job_spec.js';

/** Outcome of a job; `active` until it ends. */
export const jobOutcomeSchema = z.enum([
  'active',
  'complete',
  'failed',
  'cancelled',
]);

/** Outcome of a job; `active` until it ends. */
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;

/** Crashes of targets on which runs of one member of a unit were. */
export interface CrashEvidence {
  /** Index of the member; 0 for a single task. */
  member: number;
  /** Number of crashes that the member may have caused at one and the same age of its runs. */
  count: number;
  /** Number of all crashes. */
  total: number;
  /** Lowest age of a run, in milliseconds, that is consistent with the counted crashes. */
  minAge: number;
  /** Highest age of a run, in milliseconds, that is consistent with the counted crashes. */
  maxAge: number;
  /** Incarnations whose crashes were counted, the newest ones last. */
  incarnations: string[];
}

/** One incarnation of a target, as the log names it. */
export interface TargetReference {
  /** Key of the incarnation: the target's id and its start time. */
  incarnation: string;
  /** Address at which it listens; empty in records that do not name it. */
  address: string;
}

/** The state of a unit that is stored in the log. */
export interface UnitProgress {
  /** Number of the latest run, which is recorded before the run is started; 0 before the first run. */
  run: number;
  /** Number of runs that failed. */
  failureCount: number;
  /** Latest run whose failure is included in `failureCount`. Prevents double counting, since targets list an end until it is acknowledged. */
  lastFailedRun: number;
  isDone: boolean;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Target of each member, while the run may still be active. */
  placedOn?: TargetReference[];
  /** Crashes under members that may have caused them; undefined if there are none. */
  crashes?: CrashEvidence[];
}

/** Progress of one occurrence of a job's steps: the units of each step. */
export interface Occurrence {
  index: number;
  steps: UnitProgress[][];
}

/** Progress of a job. */
export interface Progress {
  outcome: JobOutcome;
  /** Whether any task has been started. */
  hasBegun: boolean;
  /** Number of occurrences that have ended and are no longer in `occurrences`. */
  doneOccurrences: number;
  occurrences: Occurrence[];
  /** Wall-clock time of the end, in Unix milliseconds. */
  endedAt?: number;
}

/** Creates the progress of a newly accepted job. */
export function createProgress(spec: JobSpec): Progress {
  const isScheduled = spec.schedule !== undefined;
  return {
    outcome: 'active',
    hasBegun: false,
    doneOccurrences: 0,
    occurrences: isScheduled ? [] : [createOccurrence(spec, 0)],
  };
}

/** Creates the progress of an occurrence that has not started. */
export function createOccurrence(spec: JobSpec, index: number): Occurrence {
  return {index, steps: spec.steps.map(createUnits)};
}

/** Returns whether progress can be that of a job with the given steps. */
export function isProgressOf(spec: JobSpec, progress: Progress): boolean {
  const isUnit = (step: Step, {placedOn = []}: UnitProgress) =>
    placedOn.length <= (step.isGang ? step.count : 1);
  return progress.occurrences.every(
    ({index, steps}) =>
      index < countOccurrences(spec) &&
      steps.length === spec.steps.length &&
      spec.steps.every((step, position) => {
        const units = steps[position]!;
        const count = step.isGang ? 1 : step.count;
        return (
          units.length === count && units.every(unit => isUnit(step, unit))
        );
      }),
  );
}

/** Returns whether every unit of a step is done. */
export function isStepDone(units: readonly UnitProgress[]): boolean {
  return units.every(unit => unit.isDone);
}

/** Returns whether the steps on which `step` depends are done. */
export function isStepReady(step: Step, occurrence: Occurrence): boolean {
  return step.dependsOn.every(other =>
    isStepDone(occurrence.steps[other] ?? []),
  );
}

/** Returns how many times the steps of a job run. */
export function countOccurrences(spec: JobSpec): number {
  return spec.schedule?.times ?? 1;
}

function createUnits(step: Step): UnitProgress[] {
  const count = step.isGang ? 1 : step.count;
  return Array.from({length: count}, () => ({
    run: 0,
    failureCount: 0,
    lastFailedRun: 0,
    isDone: false,
    checkpoint: '',
  }));
}
