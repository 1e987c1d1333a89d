/** What a caller asks for: a job of steps, each a gang or a number of single tasks. */
import * as z from 'zod';

/** Most tasks of one step; the widest gang that the two-year target names is 512. */
export const MAX_STEP_TASKS = 4096;

/** Most steps of a job; keeps a job's progress within one log record. */
export const MAX_STEPS = 64;

/** Longest payload, in characters; the platform's pages give the figure. */
export const MAX_PAYLOAD_CHARS = 4000;

/** Room that one task takes. */
export const demandSchema = z.object({
  /** Thousandths of a core. */
  cpu: z.number().int().nonnegative(),
  memoryMb: z.number().int().nonnegative(),
  accelerators: z.number().int().nonnegative(),
});

/** One step of a job. */
export const stepSchema = z.object({
  count: z.number().int().min(1).max(MAX_STEP_TASKS),
  demand: demandSchema,
  /** The caller's rough estimate of a task's duration, in milliseconds. */
  estimateMs: z.number().nonnegative(),
  /** Earlier steps whose tasks must all be done first. */
  dependsOn: z.array(z.number().int().nonnegative()),
  /** All tasks run together or not at all, and end together. */
  isGang: z.boolean(),
  /** The tasks are slower by the rack factor when they span racks. */
  isRackSensitive: z.boolean(),
  /** The tasks write checkpoints that a later run resumes from. */
  savesProgress: z.boolean(),
  /** Label that a target must carry. */
  requiredLabel: z.string().optional(),
  /** Rack that holds the step's data. */
  dataRack: z.string().optional(),
  /** Most tasks of the step on one target. */
  maxPerTarget: z.number().int().positive().optional(),
  /** Tasks run until the job is cancelled and are started again however they end. */
  isLongRunning: z.boolean(),
  /** The step takes processor time that others leave idle and is not counted against it. */
  usesIdleCpu: z.boolean(),
  /** Tasks of a long-running step that may be away at once by the system's own acts. */
  maxUnavailable: z.number().int().nonnegative(),
});

/** Repetition of a job's steps. */
export const scheduleSchema = z.object({
  times: z.number().int().positive(),
  /** Unix time of the first occurrence, in milliseconds. */
  startAt: z.number().nonnegative(),
  intervalMs: z.number().nonnegative(),
});

/** A job as the caller asked for it. */
export const jobSpecSchema = z.object({
  payload: z.string().max(MAX_PAYLOAD_CHARS),
  steps: z.array(stepSchema).min(1).max(MAX_STEPS),
  schedule: scheduleSchema.optional(),
});

export type Demand = z.infer<typeof demandSchema>;
export type Step = z.infer<typeof stepSchema>;
export type Schedule = z.infer<typeof scheduleSchema>;
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Names the first fault of a job that the schema cannot express, if there is one. */
export function findSpecProblem(spec: JobSpec): string | undefined {
  for (const [index, step] of spec.steps.entries()) {
    const wrong = step.dependsOn.find(other => other >= index);
    if (wrong !== undefined) {
      return `step ${index} depends on step ${wrong}, which is not an earlier step`;
    }
  }
  return undefined;
}
