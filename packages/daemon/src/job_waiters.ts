/** Callers that are held until their job has ended. */
import type {FoldResult, LedgerState, Job} from '@galenavalve/ledger';
import type {Clock, Milliseconds} from '@galenavalve/shared';

/** Wakes callers when their job has finished. */
export class JobWaiters {
  private readonly waiting = new Map<string, Set<AbortController>>();
  private isClosed = false;
  private held = 0;

  constructor(
    private readonly state: LedgerState,
    private readonly clock: Clock,
  ) {}

  /** Number of callers held now. */
  get count(): number {
    return this.held;
  }

  /** Resolves to the job when it has finished or `timeout` is over, whichever is first. */
  async waitForEnd(
    jobId: string,
    timeout: Milliseconds,
  ): Promise<Job | undefined> {
    const isOver = this.state.getJob(jobId)?.phase === 'finished';
    if (isOver || this.isClosed || timeout <= 0) {
      return this.state.getJob(jobId);
    }
    const woken = new AbortController();
    const waiters = this.waiting.get(jobId) ?? new Set();
    waiters.add(woken);
    this.waiting.set(jobId, waiters);
    this.held++;
    await this.clock.sleep(timeout, woken.signal);
    this.held--;
    waiters.delete(woken);
    if (waiters.size === 0) {
      this.waiting.delete(jobId);
    }
    return this.state.getJob(jobId);
  }

  /** Wakes the callers of a job that ended. */
  onApplied(applied: FoldResult): void {
    const record = applied.record;
    if (!record || !('jobId' in record)) {
      return;
    }
    if (this.state.getJob(record.jobId)?.phase === 'finished') {
      this.wake(record.jobId);
    }
  }

  /** Wakes the callers whose jobs have ended; for a state that was replaced. */
  recheck(): void {
    for (const jobId of [...this.waiting.keys()]) {
      if (this.state.getJob(jobId)?.phase === 'finished') {
        this.wake(jobId);
      }
    }
  }

  /** Answers all callers with what is known now; for a planned stop. */
  close(): void {
    this.isClosed = true;
    for (const jobId of [...this.waiting.keys()]) {
      this.wake(jobId);
    }
  }

  private wake(jobId: string): void {
    for (const waiter of this.waiting.get(jobId) ?? []) {
      waiter.abort();
    }
  }
}
