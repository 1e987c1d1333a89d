/**
 * Determines when the next scheduling pass may run: shortly after a request,
 * but within a limited share of the processor.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/**
 * Delay that lets several events share one pass; the ends of a gang's members
 * arrive together.
 */
const PASS_DEBOUNCE_MS: Milliseconds = 2;

/**
 * Maximum share of processor time for passes; the rest is left to listings,
 * commands and records.
 */
const MAX_CPU_SHARE = 0.25;

/** Throttles the passes of one dispatcher. */
export class PassThrottle {
  /** When the last pass no longer exceeds its share of processor time. */
  private nextPassAt: Instant = -Infinity;

  /** Records that a pass ran. */
  onPass(startedAt: Instant, endedAt: Instant): void {
    this.nextPassAt = startedAt + (endedAt - startedAt) / MAX_CPU_SHARE;
  }

  /** Returns the delay until a pass that is requested at `now`. */
  computeDelay(now: Instant): Milliseconds {
    return Math.max(PASS_DEBOUNCE_MS, this.nextPassAt - now);
  }

  /** Whether a pass may run at `now` without having been requested. */
  isPassAllowed(now: Instant): boolean {
    return now >= this.nextPassAt;
  }
}
