/** A job that was accepted, with the terms of its queue at that time. */
import * as z from 'zod';
import {jobSpecSchema} from './job_spec.js';

/** How a queue's jobs are treated. */
export const queueTermsSchema = z.object({
  /** Pool of targets that runs the queue's tasks. */
  pool: z.string(),
  /** 0 comes first and may preempt others. */
  priority: z.number().int().nonnegative(),
  /** Failed runs of a task after which its job has failed. */
  maxAttempts: z.number().int().positive(),
  /** A job is on time within this many times its longest chain of work. */
  stretch: z.number().positive(),
  /** Added to the stretched chain, in milliseconds. */
  latencyMs: z.number().nonnegative(),
  /** Only an advisor knows which targets may run the queue's tasks. */
  needsAdvice: z.boolean().optional(),
});

/** The record that makes a job exist. */
export const acceptedJobSchema = z.object({
  queue: z.string(),
  workspace: z.string(),
  /** Wall-clock time of the accepting instance, in Unix milliseconds. */
  acceptedAt: z.number(),
  terms: queueTermsSchema,
  spec: jobSpecSchema,
});

export type QueueTerms = z.infer<typeof queueTermsSchema>;
export type AcceptedJob = z.infer<typeof acceptedJobSchema>;
