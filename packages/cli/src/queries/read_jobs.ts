/** Implements `galenavalve status`, `explain`, `list` and `plan`. */
import type {JobRequest} from '@galenavalve/model';
import type {JobFilter} from '../client/entry_client.js';
import {ExitCode} from '../exit_code.js';
import {
  renderExplanation,
  renderJob,
  renderJobs,
  renderPlan,
} from '../output/job_text.js';
import type {CommandContext} from '../command_context.js';

/** Prints a job. */
export async function showJob(
  {client, output}: CommandContext,
  jobId: string,
): Promise<ExitCode> {
  output.printResult(await client.readJob(jobId, 0), renderJob);
  return ExitCode.ok;
}

/** Prints a job with its history and the reason for which it waits. */
export async function explainJob(
  {client, output}: CommandContext,
  jobId: string,
): Promise<ExitCode> {
  output.printResult(await client.explain(jobId), renderExplanation);
  return ExitCode.ok;
}

/** Prints the jobs that match a filter. */
export async function listJobs(
  {client, output}: CommandContext,
  filter: JobFilter,
): Promise<ExitCode> {
  output.printResult(await client.listJobs(filter), renderJobs);
  return ExitCode.ok;
}

/**
 * Prints what would happen to a job if it were submitted now. Returns
 * `rejected` if it can never run.
 */
export async function planJob(
  {client, output}: CommandContext,
  request: JobRequest,
): Promise<ExitCode> {
  const plan = await client.plan(request);
  output.printResult(plan, renderPlan);
  return plan.verdict === 'never' ? ExitCode.rejected : ExitCode.ok;
}
