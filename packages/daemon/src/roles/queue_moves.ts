/** Chooses where to send a queued job that its failure domain cannot serve. */
import {findMove} from '@galenavalve/placement';
import {toWaitingJob} from '@galenavalve/scheduler';
import type {Reason} from '@galenavalve/model';
import {summarizeDomains} from '../commands/route_job.js';
import type {DaemonContext} from '../daemon_context.js';

/** Where a queued job is sent, and why. */
export interface QueueMove {
  domain: string;
  reason: Reason;
}

/** A better domain for the job, or undefined. `now` is wall-clock time. */
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
  const arrivedAt = job.lastUnplacedAt ?? job.submittedAt;
  const move = findMove(waiting, from, summaries, arrivedAt, now);
  return move && {domain: move.to, reason: move.reason};
}
