/** Routes jobs to failure domains. */
import {type Reason, createReason, describeReason} from '@galenavalve/model';
import {
  type DomainSummary,
  type Route,
  type WaitingJob,
  chooseDomain,
  summarizeDomain,
} from '@galenavalve/placement';
import {Failure} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';

/** Chooses the failure domain of a job. `now` is wall-clock time. Throws `never-runnable` when no permitted domain can ever run it. */
export function routeJob(
  context: DaemonContext,
  job: WaitingJob,
  now: number,
): Route {
  const summaries = summarizeDomains(context, job, now);
  const route = chooseDomain(summaries);
  if (!route) {
    throw new Failure('never-runnable', {
      constraint: describeReason(findConstraint(job, summaries)),
    });
  }
  return route;
}

/** Summarizes for the job each failure domain that its workspace may use. A domain with a hold counts as out of service. */
export function summarizeDomains(
  context: DaemonContext,
  job: WaitingJob,
  now: number,
): DomainSummary[] {
  return listPermittedDomains(context, job.workspace).map(domain => {
    const {cells} = context.getProjection(domain);
    const backlog = context.backlogEstimator.estimateSeconds(domain, now);
    const summary = summarizeDomain(cells, backlog, job, now);
    const isHeld = context.mesh.isHeld(`domain/${domain}`);
    return isHeld ? {...summary, isInService: false} : summary;
  });
}

function listPermittedDomains(
  context: DaemonContext,
  workspaceId: string,
): string[] {
  const {workspaces, domains} = context.state.configuration;
  const permitted = workspaces.get(workspaceId)?.permittedDomains;
  return [...domains.keys()].filter(
    domain => !permitted || permitted.includes(domain),
  );
}

function findConstraint(
  job: WaitingJob,
  summaries: readonly DomainSummary[],
): Reason {
  const constraint = summaries.find(({infeasibility}) => infeasibility);
  return (
    constraint?.infeasibility ??
    createReason('never-permitted', {workspace: job.workspace})
  );
}
