/** Chooses where to send a queued job that its failure domain cannot serve. */
import {type Reason, createReason} from '@galenavalve/model';
import {toWaitingJob} from '@galenavalve/scheduler';
import type {Node} from '../node.js';
import {rankDomains} from '../commands/route_job.js';

/** Time that a job waits in a domain in service before it may move, in milliseconds of wall-clock time. */
const PATIENCE_MS = 5_000;

/** A move of a queued job. */
export interface Move {
  domain: string;
  reason: Reason;
}

/** A better domain for the job, or undefined. `now` is wall-clock time. */
export function chooseMove(
  node: Node,
  jobId: string,
  now: number,
): Move | undefined {
  const job = node.state.job(jobId);
  if (!job || job.phase !== 'queued') {
    return undefined;
  }
  const from = job.domain;
  const isOut =
    node.state.configuration.domains.get(from)?.state !== 'in-service';
  const waitedSince = job.lastUnplacedAt ?? job.submittedAt;
  if (!isOut && now - waitedSince < PATIENCE_MS) {
    return undefined;
  }
  const best = rankDomains(node, toWaitingJob(job, now), now).find(
    candidate => candidate.domain !== from && (isOut || candidate.startsNow),
  );
  if (!best) {
    return undefined;
  }
  const code = isOut ? 'moved-domain-out' : 'moved-capacity';
  return {
    domain: best.domain,
    reason: createReason(code, {from, domain: best.domain}),
  };
}
