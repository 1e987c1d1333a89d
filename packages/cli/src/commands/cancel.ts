/** Implements `galenavalve cancel`. */
import type {JobView} from '@galenavalve/model';
import {ExitCode, getExitCode} from '../exit_code.js';
import {renderJobs} from '../output/job_text.js';
import type {CommandContext} from '../command_context.js';

/**
 * Cancels each job, also when another one cannot be cancelled. Returns the exit
 * code of the last failure.
 */
export async function cancel(
  {client, output}: CommandContext,
  jobIds: readonly string[],
): Promise<ExitCode> {
  const jobs: JobView[] = [];
  let exitCode: ExitCode = ExitCode.ok;
  for (const jobId of jobIds) {
    try {
      jobs.push(await client.cancel(jobId));
    } catch (error) {
      output.printError(error);
      exitCode = getExitCode(error);
    }
  }
  if (jobs.length > 0) {
    output.printResult(jobs, renderJobs);
  }
  return exitCode;
}
