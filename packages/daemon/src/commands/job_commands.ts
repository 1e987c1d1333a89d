/** Commands on an existing job: cancel and approve. */
import type {Job} from '@galenavalve/ledger';
import {createReason} from '@galenavalve/model';
import {findJob} from '../queries/job_queries.js';
import type {DaemonContext} from '../daemon_context.js';
import {appendCommand} from './append_command.js';

/** Requests the cancellation of a job. A queued job ends immediately; a finished job does not change. */
export async function cancelJob(
  context: DaemonContext,
  jobId: string,
  by: string,
): Promise<Job> {
  const job = findJob(context, jobId);
  if (job.phase !== 'finished' && !job.cancelRequested) {
    await appendCommand(context, jobId, {
      type: 'cancelled',
      jobId,
      reason: createReason('cancelled', {by}),
    });
  }
  return findJob(context, jobId);
}

/** Approves a job of a workspace that requires approval, so that it may start. */
export async function approveJob(
  context: DaemonContext,
  jobId: string,
  author: string,
): Promise<Job> {
  const job = findJob(context, jobId);
  if (job.phase === 'queued' && !job.approved) {
    await appendCommand(context, jobId, {type: 'approved', jobId, author});
  }
  return findJob(context, jobId);
}
