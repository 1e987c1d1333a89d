/** Schema of an accepted job, which includes the terms of its queue at the time of acceptance. */
import * as z from 'zod';
import {jobSpecSchema} from './job_spec.js';

/** Terms of a queue: the settings that apply to its jobs. */
export const queueTermsSchema = z.object({
  /** Name of the pool of targets that runs the queue's tasks. */
  pool: z.string(),
  /** Priority of the queue's jobs; 0 is the highest and may preempt others. */
  priority: z.number().int().nonnegative(),
  /** Number of failed runs of one task after which the job fails. */
  maxAttempts: z.number().int().positive(),
  /** A job is on time if it ends within this multiple of its critical path (its longest chain of dependent work), plus `latencyMs`. */
  stretch: z.number().positive(),
  /** Time in milliseconds that is added to the stretched critical path. */
  latencyMs: z.number().nonnegative(),
  /** Whether only an advisor can tell which targets may run the queue's tasks. */
  needsAdvice: z.boolean().optional(),
});

/** Value of the record that creates a job. */
export const acceptedJobSchema = z.object({
  queue: z.string(),
  workspace: z.string(),
  /** Wall-clock time of the accepting instance, in Unix milliseconds. */
  acceptedAt: z.number(),
  terms: queueTermsSchema,
  spec: jobSpecSchema,
});

/** Settings that apply to the jobs of a queue. */
export type QueueTerms = z.infer<typeof queueTermsSchema>;
/** A job as the log stores it on acceptance. */
export type AcceptedJob = z.infer<typeof acceptedJobSchema>;
