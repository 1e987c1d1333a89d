/** Limit of open tasks: work that the system accepts must fit into the memory of every later leader. */

/** Heap of a leader per running task, in bytes: its records, its unit and its allocation; see the capacity page. */
const BYTES_PER_OPEN_TASK = 1600;

/** Share of the heap that open tasks may take; the rest is for the program, jobs, targets, listings and batches in progress. */
const OPEN_TASK_HEAP_SHARE = 0.32;

/** Share of the limit that one workspace may take, so that it cannot keep others from submitting. */
const WORKSPACE_SHARE = 0.5;

/** Limits of open tasks. */
export interface OpenTaskLimit {
  /** Tasks of all open jobs. */
  total: number;
  /** Tasks of the open jobs of one workspace. */
  perWorkspace: number;
}

/** Computes the limits of a process whose heap may grow to `heapBytes`. */
export function computeOpenTaskLimit(heapBytes: number): OpenTaskLimit {
  const total = Math.floor(
    (heapBytes * OPEN_TASK_HEAP_SHARE) / BYTES_PER_OPEN_TASK,
  );
  return {total, perWorkspace: Math.floor(total * WORKSPACE_SHARE)};
}
