/** Sends queued jobs that their failure domain cannot serve to others. */
import {type Reason, describeReason} from '@galenavalve/model';
import type {WaitingJob} from '@galenavalve/placement';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {SchedulerContext} from './scheduler_context.js';

/** Jobs that are looked at in one pass; the bound keeps passes short when queues are long. */
const MAX_CONSIDERED = 32;

/** Time after which a job that stayed is looked at again. */
const RECONSIDER_MS: Milliseconds = 2_000;

/** The moves of one term of a domain's scheduler. */
export class QueuedJobMover {
  private readonly moving = new Set<string>();
  /** When each waiting job was looked at last. */
  private consideredAt = new Map<string, Instant>();

  constructor(private readonly context: SchedulerContext) {}

  /** Looks at the jobs that were not looked at lately. `wallNow` is wall-clock time. */
  moveUnservableJobs(
    waiting: readonly WaitingJob[],
    now: Instant,
    wallNow: number,
  ): void {
    const before = this.consideredAt;
    this.consideredAt = new Map();
    let considered = 0;
    for (const {jobId} of waiting) {
      const at = before.get(jobId);
      const isDue = at === undefined || now - at >= RECONSIDER_MS;
      if (isDue && considered < MAX_CONSIDERED) {
        considered++;
        this.consideredAt.set(jobId, now);
        this.considerJob(jobId, wallNow);
      } else if (at !== undefined) {
        this.consideredAt.set(jobId, at);
      }
    }
  }

  private considerJob(jobId: string, wallNow: number): void {
    const isQueued = this.context.state.getJob(jobId)?.phase === 'queued';
    if (!isQueued || this.moving.has(jobId)) {
      return;
    }
    const move = this.context.chooseMove(jobId, wallNow);
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
