/** Moves queued jobs that their failure domain cannot serve to other domains. */
import {type Reason, describeReason} from '@galenavalve/model';
import type {WaitingJob} from '@galenavalve/placement';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {SchedulerContext} from './scheduler_context.js';

/** Largest number of jobs checked in one pass; keeps passes short when queues are long. */
const MAX_JOBS_PER_PASS = 32;

/** Time after which a job that was not moved is checked again. */
const RECHECK_INTERVAL_MS: Milliseconds = 2_000;

/** Moves queued jobs during one term of a domain's scheduler. */
export class QueuedJobMover {
  private readonly movingJobIds = new Set<string>();
  /** Time of the latest check of each waiting job. */
  private checkedAt = new Map<string, Instant>();

  constructor(private readonly context: SchedulerContext) {}

  /**
   * Checks the jobs whose check is due, and moves those with a better domain.
   * `wallNow` is wall-clock time.
   */
  moveUnservableJobs(
    waiting: readonly WaitingJob[],
    now: Instant,
    wallNow: number,
  ): void {
    const previouslyCheckedAt = this.checkedAt;
    this.checkedAt = new Map();
    let checkedCount = 0;
    for (const {jobId} of waiting) {
      const at = previouslyCheckedAt.get(jobId);
      const isDue = at === undefined || now - at >= RECHECK_INTERVAL_MS;
      if (isDue && checkedCount < MAX_JOBS_PER_PASS) {
        checkedCount++;
        this.checkedAt.set(jobId, now);
        this.checkJob(jobId, wallNow);
      } else if (at !== undefined) {
        this.checkedAt.set(jobId, at);
      }
    }
  }

  private checkJob(jobId: string, wallNow: number): void {
    const isQueued = this.context.state.getJob(jobId)?.phase === 'queued';
    if (!isQueued || this.movingJobIds.has(jobId)) {
      return;
    }
    const move = this.context.chooseMove(jobId, wallNow);
    if (!move || move.domain === this.context.domain) {
      return;
    }
    this.movingJobIds.add(jobId);
    void this.move(jobId, move.domain, move.reason).finally(() =>
      this.movingJobIds.delete(jobId),
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
