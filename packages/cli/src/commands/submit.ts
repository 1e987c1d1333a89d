/** Implements `galenavalve submit`. */
import type {JobRequest, JobView} from '@galenavalve/model';
import {isFailure, type Milliseconds} from '@galenavalve/shared';
import {ExitCode, getJobExitCode} from '../exit_code.js';
import {describeState, renderJob} from '../output/job_text.js';
import type {CommandContext} from '../command_context.js';
import {followJob} from './follow_job.js';

/**
 * Submits a job and waits up to `waitMs` until it finishes. Returns the exit
 * code of its state.
 */
export async function submit(
  context: CommandContext,
  request: JobRequest,
  waitMs: Milliseconds,
): Promise<ExitCode> {
  const {client, clock, output} = context;
  const deadline = clock.now() + waitMs;
  output.printProgress(`request ${request.requestId}`);
  const accepted = await submitOrPrintRetryHint(context, request);
  const job = await followJob(client, accepted, {
    clock,
    deadline,
    onChange: view => output.printProgress(describeProgress(view)),
  });
  output.printResult(job, renderJob);
  return waitMs > 0 || job.phase === 'finished'
    ? getJobExitCode(job)
    : ExitCode.ok;
}

async function submitOrPrintRetryHint(
  {client, output}: CommandContext,
  request: JobRequest,
): Promise<JobView> {
  try {
    // A wait would delay the detection of an unresponsive instance; followJob waits instead.
    return await client.submit(request, 0);
  } catch (error) {
    if (isFailure(error, 'outcome-unknown')) {
      const {requestId, createdAt} = request;
      output.printProgress(
        `to retry, add --request-id ${requestId} --created-at ${createdAt}`,
      );
    }
    throw error;
  }
}

function describeProgress(job: JobView): string {
  const reason = job.text ? `: ${job.text}` : '';
  return `job ${job.jobId} ${describeState(job)} in ${job.domain}${reason}`;
}
