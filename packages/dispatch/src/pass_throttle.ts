/** When the next pass over everything that waits is due: soon after news, but never so often that passes take all the processor. */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** A pass waits this long for more news: ends of one gang come together. */
const PASS_DEBOUNCE_MS: Milliseconds = 2;

/** Most of the processor's time that passes may take; the rest is for listings, orders and records. */
const MAX_CPU_SHARE = 0.25;

/** Spaces the passes of one dispatcher. */
export class PassThrottle {
  /** When the last pass has had its share of the time. */
  private openAt: Instant = -Infinity;

  /** Notes a pass. */
  onPass(startedAt: Instant, endedAt: Instant): void {
    this.openAt = startedAt + (endedAt - startedAt) / MAX_CPU_SHARE;
  }

  /** Time from news at `now` until a pass. */
  computeDelay(now: Instant): Milliseconds {
    return Math.max(PASS_DEBOUNCE_MS, this.openAt - now);
  }

  /** Whether a pass that no news asks for may be made. */
  isPassAllowed(now: Instant): boolean {
    return now >= this.openAt;
  }
}
