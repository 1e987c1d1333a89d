/**
 * Tracks how old the knowledge of the log is.
 *
 * A read of the log's end proves that the state was current when the read was
 * sent. A peer relays such a proof with its age. Ages add up over relays and
 * are counted with local monotonic clocks only, so the claimed age is never
 * below the true one.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** The proof that a peer relays. */
export interface RelayedFreshness {
  /** Offset up to which the peer has read the log. */
  offset: number;
  /** Age of the peer's own proof when it sent the report, in milliseconds; it counts on while the report travels. */
  freshnessAgeMs: Milliseconds;
}

/** Longest time between two ticks of the loop that is not taken for a pause. */
export const PAUSE_THRESHOLD_MS = 1000;

/** The newest proof that this instance's state is current. */
export class FreshnessTracker {
  /** When the state was last known to be current; undefined when it is not known. */
  private provenAt: Instant | undefined;
  /** Relayed proofs for offsets that this instance has not reached yet, by offset. */
  private waiting: {offset: number; provenAt: Instant} | undefined;
  private tickedAt: Instant | undefined;

  /** Notes a read that reached the log's end; `sentAt` is the time before the read was sent. */
  onRead(sentAt: Instant): void {
    this.prove(sentAt);
  }

  /**
   * Notes a peer's report. `sentAt` is when this instance asked for it, or a
   * time that is certainly not after the peer made it.
   */
  onPeerReport(
    report: RelayedFreshness,
    ownOffset: number,
    sentAt: Instant,
  ): void {
    const provenAt = sentAt - report.freshnessAgeMs;
    if (!Number.isFinite(provenAt)) {
      return;
    }
    if (ownOffset >= report.offset) {
      this.prove(provenAt);
    } else if (!this.waiting || provenAt > this.waiting.provenAt) {
      this.waiting = {offset: report.offset, provenAt};
    }
  }

  /** Notes that the state now holds every record before `offset`. */
  onOffsetReached(offset: number): void {
    if (this.waiting && offset >= this.waiting.offset) {
      this.prove(this.waiting.provenAt);
      this.waiting = undefined;
    }
  }

  /**
   * Called by the loop. A long time between two calls shows that the process
   * was paused; what it knew before is then dropped. Returns whether it was.
   */
  detectPause(now: Instant): boolean {
    const wasPaused =
      this.tickedAt !== undefined && now - this.tickedAt > PAUSE_THRESHOLD_MS;
    this.tickedAt = now;
    if (wasPaused) {
      this.provenAt = undefined;
      this.waiting = undefined;
    }
    return wasPaused;
  }

  /** Age of the newest proof in milliseconds; infinite when there is none. */
  getAge(now: Instant): Milliseconds {
    return this.provenAt === undefined ? Infinity : now - this.provenAt;
  }

  /** Tells whether the state is known to be current to within `bound`. A pause that no tick has noticed yet makes it false. */
  isFresh(now: Instant, bound: Milliseconds): boolean {
    const isPaused =
      this.tickedAt !== undefined && now - this.tickedAt > PAUSE_THRESHOLD_MS;
    return !isPaused && this.getAge(now) <= bound;
  }

  private prove(at: Instant): void {
    if (this.provenAt === undefined || at > this.provenAt) {
      this.provenAt = at;
    }
  }
}
