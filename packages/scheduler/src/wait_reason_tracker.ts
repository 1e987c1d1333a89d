/** What each queued job of a failure domain waits for. */
import {type Reason, describeReason} from '@galenavalve/model';
import type {Logger} from '@galenavalve/shared';

/** Remembers the latest reason of each job, and logs when it changes. */
export class WaitReasonTracker {
  private readonly reasons = new Map<string, Reason>();

  constructor(private readonly logger: Logger) {}

  /** Notes why a job waits. */
  setReason(jobId: string, reason: Reason): void {
    const before = this.reasons.get(jobId);
    this.reasons.set(jobId, reason);
    if (before?.code !== reason.code) {
      this.logger.info('waits', {
        jobId,
        reason: reason.code,
        text: describeReason(reason),
      });
    }
  }

  /** Forgets a job that waits no longer. */
  remove(jobId: string): void {
    this.reasons.delete(jobId);
  }

  /** Forgets every job. */
  clear(): void {
    this.reasons.clear();
  }

  /** Why a job waits, as of the latest pass. */
  getReason(jobId: string): Reason | undefined {
    return this.reasons.get(jobId);
  }
}
