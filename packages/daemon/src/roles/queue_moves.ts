/** Chooses another failure domain for a queued job that its own domain cannot serve. */
import {findMove} from '@galenavalve/placement';
import {toWaitingJob} from '@galenavalve/scheduler';
import type {Reason} from '@galenavalve/model';
import {summarizeDomains} from '../commands/route_job.js';
import type {DaemonContext} from '../daemon_context.js';

/** The failure domain to which a queued job is moved, and the reason. */
export interface QueueMove {
  domain: string;
  reason: Reason;
}

/** Returns a better domain for the job, if there is one. `now` is wall-clock time. */
export function chooseMove(
  context: DaemonContext,
  jobId: string,
  now: number,
): QueueMove | undefined {
  const job = context.state.getJob(jobId);
  if (job?.phase !== 'queued') {
    return undefined;
  }
  const waiting = toWaitingJob(job, now);
  const summaries = summarizeDomains(context, waiting, now);
  const from = summaries.find(({domain}) => domain === job.domain);
  if (!from) {
    return undefined;
  }
  const queuedAt = job.lastUnplacedAt ?? job.submittedAt;
  const move = findMove(waiting, from, summaries, queuedAt, now);
  return move && {domain: move.to, reason: move.reason};
}
