/**
 * Limits how many calls to targets start per event-loop turn: a thousand at
 * once would leave no time to read responses.
 */
import type {Clock, Milliseconds} from '@galenavalve/shared';

/**
 * Calls started per batch; they take about ten milliseconds of a small
 * instance's processor.
 */
const CALLS_PER_BATCH = 16;

/**
 * Minimum time between two batches, in which the event loop reads responses.
 */
const BATCH_INTERVAL_MS: Milliseconds = 1;

/** Starts calls in batches of limited size, in the order of their requests. */
export class CallPacer {
  private startedInBatch = 0;
  private waiting: Array<() => void> = [];
  private isTimerPending = false;

  constructor(private readonly clock: Clock) {}

  /**
   * Returns undefined if the call may start at once, otherwise a promise that
   * resolves when it may.
   */
  waitForSlot(): Promise<void> | undefined {
    this.scheduleNextBatch();
    if (this.startedInBatch < CALLS_PER_BATCH) {
      this.startedInBatch++;
      return undefined;
    }
    return new Promise(resolve => this.waiting.push(resolve));
  }

  private scheduleNextBatch(): void {
    if (this.isTimerPending) {
      return;
    }
    this.isTimerPending = true;
    void this.clock.sleep(BATCH_INTERVAL_MS).then(() => {
      this.isTimerPending = false;
      const next = this.waiting.splice(0, CALLS_PER_BATCH);
      this.startedInBatch = next.length;
      if (next.length > 0) {
        this.scheduleNextBatch();
      }
      next.forEach(start => start());
    });
  }
}
