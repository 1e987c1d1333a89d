/** Schemas of jobs and of their parts. */
import {z} from 'zod';

/** Maximum size of the JSON body of a job request. */
export const MAX_REQUEST_BYTES = 65_536;

/** Maximum size of a job's recorded result as JSON. */
export const MAX_RESULT_BYTES = 65_536;

/** Maximum number of tasks in a gang. */
export const MAX_GANG_TASKS = 512;

/** Name of a workspace, target, rack or failure domain. */
export const resourceName = z
  .string()
  .min(1)
  .max(100)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must be letters, digits, . _ or -');

/** Required proximity of a gang's tasks: all in one cell of this level. */
export const adjacency = z.enum(['target', 'rack', 'domain']);
export type Adjacency = z.infer<typeof adjacency>;

/** Resources that one task of a gang needs on one target. */
export const taskDemand = z.strictObject({
  /** Number of whole accelerators. */
  accelerators: z.int().min(0).max(16),
  /** Processor cores. */
  processors: z.number().min(0).max(1024).default(1),
  /** Memory in mebibytes. */
  memoryMb: z.number().min(0).max(4_194_304).default(256),
});
export type TaskDemand = z.infer<typeof taskDemand>;

/** Shape of a gang: equal tasks that run together or not at all. */
export const gangShape = z.strictObject({
  tasks: z.int().min(1).max(MAX_GANG_TASKS),
  perTask: taskDemand,
  adjacency: adjacency.default('domain'),
});
export type GangShape = z.infer<typeof gangShape>;

/** Job as a caller submits it. */
export const jobRequest = z.strictObject({
  /** Idempotency key, chosen by the caller. */
  requestId: z.string().min(1).max(128),
  workspace: resourceName,
  gang: gangShape,
  /** The caller's estimate of the run time in seconds. */
  expectedSeconds: z.number().positive().max(31_536_000),
  /** False when a second run is harmful; the job is then started at most once. */
  repeatable: z.boolean().default(true),
  /** Whether the job starts before all jobs of its class that are not urgent. */
  urgent: z.boolean().default(false),
  /** Whether the tasks can save their progress on request. */
  checkpointable: z.boolean().default(false),
  /** Kind of the job. Jobs of one kind have similar run times; estimates are corrected per workspace and kind. */
  kind: resourceName.default('default'),
  /** Wall-clock time at which the caller created the request, in milliseconds since the Unix epoch. */
  createdAt: z.int().nonnegative(),
  /** Payload that is passed to every task unchanged. */
  payload: z.record(z.string(), z.json()).default({}),
});
export type JobRequest = z.infer<typeof jobRequest>;

/** Outcome of a job. */
export const outcome = z.enum([
  'succeeded',
  'failed',
  'cancelled',
  /** The job may have run in part, is not repeatable, and does not run again. */
  'lost',
  /** The job ended without having run. */
  'not-run',
]);
export type Outcome = z.infer<typeof outcome>;

/** Phase of a job. */
export const jobPhase = z.enum(['queued', 'placed', 'running', 'finished']);
export type JobPhase = z.infer<typeof jobPhase>;

/** Part of a gang that runs on one target. */
export const assignment = z.strictObject({
  target: resourceName,
  /** Index of the first task of the gang on this target. */
  firstTask: z.int().nonnegative(),
  /** Number of consecutive tasks on this target. */
  tasks: z.int().positive(),
  /** Bit mask of the accelerators that the tasks use; bit 0 is the first accelerator. */
  accelerators: z.int().nonnegative(),
});
export type Assignment = z.infer<typeof assignment>;
