/** Implements `galenavalve approve`. */
import {ExitCode} from '../exit_code.js';
import {renderJob} from '../output/job_text.js';
import type {CommandContext} from '../command_context.js';

/** Approves a job of a workspace that requires approval. */
export async function approve(
  {client, settings, output}: CommandContext,
  jobId: string,
): Promise<ExitCode> {
  output.printResult(await client.approve(jobId, settings.author), renderJob);
  return ExitCode.ok;
}
