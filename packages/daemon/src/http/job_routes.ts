/** Routes for jobs. */
import type {Request} from 'restify';
import {z} from 'zod';
import type {Job} from '@galenavalve/ledger';
import {jobPhase} from '@galenavalve/model';
import {approveJob, cancelJob} from '../commands/job_commands.js';
import {submitJob} from '../commands/submit_job.js';
import type {DaemonContext} from '../daemon_context.js';
import {
  explainJob,
  findJob,
  listJobs,
  viewJob,
} from '../queries/job_queries.js';
import {planJob} from '../queries/plan_job.js';
import {
  type HttpResponse,
  type Router,
  checkRequestSize,
} from './http_server.js';
import {parseBody} from './parse_body.js';

/** Maximum time for which a caller is held. */
const MAX_WAIT_SECONDS = 3_600;

const waitQuery = z.object({
  wait: z.coerce.number().min(0).max(MAX_WAIT_SECONDS).default(0),
});

const listQuery = z.object({
  workspace: z.string().optional(),
  phase: jobPhase.optional(),
  limit: z.coerce.number().int().min(1).max(1000).default(100),
});

const approvalBody = z.strictObject({author: z.string().min(1).max(128)});

/** Adds the routes under `/v1/jobs`, and `/v1/plan`. */
export function addJobRoutes(context: DaemonContext, router: Router): void {
  router.add('post', '/v1/jobs', async request => {
    checkRequestSize(request);
    const {wait} = parseBody(waitQuery, request.query);
    const job = await submitJob(context, request.body);
    return respondWhenFinished(context, job, canHoldCaller(context) ? wait : 0);
  });
  router.add('get', '/v1/jobs', request => {
    const filter = parseBody(listQuery, request.query);
    return {status: 200, body: {jobs: listJobs(context, filter)}};
  });
  router.add('get', '/v1/jobs/:id', async request => {
    const {wait} = parseBody(waitQuery, request.query);
    const job = findJob(context, getJobId(request));
    const latest =
      (await context.waiters.waitForEnd(job.jobId, wait * 1000)) ?? job;
    return {status: 200, body: await viewJob(context, latest)};
  });
  router.add('get', '/v1/jobs/:id/explain', async request => ({
    status: 200,
    body: await explainJob(context, getJobId(request)),
  }));
  router.add('del', '/v1/jobs/:id', async request => {
    const job = await cancelJob(context, getJobId(request), 'its caller');
    return {status: 200, body: await viewJob(context, job)};
  });
  router.add('post', '/v1/jobs/:id/approve', async request => {
    const {author} = parseBody(approvalBody, request.body);
    const job = await approveJob(context, getJobId(request), author);
    return {status: 200, body: await viewJob(context, job)};
  });
  router.add('post', '/v1/plan', request => {
    checkRequestSize(request);
    return {status: 200, body: planJob(context, request.body)};
  });
}

/** Returns whether another caller may be held; beyond the limit, callers get the current state of their job immediately. */
function canHoldCaller(context: DaemonContext): boolean {
  return context.waiters.count < context.settings.limits.heldCallers;
}

/** Holds the caller until its job has finished or `waitSeconds` have passed. */
async function respondWhenFinished(
  context: DaemonContext,
  job: Job,
  waitSeconds: number,
): Promise<HttpResponse> {
  const latest =
    (await context.waiters.waitForEnd(job.jobId, waitSeconds * 1000)) ?? job;
  const status = latest.phase === 'finished' ? 200 : 202;
  return {status, body: await viewJob(context, latest)};
}

function getJobId(request: Request): string {
  return String((request.params as Record<string, unknown>)['id']);
}
