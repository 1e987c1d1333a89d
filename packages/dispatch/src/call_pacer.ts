/** Spreads calls to targets over turns of the loop: a thousand at once would leave no time to read the answers. */
import type {Clock, Milliseconds} from '@galenavalve/shared';

/** Calls begun in one turn: some ten milliseconds of a small instance's processor. */
const CALLS_PER_BATCH = 16;

/** Least time between two turns; the loop reads what came meanwhile. */
const BATCH_INTERVAL_MS: Milliseconds = 1;

/** Lets a bounded number of calls begin in each turn, in the order of their asking. */
export class CallPacer {
  private begun = 0;
  private waiting: Array<() => void> = [];
  private isTurning = false;

  constructor(private readonly clock: Clock) {}

  /** Resolves when the call may begin; undefined when that is at once. */
  waitForSlot(): Promise<void> | undefined {
    this.turnOver();
    if (this.begun < CALLS_PER_BATCH) {
      this.begun++;
      return undefined;
    }
    return new Promise(resolve => this.waiting.push(resolve));
  }

  private turnOver(): void {
    if (this.isTurning) {
      return;
    }
    this.isTurning = true;
    void this.clock.sleep(BATCH_INTERVAL_MS).then(() => {
      this.isTurning = false;
      const next = this.waiting.splice(0, CALLS_PER_BATCH);
      this.begun = next.length;
      if (next.length > 0) {
        this.turnOver();
      }
      next.forEach(begin => begin());
    });
  }
}
