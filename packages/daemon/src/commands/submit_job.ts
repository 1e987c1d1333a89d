/** Submits a job: validates it, routes it to a failure domain and records it. */
import {type Job, REQUEST_WINDOW_MS} from '@galenavalve/ledger';
import {type JobRequest, describeReason, jobRequest} from '@galenavalve/model';
import type {Route, WaitingJob} from '@galenavalve/placement';
import {Failure, hashText, hashValue} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {parseBody} from '../http/parse_body.js';
import {appendCommand} from './append_command.js';
import {routeJob} from './route_job.js';
import {checkServing} from './check_serving.js';

/**
 * Records a job exactly once for any number of requests with the same request
 * id, the idempotency key. Returns when the job is durable. Throws a `Failure`
 * that states whether the job may still run.
 */
export async function submitJob(
  context: DaemonContext,
  body: unknown,
): Promise<Job> {
  const request = parseBody(jobRequest, body);
  const bodyHash = hashRequest(request);
  const existing = findSubmittedJob(context, request.requestId, bodyHash);
  if (existing) {
    return existing;
  }
  checkServing(context);
  checkRequestAge(context, request);
  checkWorkspace(context, request);
  const now = context.clock.wallTime();
  const route = routeJob(context, createWaitingJob(request, now), now);
  const jobId = createJobId(request.requestId);
  context.logger.info('routed', {
    jobId,
    requestId: request.requestId,
    to: route.domain,
    reason: route.reason.code,
    text: describeReason(route.reason),
  });
  return recordJob(context, request, bodyHash, jobId, route);
}

/** Derives the id of a job from its request id, so that every instance creates the same id. */
export function createJobId(requestId: string): string {
  return `job-${hashText(requestId).slice(0, 20)}`;
}

/** Converts a request to a waiting job of the placement package. `now` is wall-clock time. */
export function createWaitingJob(request: JobRequest, now: number): WaitingJob {
  return {
    jobId: createJobId(request.requestId),
    workspace: request.workspace,
    gang: request.gang,
    kind: request.kind,
    urgent: request.urgent,
    repeatable: request.repeatable,
    checkpointable: request.checkpointable,
    expectedSeconds: request.expectedSeconds,
    submittedAt: now,
    avoidTargets: [],
  };
}

function hashRequest(request: JobRequest): string {
  return hashValue({...request, createdAt: undefined});
}

function findSubmittedJob(
  context: DaemonContext,
  requestId: string,
  bodyHash: string,
): Job | undefined {
  const job = context.state.getJobByRequest(requestId);
  if (job && job.bodyHash !== bodyHash) {
    throw new Failure('request-conflict', {requestId});
  }
  return job;
}

function checkRequestAge(context: DaemonContext, request: JobRequest): void {
  const ageSeconds = Math.round(
    (context.clock.wallTime() - request.createdAt) / 1000,
  );
  const windowSeconds = REQUEST_WINDOW_MS / 1000;
  if (ageSeconds > windowSeconds) {
    throw new Failure('request-expired', {ageSeconds, windowSeconds});
  }
}

function checkWorkspace(context: DaemonContext, request: JobRequest): void {
  const {state} = context;
  const workspace = state.configuration.workspaces.get(request.workspace);
  if (!workspace) {
    throw new Failure('unknown-workspace', {workspace: request.workspace});
  }
  const count = state.countQueuedJobs(workspace.id);
  if (count >= workspace.queueLimit) {
    throw new Failure('workspace-limit', {workspace: workspace.id, count});
  }
}

async function recordJob(
  context: DaemonContext,
  request: JobRequest,
  bodyHash: string,
  jobId: string,
  route: Route,
): Promise<Job> {
  const applied = await appendCommand(context, request.requestId, {
    type: 'submitted',
    jobId,
    request,
    bodyHash,
    domain: route.domain,
    reason: route.reason,
  });
  const job = findSubmittedJob(context, request.requestId, bodyHash);
  if (!job) {
    // Records of other writers came first, so that the fold decided on a later state than the checks above.
    const problem = applied.rejection ?? 'the job was not recorded';
    throw applied.problem ?? new Failure('internal', {problem});
  }
  return job;
}
