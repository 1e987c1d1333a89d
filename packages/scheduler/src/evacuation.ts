/** Empties a failure domain that operators have taken out of service. */
import {type Reason, createReason} from '@galenavalve/model';
import {describeReason} from '@galenavalve/model';
import type {GangStop} from './gang_stop.js';
import type {SchedulerContext} from './schedule_context.js';

/**
 * Stops the gangs of a domain that is out, with a checkpoint where they can,
 * and sends queued jobs to other domains. A job that may not be repeated runs
 * on to its end, since a second start could do harm.
 */
export function evacuate(context: SchedulerContext, stop: GangStop): void {
  const {state, domain} = context;
  if (state.configuration.domains.get(domain)?.state !== 'out') {
    return;
  }
  const reason = createReason('preempted-domain-out', {domain});
  for (const job of [...state.activeIn(domain)]) {
    if (job.request.repeatable && job.phase === 'running') {
      stop.begin(job, {reason, checkpoint: true});
    }
  }
}

/** Sends queued jobs that this domain cannot serve to others. */
export class QueueMoves {
  private readonly moving = new Set<string>();

  constructor(private readonly context: SchedulerContext) {}

  /** Moves `jobId` if another domain is better; resolves at once. */
  consider(jobId: string, now: number): void {
    if (this.moving.has(jobId)) {
      return;
    }
    const move = this.context.chooseMove(jobId, now);
    if (!move || move.domain === this.context.domain) {
      return;
    }
    this.moving.add(jobId);
    void this.move(jobId, move.domain, move.reason).finally(() =>
      this.moving.delete(jobId),
    );
  }

  private async move(jobId: string, to: string, reason: Reason): Promise<void> {
    const {record, domain, logger} = this.context;
    const isAccepted = await record({
      type: 'moved',
      jobId,
      from: domain,
      to,
      reason,
    });
    logger.info('moved', {
      jobId,
      from: domain,
      to,
      accepted: isAccepted,
      text: describeReason(reason),
    });
  }
}
