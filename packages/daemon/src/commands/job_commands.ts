/** Commands on a job that exists: cancel and approve. */
import type {Job} from '@galenavalve/ledger';
import {createReason} from '@galenavalve/model';
import {findJob} from '../queries/job_queries.js';
import type {Node} from '../node.js';
import {appendCommand} from './append_command.js';

/** Asks for the end of a job. A queued one ends at once; one that has ended stays as it is. */
export async function cancelJob(
  node: Node,
  jobId: string,
  by: string,
): Promise<Job> {
  const job = findJob(node, jobId);
  if (job.phase !== 'finished' && !job.cancelRequested) {
    await appendCommand(node, jobId, {
      type: 'cancelled',
      jobId,
      reason: createReason('cancelled', {by}),
    });
  }
  return findJob(node, jobId);
}

/** Lets a job of a workspace with approval start. */
export async function approveJob(
  node: Node,
  jobId: string,
  author: string,
): Promise<Job> {
  const job = findJob(node, jobId);
  if (job.phase === 'queued' && !job.approved) {
    await appendCommand(node, jobId, {type: 'approved', jobId, author});
  }
  return findJob(node, jobId);
}
