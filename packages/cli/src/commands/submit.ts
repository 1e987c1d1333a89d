/** `galenavalve submit`. */
import type {JobRequest, JobView} from '@galenavalve/model';
import {isFailure, type Milliseconds} from '@galenavalve/shared';
import {ExitCode, getJobExitCode} from '../exit_code.js';
import {describeState, renderJob} from '../output/job_text.js';
import type {CommandContext} from '../command_context.js';
import {followJob} from './follow_job.js';

/** Submits a job and waits for it up to `wait`. The exit code tells how it stands. */
export async function submit(
  session: CommandContext,
  request: JobRequest,
  wait: Milliseconds,
): Promise<ExitCode> {
  const {client, clock, output} = session;
  const deadline = clock.now() + wait;
  output.printProgress(`request ${request.requestId}`);
  const accepted = await submitOrTellHow(session, request);
  const job = await followJob(client, accepted, {
    clock,
    deadline,
    onChange: view => output.printProgress(describeProgress(view)),
  });
  output.printResult(job, renderJob);
  return wait > 0 || job.phase === 'finished'
    ? getJobExitCode(job)
    : ExitCode.ok;
}

async function submitOrTellHow(
  {client, output}: CommandContext,
  request: JobRequest,
): Promise<JobView> {
  try {
    // A wait would hide an instance that went silent; followJob waits instead.
    return await client.submit(request, 0);
  } catch (error) {
    if (isFailure(error, 'outcome-unknown')) {
      const {requestId, createdAt} = request;
      output.printProgress(
        `to ask again, add --request-id ${requestId} --created-at ${createdAt}`,
      );
    }
    throw error;
  }
}

function describeProgress(job: JobView): string {
  const reason = job.text ? `: ${job.text}` : '';
  return `job ${job.jobId} ${describeState(job)} in ${job.domain}${reason}`;
}
