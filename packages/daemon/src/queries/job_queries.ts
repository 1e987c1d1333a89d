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
import type {Node} from '../node.js';
import {WAIT_REASON_METHOD} from '../roles/peer_services.js';

const PEER_TIMEOUT_MS = 1_000;

/** Filter of a list of jobs. */
export interface JobFilter {
  workspace?: string;
  phase?: JobPhase;
  limit: number;
}

/** The job, or `not-found`. */
export function findJob(node: Node, jobId: string): Job {
  const job = node.state.getJob(jobId) ?? node.state.getJobByRequest(jobId);
  if (!job) {
    throw new Failure('not-found', {kind: 'job', id: jobId});
  }
  return job;
}

/**
 * The job as its caller sees it, with its whole answer. Results that memory has
 * dropped are read back from the log. Throws `internal` when they are damaged.
 */
export async function viewJob(node: Node, job: Job): Promise<JobView> {
  const timeout = node.settings.timings.platformTimeoutMs;
  const results = await readResults(node.log, job, timeout);
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
export function listJobs(node: Node, filter: JobFilter): JobView[] {
  const found: Job[] = [];
  for (const job of allJobs(node)) {
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

function* allJobs(node: Node): Iterable<Job> {
  for (const domain of node.state.configuration.domains.keys()) {
    yield* node.state.listUnfinishedJobs(domain);
  }
  yield* node.state.listFinishedJobs();
}

/** Why the job did or did not run, and what it waits for now. */
export async function explainJob(
  node: Node,
  jobId: string,
): Promise<ExplanationView> {
  const job = findJob(node, jobId);
  const waitingFor =
    job.phase === 'queued' ? await findWaitReason(node, job) : undefined;
  return {
    ...(await viewJob(node, job)),
    request: job.request,
    assignments: [...job.assignments],
    history: job.history.map(describeEntry),
    waitingFor,
    waitingText: waitingFor && describeReason(waitingFor),
  };
}

/** The scheduler of the job's domain knows what it waits for. */
async function findWaitReason(node: Node, job: Job): Promise<Reason> {
  const holder = node.state.getSchedulerTerm(job.domain)?.instance;
  const noScheduler = createReason('waiting-scheduler', {domain: job.domain});
  if (!holder) {
    return noScheduler;
  }
  if (holder === node.settings.instance) {
    return node.scheduler.getWaitReason(job.jobId) ?? pending();
  }
  try {
    const answer = await node.mesh.ask(
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
