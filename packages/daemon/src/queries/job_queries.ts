/** Questions about jobs. */
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

const PEER_TIMEOUT_MS = 1_000;

/** Filter of a list of jobs. */
export interface JobFilter {
  workspace?: string;
  phase?: JobPhase;
  limit: number;
}

/** The job, or `not-found`. */
export function findJob(context: DaemonContext, jobId: string): Job {
  const job =
    context.state.getJob(jobId) ?? context.state.getJobByRequest(jobId);
  if (!job) {
    throw new Failure('not-found', {kind: 'job', id: jobId});
  }
  return job;
}

/**
 * The job as its caller sees it, with its whole answer. Results that memory has
 * dropped are read back from the log. Throws `internal` when they are damaged.
 */
export async function viewJob(
  context: DaemonContext,
  job: Job,
): Promise<JobView> {
  const timeout = context.settings.timings.platformTimeoutMs;
  const results = await readResults(context.log, job, timeout);
  if (results && job.resultHash !== hashValue(results)) {
    throw new Failure('internal', {
      problem: `the results of ${job.jobId} do not match their hash`,
    });
  }
  return {...summarizeJob(job), results, resultHash: job.resultHash};
}

/** The job without its results. */
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

/** Jobs that match, newest first, without their results. */
export function listJobs(context: DaemonContext, filter: JobFilter): JobView[] {
  const found: Job[] = [];
  for (const job of allJobs(context)) {
    const matches =
      (!filter.workspace || job.request.workspace === filter.workspace) &&
      (!filter.phase || job.phase === filter.phase);
    if (matches) {
      found.push(job);
    }
  }
  found.sort((a, b) => b.submittedOffset - a.submittedOffset);
  return found.slice(0, filter.limit).map(summarizeJob);
}

function* allJobs(context: DaemonContext): Iterable<Job> {
  for (const domain of context.state.configuration.domains.keys()) {
    yield* context.state.listUnfinishedJobs(domain);
  }
  yield* context.state.listFinishedJobs();
}

/** Why the job did or did not run, and what it waits for now. */
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
    history: job.history.map(describeEntry),
    waitingFor,
    waitingText: waitingFor && describeReason(waitingFor),
  };
}

/** The scheduler of the job's domain knows what it waits for. */
async function findWaitReason(
  context: DaemonContext,
  job: Job,
): Promise<Reason> {
  const holder = context.state.getSchedulerTerm(job.domain)?.instance;
  const noScheduler = createReason('waiting-scheduler', {domain: job.domain});
  if (!holder) {
    return noScheduler;
  }
  if (holder === context.settings.instance) {
    return context.scheduler.getWaitReason(job.jobId) ?? pending();
  }
  try {
    const answer = await context.mesh.call(
      holder,
      WAIT_REASON_METHOD,
      {jobId: job.jobId},
      PEER_TIMEOUT_MS,
    );
    const parsed = reasonSchema.safeParse(answer);
    return parsed.success ? parsed.data : pending();
  } catch {
    return noScheduler;
  }
}

/** The next pass over the queue has not come to the job yet. */
function pending(): Reason {
  return createReason('waiting-order', {ahead: 0});
}

function describeEntry(entry: HistoryEntry): HistoryEntry {
  return {...entry, text: entry.reason && describeReason(entry.reason)};
}
