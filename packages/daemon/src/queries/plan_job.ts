/** Dry run: determines what would happen to a job if it were submitted now. */
import {
  type PlanView,
  type Reason,
  describeReason,
  jobRequest,
} from '@galenavalve/model';
import {Failure} from '@galenavalve/shared';
import {toWaitingJob} from '@galenavalve/scheduler';
import {routeJob} from '../commands/route_job.js';
import {createWaitingJob} from '../commands/submit_job.js';
import {parseBody} from '../http/parse_body.js';
import type {DaemonContext} from '../daemon_context.js';

/** Returns the plan for a job request without recording anything. Throws `bad-request` or `unknown-workspace`. */
export function planJob(context: DaemonContext, body: unknown): PlanView {
  const request = parseBody(jobRequest, body);
  if (!context.state.configuration.workspaces.has(request.workspace)) {
    throw new Failure('unknown-workspace', {workspace: request.workspace});
  }
  const now = context.clock.wallTime();
  const job = createWaitingJob(request, now);
  let route;
  try {
    route = routeJob(context, job, now);
  } catch (error) {
    if (error instanceof Failure && error.code === 'never-runnable') {
      return {
        verdict: 'never',
        assignments: [],
        victims: [],
        reasons: [
          {
            reason: {code: 'never-size', details: {}},
            text: String(error.details['constraint']),
          },
        ],
      };
    }
    throw error;
  }
  const queue = [...context.state.listQueuedJobs(route.domain)].map(queued =>
    toWaitingJob(queued, now),
  );
  const {cells} = context.getProjection(route.domain);
  const decisions = context.policy.decide(cells, [...queue, job], now);
  const placement = decisions.placements.find(p => p.jobId === job.jobId);
  const reclaim = decisions.reclaims.find(r => r.forJob === job.jobId);
  const wait = decisions.waits.find(w => w.jobId === job.jobId);
  const reasons = [
    route.reason,
    placement?.reason,
    reclaim?.reason,
    wait?.reason,
  ];
  return {
    verdict: placement ? 'starts-now' : 'waits',
    domain: route.domain,
    assignments: placement?.assignments ?? [],
    victims: reclaim?.victims ?? [],
    reasons: reasons.flatMap(reason => (reason ? [addReasonText(reason)] : [])),
  };
}

function addReasonText(reason: Reason): {reason: Reason; text: string} {
  return {reason, text: describeReason(reason)};
}
