/** Rate limit for the appends of an instance: a token bucket. */
import type {Instant} from '@galenavalve/shared';

/** Capacity of the bucket: appends that may be sent at once after an idle period. */
const MAX_BURST_APPENDS = 5;

/** Allows `appendsPerSecond` appends on average, with bursts of up to `MAX_BURST_APPENDS`. */
export class AppendRateLimiter {
  private tokens = MAX_BURST_APPENDS;
  private refilledAt: Instant = -Infinity;
  private pausedUntil: Instant = -Infinity;

  constructor(private appendsPerSecond: number) {}

  /** Changes the rate, such as when the number of instances that share the log changes. */
  setRate(appendsPerSecond: number, now: Instant): void {
    this.refill(now);
    this.appendsPerSecond = appendsPerSecond;
  }

  /** Allows no append before `until`. */
  pause(until: Instant): void {
    this.pausedUntil = Math.max(this.pausedUntil, until);
  }

  /** Returns the earliest time at which the next append is allowed. */
  getNextAllowedAt(now: Instant): Instant {
    this.refill(now);
    const missingTokens = Math.max(0, 1 - this.tokens);
    const availableAt = now + (missingTokens * 1000) / this.appendsPerSecond;
    return Math.max(availableAt, this.pausedUntil);
  }

  /** Takes the token of one append. */
  consume(now: Instant): void {
    this.refill(now);
    this.tokens -= 1;
  }

  private refill(now: Instant): void {
    const elapsedMs = now - this.refilledAt;
    const newTokens = (elapsedMs * this.appendsPerSecond) / 1000;
    this.tokens = Math.min(MAX_BURST_APPENDS, this.tokens + newTokens);
    this.refilledAt = now;
  }
}
