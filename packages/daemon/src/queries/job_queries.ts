/** Queries for jobs. */
import {type Job, readResults} from '@galenavalve/ledger';
import {
  type ExplanationView,
  type HistoryEntry,
  type JobPhase,
  type JobView,
  type Reason,
  createReason,
  describeReason,
  reason as reasonSchema,
} from '@galenavalve/model';
import {Failure, hashValue} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {WAIT_REASON_METHOD} from '../roles/peer_handlers.js';

const WAIT_REASON_TIMEOUT_MS = 1_000;

/** Filter of `listJobs`. */
export interface JobFilter {
  workspace?: string;
  phase?: JobPhase;
  limit: number;
}

/** Returns the job with the given job id or request id. Throws `not-found`. */
export function findJob(context: DaemonContext, jobId: string): Job {
  const job =
    context.state.getJob(jobId) ?? context.state.getJobByRequest(jobId);
  if (!job) {
    throw new Failure('not-found', {kind: 'job', id: jobId});
  }
  return job;
}

/**
 * Returns a job with its results. Results that are no longer in memory are read
 * from the log. Throws `internal` when they do not match their hash.
 */
export async function viewJob(
  context: DaemonContext,
  job: Job,
): Promise<JobView> {
  const timeoutMs = context.settings.timings.platformTimeoutMs;
  const results = await readResults(context.log, job, timeoutMs);
  if (results && job.resultHash !== hashValue(results)) {
    throw new Failure('internal', {
      problem: `the results of ${job.jobId} do not match their hash`,
    });
  }
  return {...summarizeJob(job), results, resultHash: job.resultHash};
}

/** Returns a job without its results. */
export function summarizeJob(job: Job): JobView {
  return {
    jobId: job.jobId,
    requestId: job.request.requestId,
    workspace: job.request.workspace,
    domain: job.domain,
    phase: job.phase,
    urgent: job.request.urgent,
    attempts: job.attempts,
    submittedAt: job.submittedAt,
    startedAt: job.startedAt,
    finishedAt: job.finishedAt,
    outcome: job.outcome,
    cancelRequested: job.cancelRequested,
    reason: job.lastReason,
    text: job.lastReason && describeReason(job.lastReason),
  };
}

/** Returns the matching jobs without their results, newest first. */
export function listJobs(context: DaemonContext, filter: JobFilter): JobView[] {
  const matchingJobs: Job[] = [];
  for (const job of iterateJobs(context)) {
    const isMatch =
      (!filter.workspace || job.request.workspace === filter.workspace) &&
      (!filter.phase || job.phase === filter.phase);
    if (isMatch) {
      matchingJobs.push(job);
    }
  }
  matchingJobs.sort((a, b) => b.submittedOffset - a.submittedOffset);
  return matchingJobs.slice(0, filter.limit).map(summarizeJob);
}

function* iterateJobs(context: DaemonContext): Iterable<Job> {
  for (const domain of context.state.configuration.domains.keys()) {
    yield* context.state.listUnfinishedJobs(domain);
  }
  yield* context.state.listFinishedJobs();
}

/** Returns a job with its history and, if it is queued, the reason why it waits. */
export async function explainJob(
  context: DaemonContext,
  jobId: string,
): Promise<ExplanationView> {
  const job = findJob(context, jobId);
  const waitingFor =
    job.phase === 'queued' ? await findWaitReason(context, job) : undefined;
  return {
    ...(await viewJob(context, job)),
    request: job.request,
    assignments: [...job.assignments],
    history: job.history.map(addReasonText),
    waitingFor,
    waitingText: waitingFor && describeReason(waitingFor),
  };
}

/** Returns the reason why a queued job waits, from the scheduler of its domain. */
async function findWaitReason(
  context: DaemonContext,
  job: Job,
): Promise<Reason> {
  const scheduler = context.state.getSchedulerTerm(job.domain)?.instance;
  const noScheduler = createReason('waiting-scheduler', {domain: job.domain});
  if (!scheduler) {
    return noScheduler;
  }
  if (scheduler === context.settings.instance) {
    return context.scheduler.getWaitReason(job.jobId) ?? createPendingReason();
  }
  try {
    const response = await context.mesh.call(
      scheduler,
      WAIT_REASON_METHOD,
      {jobId: job.jobId},
      WAIT_REASON_TIMEOUT_MS,
    );
    const parsed = reasonSchema.safeParse(response);
    return parsed.success ? parsed.data : createPendingReason();
  } catch {
    return noScheduler;
  }
}

/** Creates the reason of a job that no pass over the queue has considered yet. */
function createPendingReason(): Reason {
  return createReason('waiting-order', {ahead: 0});
}

function addReasonText(entry: HistoryEntry): HistoryEntry {
  return {...entry, text: entry.reason && describeReason(entry.reason)};
}
