/**
 * How far a job is. A step is made of units that run as one: a gang is one
 * unit, a step of single tasks has one unit a task.
 */
import * as z from 'zod';
import type {JobSpec, Step} from './job_spec.js';

/** What became of a job. */
export const jobOutcomeSchema = z.enum([
  'active',
  'complete',
  'failed',
  'cancelled',
]);

export type JobOutcome = z.infer<typeof jobOutcomeSchema>;

/** The durable part of a unit. */
export interface UnitProgress {
  /** Number of the last run that was recorded before it was started; 0 before the first. */
  run: number;
  /** Runs that ended as failed. */
  failureCount: number;
  /** The last run whose failure is counted in `failureCount`: ends are listed until they are acknowledged. */
  lastFailedRun: number;
  isDone: boolean;
  /** Newest checkpoint; empty when there is none. */
  checkpoint: string;
  /** Target life of each member while the run may be alive. */
  placedOn?: string[];
}

/** Progress of one occurrence: units by step. */
export interface Occurrence {
  index: number;
  steps: UnitProgress[][];
}

/** How far a job is. */
export interface Progress {
  outcome: JobOutcome;
  /** Whether a task was ever started. */
  hasBegun: boolean;
  /** Occurrences that have all ended; they are no longer listed. */
  doneOccurrences: number;
  occurrences: Occurrence[];
  /** Wall-clock time of the end, in Unix milliseconds. */
  endedAt?: number;
}

/** Progress of a job that was just accepted. */
export function createProgress(spec: JobSpec): Progress {
  const isScheduled = spec.schedule !== undefined;
  return {
    outcome: 'active',
    hasBegun: false,
    doneOccurrences: 0,
    occurrences: isScheduled ? [] : [createOccurrence(spec, 0)],
  };
}

/** Progress of an occurrence that has not begun. */
export function createOccurrence(spec: JobSpec, index: number): Occurrence {
  return {index, steps: spec.steps.map(createUnits)};
}

/** Whether every unit of a step is done. */
export function isStepDone(units: readonly UnitProgress[]): boolean {
  return units.every(unit => unit.isDone);
}

/** Whether the steps that `step` depends on are done. */
export function isStepReady(step: Step, occurrence: Occurrence): boolean {
  return step.dependsOn.every(other =>
    isStepDone(occurrence.steps[other] ?? []),
  );
}

/** How many times the steps of a job run. */
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
