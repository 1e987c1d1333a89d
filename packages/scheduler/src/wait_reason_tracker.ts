/** Tracks why the queued jobs of a failure domain wait. */
import {type Reason, describeReason} from '@galenavalve/model';
import type {Logger} from '@galenavalve/shared';

/** Stores the latest reason of each job, and logs changes of its code. */
export class WaitReasonTracker {
  private readonly reasons = new Map<string, Reason>();

  constructor(private readonly logger: Logger) {}

  /** Sets the reason why a job waits. */
  setReason(jobId: string, reason: Reason): void {
    const previous = this.reasons.get(jobId);
    this.reasons.set(jobId, reason);
    if (previous?.code !== reason.code) {
      this.logger.info('waits', {
        jobId,
        reason: reason.code,
        text: describeReason(reason),
      });
    }
  }

  /** Removes a job that no longer waits. */
  remove(jobId: string): void {
    this.reasons.delete(jobId);
  }

  /** Removes all jobs. */
  clear(): void {
    this.reasons.clear();
  }

  /** Returns why a job waits, as of the latest pass. */
  getReason(jobId: string): Reason | undefined {
    return this.reasons.get(jobId);
  }
}
