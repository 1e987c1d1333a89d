/** How often an instance may append: a token bucket. */
import type {Instant} from '@galenavalve/shared';

/** Appends that may follow each other at once after a quiet time. */
const BURST = 5;

/** Lets `appendsPerSecond` appends through, and a few at once after a quiet time. */
export class AppendRateLimiter {
  private tokens = BURST;
  private filledAt: Instant = -Infinity;
  private pausedUntil: Instant = -Infinity;

  constructor(private appendsPerSecond: number) {}

  /** Changes the rate, such as when the number of instances that share the log changes. */
  setRate(appendsPerSecond: number, now: Instant): void {
    this.fill(now);
    this.appendsPerSecond = appendsPerSecond;
  }

  /** Allows nothing before `until`. */
  pause(until: Instant): void {
    this.pausedUntil = Math.max(this.pausedUntil, until);
  }

  /** Earliest time of the next append. */
  getNextAllowedAt(now: Instant): Instant {
    this.fill(now);
    const missing = Math.max(0, 1 - this.tokens);
    const refilledAt = now + (missing * 1000) / this.appendsPerSecond;
    return Math.max(refilledAt, this.pausedUntil);
  }

  /** Counts an append. */
  consume(now: Instant): void {
    this.fill(now);
    this.tokens -= 1;
  }

  private fill(now: Instant): void {
    const elapsed = now - this.filledAt;
    const earned = (elapsed * this.appendsPerSecond) / 1000;
    this.tokens = Math.min(BURST, this.tokens + earned);
    this.filledAt = now;
  }
}
