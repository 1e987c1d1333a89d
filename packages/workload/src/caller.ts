/** Which jobs a caller may see and cancel. */
import type {AcceptedJob} from './accepted_job.js';

/** A caller, by what its request was admitted with. */
export interface Caller {
  /** Name of the queue of the request. */
  queue: string;
  /** Workspace of the caller's key; undefined on a public queue. */
  workspace?: string;
}

/**
 * Whether a caller may see and cancel a job. A job belongs to the workspace that
 * submitted it; one that was submitted without a key belongs to its queue.
 */
export function mayAccess(
  {queue, workspace}: Caller,
  job: Pick<AcceptedJob, 'queue' | 'workspace'>,
): boolean {
  return job.workspace === ''
    ? job.queue === queue
    : job.workspace === workspace;
}
