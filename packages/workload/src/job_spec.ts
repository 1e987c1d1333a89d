/** Schema of a job as a caller specifies it: a list of steps, each a gang or a number of single tasks. */
import * as z from 'zod';

/** Maximum number of tasks in one step, beyond what the memory of any leader holds. */
export const MAX_STEP_TASKS = 65_536;

/** Maximum number of steps in a job; keeps a job's progress within one log record. */
export const MAX_STEPS = 64;

/** Maximum length of a payload; a limit of the platform. */
export const MAX_PAYLOAD_CHARS = 4000;

/** Resources that one task needs. */
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
  /** Caller's rough estimate of the duration of one task, in milliseconds. */
  estimateMs: z.number().nonnegative(),
  /** Indexes of earlier steps that must be done before this step starts. */
  dependsOn: z.array(z.number().int().nonnegative()),
  /** All tasks run together or not at all, and end together. */
  isGang: z.boolean(),
  /** Whether tasks that span racks are slower, by the rack factor. */
  isRackSensitive: z.boolean(),
  /** Whether the tasks write checkpoints from which a later run resumes. */
  savesProgress: z.boolean(),
  /** Label that a target must carry. */
  requiredLabel: z.string().optional(),
  /** Rack that holds the step's data. */
  dataRack: z.string().optional(),
  /** Maximum number of the step's tasks on one target. */
  maxPerTarget: z.number().int().positive().optional(),
  /** Whether the tasks run until the job is cancelled, and are restarted whatever the reason for their end. */
  isLongRunning: z.boolean(),
  /** Whether the step uses idle processor time only, which is not counted as allocated. */
  usesIdleCpu: z.boolean(),
  /** Maximum number of tasks of a long-running step that the system itself may have stopped at any one time. */
  maxUnavailable: z.number().int().nonnegative(),
});

/** Schedule on which a job's steps are repeated. */
export const scheduleSchema = z.object({
  /** Number of occurrences. */
  times: z.number().int().positive(),
  /** Unix time of the first occurrence, in milliseconds. */
  startAt: z.number().nonnegative(),
  /** Time between the starts of two occurrences. */
  intervalMs: z.number().nonnegative(),
});

/** A job as the caller specifies it. */
export const jobSpecSchema = z.object({
  payload: z.string().max(MAX_PAYLOAD_CHARS),
  steps: z.array(stepSchema).min(1).max(MAX_STEPS),
  schedule: scheduleSchema.optional(),
});

/** Resources that one task needs. */
export type Demand = z.infer<typeof demandSchema>;
/** One step of a job. */
export type Step = z.infer<typeof stepSchema>;
/** Schedule on which a job's steps are repeated. */
export type Schedule = z.infer<typeof scheduleSchema>;
/** A job as the caller specifies it. */
export type JobSpec = z.infer<typeof jobSpecSchema>;
