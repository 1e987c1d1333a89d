/** Jobs as callers submit them. */
import {z} from 'zod';

/** Largest JSON body of a job request, in bytes. */
export const MAX_REQUEST_BYTES = 65_536;

/** Largest recorded result of a job, in bytes of JSON. */
export const MAX_RESULT_BYTES = 65_536;

/** Largest number of tasks in a gang. */
export const MAX_GANG_TASKS = 512;

/** Names of workspaces, targets, racks and failure domains. */
export const resourceName = z
  .string()
  .min(1)
  .max(100)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, 'must be letters, digits, . _ or -');

/** How close together the tasks of a gang must be: all within one cell of this level. */
export const adjacency = z.enum(['target', 'rack', 'domain']);
export type Adjacency = z.infer<typeof adjacency>;

/** What one task of a gang needs, all of it on one target. */
export const taskDemand = z.strictObject({
  /** Whole accelerators; 0 for a task that needs none. */
  accelerators: z.int().min(0).max(16),
  /** Processor cores. */
  processors: z.number().min(0).max(1024).default(1),
  /** Memory in mebibytes. */
  memoryMb: z.number().min(0).max(4_194_304).default(256),
});
export type TaskDemand = z.infer<typeof taskDemand>;

/** The shape of a gang: equal tasks that run together or not at all. */
export const gangShape = z.strictObject({
  tasks: z.int().min(1).max(MAX_GANG_TASKS),
  perTask: taskDemand,
  adjacency: adjacency.default('domain'),
});
export type GangShape = z.infer<typeof gangShape>;

/** A job as a caller submits it. */
export const jobRequest = z.strictObject({
  /** The caller's idempotency key. */
  requestId: z.string().min(1).max(128),
  workspace: resourceName,
  gang: gangShape,
  /** The caller's own estimate of the run time, in seconds. */
  expectedSeconds: z.number().positive().max(31_536_000),
  /** False when a second run would do harm; the job is then started at most once. */
  repeatable: z.boolean().default(true),
  /** Urgent jobs start before all others of their class. */
  urgent: z.boolean().default(false),
  /** True when the tasks can save their progress on request. */
  checkpointable: z.boolean().default(false),
  /** Jobs of one kind have similar run times; estimates are corrected per workspace and kind. */
  kind: resourceName.default('default'),
  /** When the caller made the request, in milliseconds since the Unix epoch. */
  createdAt: z.int().nonnegative(),
  /** Handed to every task as it is. */
  payload: z.record(z.string(), z.json()).default({}),
});
export type JobRequest = z.infer<typeof jobRequest>;

/** How a job ended. */
export const outcome = z.enum([
  'succeeded',
  'failed',
  'cancelled',
  /** It may have run in part, cannot be repeated, and will not run again. */
  'lost',
  /** It was ended without having run. */
  'not-run',
]);
export type Outcome = z.infer<typeof outcome>;

/** Where a job is in its life. */
export const jobPhase = z.enum(['queued', 'placed', 'running', 'finished']);
export type JobPhase = z.infer<typeof jobPhase>;

/** The part of a gang that runs on one target. */
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
