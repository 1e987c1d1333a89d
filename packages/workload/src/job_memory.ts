/** Heap that each instance takes for the jobs that it knows, and the limit of it. */
import type {JobSpec} from './job_spec.js';

/** Heap of a job without its payload and steps, and of a step, in bytes; measured on tables of 500 to 4,000 jobs. */
const BYTES_PER_JOB = 900;
const BYTES_PER_STEP = 250;

/** Share of the heap that jobs may take, besides the units of their tasks. */
const JOB_HEAP_SHARE = 0.2;

/** Share of the limit that the jobs of one workspace may take. */
const WORKSPACE_SHARE = 0.5;

/** Limits of the heap of jobs, in bytes. */
export interface JobMemoryLimit {
  /** All jobs that are open or can still be queried. */
  total: number;
  /** Those of one workspace. */
  perWorkspace: number;
}

/** Computes the limits of a process whose heap may grow to `heapBytes`. */
export function computeJobMemoryLimit(heapBytes: number): JobMemoryLimit {
  const total = Math.floor(heapBytes * JOB_HEAP_SHARE);
  return {total, perWorkspace: Math.floor(total * WORKSPACE_SHARE)};
}

/** Estimates the heap that a job takes in each instance, in bytes. */
export function estimateJobBytes({payload, steps}: JobSpec): number {
  return steps.reduce(
    (sum, {requiredLabel = '', dataRack = ''}) =>
      sum + BYTES_PER_STEP + requiredLabel.length + dataRack.length,
    BYTES_PER_JOB + payload.length,
  );
}
