/** Routes jobs to failure domains. */
import {type Reason, createReason, describeReason} from '@galenavalve/model';
import type {WaitingJob} from '@galenavalve/placement';
import {Failure} from '@galenavalve/shared';
import type {Node} from '../node.js';

/** Where a job goes, and why. */
export interface Route {
  domain: string;
  reason: Reason;
}

/** A failure domain that can hold a job. */
export interface Candidate {
  domain: string;
  /** Whether the policy would start the job there at once. */
  startsNow: boolean;
  queued: number;
}

/** Chooses the failure domain of a job. Throws `never-runnable`. */
export function routeJob(node: Node, job: WaitingJob, now: number): Route {
  const ranked = rankDomains(node, job, now);
  const best = ranked[0];
  if (!best) {
    throw new Failure('never-runnable', {
      constraint: describeReason(findConstraint(node, job)),
    });
  }
  const {domain} = best;
  if (ranked.length === 1) {
    return {domain, reason: createReason('routed-only', {domain})};
  }
  const code = best.startsNow ? 'routed-capacity' : 'routed-queue';
  return {domain, reason: createReason(code, {domain})};
}

/** The domains that can ever hold the job: those in service first, the best first. */
export function rankDomains(
  node: Node,
  job: WaitingJob,
  now: number,
): Candidate[] {
  const candidates = permittedDomains(node, job.workspace).flatMap(domain => {
    const {cells} = node.mirrorOf(domain);
    if (node.policy.findImpossibility(cells, job)) {
      return [];
    }
    const placements = node.policy.decide(cells, [job], now).placements;
    const queued = [...node.state.queuedIn(domain)].length;
    return [{domain, startsNow: placements.length > 0, queued}];
  });
  const rank = (candidate: Candidate) =>
    (isInService(node, candidate.domain) ? 0 : 4) +
    (candidate.queued === 0 && candidate.startsNow ? 0 : 2);
  return candidates.sort((a, b) => rank(a) - rank(b) || a.queued - b.queued);
}

function permittedDomains(node: Node, workspaceId: string): string[] {
  const {workspaces, domains} = node.state.configuration;
  const permitted = workspaces.get(workspaceId)?.permittedDomains;
  return [...domains.keys()].filter(
    domain => !permitted || permitted.includes(domain),
  );
}

function findConstraint(node: Node, job: WaitingJob): Reason {
  for (const domain of permittedDomains(node, job.workspace)) {
    const reason = node.policy.findImpossibility(
      node.mirrorOf(domain).cells,
      job,
    );
    if (reason) {
      return reason;
    }
  }
  return createReason('never-permitted', {workspace: job.workspace});
}

function isInService(node: Node, domain: string): boolean {
  return (
    node.state.configuration.domains.get(domain)?.state === 'in-service' &&
    !node.mesh.isHeld(`domain/${domain}`)
  );
}
