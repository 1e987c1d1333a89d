/** Keeps callers' requests open until their job has finished. */
import type {FoldResult, LedgerState, Job} from '@galenavalve/ledger';
import type {Clock, Milliseconds} from '@galenavalve/shared';

/** Tracks held callers, whose requests are kept open, and wakes them when their job has finished. */
export class JobWaiters {
  /** Abort controllers that wake the callers, by job. */
  private readonly waitersByJob = new Map<string, Set<AbortController>>();
  private isClosed = false;
  private heldCallers = 0;

  constructor(
    private readonly state: LedgerState,
    private readonly clock: Clock,
  ) {}

  /** Number of callers that are currently held. */
  get count(): number {
    return this.heldCallers;
  }

  /** Resolves to the job when it has finished or after `timeoutMs`, whichever is first. */
  async waitForEnd(
    jobId: string,
    timeoutMs: Milliseconds,
  ): Promise<Job | undefined> {
    const isFinished = this.state.getJob(jobId)?.phase === 'finished';
    if (isFinished || this.isClosed || timeoutMs <= 0) {
      return this.state.getJob(jobId);
    }
    const waiter = new AbortController();
    const waiters = this.waitersByJob.get(jobId) ?? new Set();
    waiters.add(waiter);
    this.waitersByJob.set(jobId, waiters);
    this.heldCallers++;
    await this.clock.sleep(timeoutMs, waiter.signal);
    this.heldCallers--;
    waiters.delete(waiter);
    if (waiters.size === 0) {
      this.waitersByJob.delete(jobId);
    }
    return this.state.getJob(jobId);
  }

  /** Wakes the callers of a job that a record has finished. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!record || !('jobId' in record)) {
      return;
    }
    if (this.state.getJob(record.jobId)?.phase === 'finished') {
      this.wake(record.jobId);
    }
  }

  /** Wakes the callers whose jobs have finished; called after the state was replaced. */
  recheck(): void {
    for (const jobId of [...this.waitersByJob.keys()]) {
      if (this.state.getJob(jobId)?.phase === 'finished') {
        this.wake(jobId);
      }
    }
  }

  /** Wakes all callers, and no longer holds new ones; called on graceful shutdown. */
  close(): void {
    this.isClosed = true;
    for (const jobId of [...this.waitersByJob.keys()]) {
      this.wake(jobId);
    }
  }

  private wake(jobId: string): void {
    for (const waiter of this.waitersByJob.get(jobId) ?? []) {
      waiter.abort();
    }
  }
}
