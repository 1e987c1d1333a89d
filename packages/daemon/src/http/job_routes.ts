/** Routes on jobs. */
import type {Request} from 'restify';
import {z} from 'zod';
import type {Job} from '@galenavalve/ledger';
import {jobPhase} from '@galenavalve/model';
import {approveJob, cancelJob} from '../commands/job_commands.js';
import {submitJob} from '../commands/submit_job.js';
import type {Node} from '../node.js';
import {
  explainJob,
  findJob,
  listJobs,
  viewJob,
} from '../queries/job_queries.js';
import {planJob} from '../queries/plan_job.js';
import {type Reply, type Router, checkRequestSize} from './http_server.js';
import {parseBody} from './parse_body.js';

/** Longest time that a caller is held, in seconds. */
const MAX_WAIT_SECONDS = 3_600;

const waitQuery = z.object({
  wait: z.coerce.number().min(0).max(MAX_WAIT_SECONDS).default(0),
});

const listQuery = z.object({
  workspace: z.string().optional(),
  phase: jobPhase.optional(),
  limit: z.coerce.number().int().min(1).max(1000).default(100),
});

const approval = z.strictObject({author: z.string().min(1).max(128)});

/** Adds the routes under `/v1/jobs`, and `/v1/plan`. */
export function addJobRoutes(node: Node, router: Router): void {
  router.add('post', '/v1/jobs', async request => {
    checkRequestSize(request);
    const {wait} = parseBody(waitQuery, request.query);
    const job = await submitJob(node, request.body);
    return replyWhenEnded(node, job, canHold(node) ? wait : 0);
  });
  router.add('get', '/v1/jobs', request => {
    const filter = parseBody(listQuery, request.query);
    return {status: 200, body: {jobs: listJobs(node, filter)}};
  });
  router.add('get', '/v1/jobs/:id', async request => {
    const {wait} = parseBody(waitQuery, request.query);
    const job = findJob(node, idOf(request));
    const latest =
      (await node.waiters.waitForEnd(job.jobId, wait * 1000)) ?? job;
    return {status: 200, body: await viewJob(node, latest)};
  });
  router.add('get', '/v1/jobs/:id/explain', async request => ({
    status: 200,
    body: await explainJob(node, idOf(request)),
  }));
  router.add('del', '/v1/jobs/:id', async request => {
    const job = await cancelJob(node, idOf(request), 'its caller');
    return {status: 200, body: await viewJob(node, job)};
  });
  router.add('post', '/v1/jobs/:id/approve', async request => {
    const {author} = parseBody(approval, request.body);
    const job = await approveJob(node, idOf(request), author);
    return {status: 200, body: await viewJob(node, job)};
  });
  router.add('post', '/v1/plan', request => {
    checkRequestSize(request);
    return {status: 200, body: planJob(node, request.body)};
  });
}

/** With too many callers held, the next ones are told at once where their job stands. */
function canHold(node: Node): boolean {
  return node.waiters.count < node.settings.limits.heldCallers;
}

async function replyWhenEnded(
  node: Node,
  job: Job,
  waitSeconds: number,
): Promise<Reply> {
  const latest =
    (await node.waiters.waitForEnd(job.jobId, waitSeconds * 1000)) ?? job;
  const status = latest.phase === 'finished' ? 200 : 202;
  return {status, body: await viewJob(node, latest)};
}

function idOf(request: Request): string {
  return String((request.params as Record<string, unknown>)['id']);
}
