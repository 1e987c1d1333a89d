/** When the next pass over everything that waits is due: soon after news, but never so often that passes take all the processor. */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** A pass waits this long for more news: ends of one gang come together. */
const NEWS_DELAY: Milliseconds = 2;

/** Most of the processor's time that passes may take; the rest is for listings, orders and records. */
const MOST_SHARE = 0.25;

/** Spaces the passes of one dispatcher. */
export class PassSchedule {
  /** When the last pass has had its share of the time. */
  private openAt: Instant = -Infinity;

  /** Notes a pass. */
  onPass(startedAt: Instant, endedAt: Instant): void {
    this.openAt = startedAt + (endedAt - startedAt) / MOST_SHARE;
  }

  /** Time from news at `now` until a pass. */
  delay(now: Instant): Milliseconds {
    return Math.max(NEWS_DELAY, this.openAt - now);
  }

  /** Whether a pass that no news asks for may be made. */
  isOpen(now: Instant): boolean {
    return now >= this.openAt;
  }
}
