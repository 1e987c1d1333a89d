/**
 * Tracks freshness: the age of the newest proof that the log was read to its
 * end.
 *
 * A read that reaches the log's end proves that the state was current when the
 * read was sent. Peers report such proofs with their age. Ages add up along a
 * chain of reports and are measured only with local monotonic clocks, so the
 * reported age is never below the true age.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';

/** The freshness that a peer reports. */
export interface RelayedFreshness {
  /** Offset up to which the peer has read the log. */
  offset: number;
  /** Age of the peer's proof when it made the report; the time since then is added to it. */
  freshnessAgeMs: Milliseconds;
}

/** Time between two calls of `detectPause` above which the process is considered to have been paused. */
export const PAUSE_THRESHOLD_MS = 1000;

/** Tracks the newest proof that this instance's state is current. */
export class FreshnessTracker {
  /** Latest time at which the state was proven to be current; undefined without a proof. */
  private provenAt: Instant | undefined;
  /** Newest reported proof for an offset that this instance has not reached yet. */
  private pendingProof: {offset: number; provenAt: Instant} | undefined;
  private lastTickAt: Instant | undefined;

  /** Handles a read that reached the log's end; `sentAt` is a time not after the read was sent. */
  onRead(sentAt: Instant): void {
    this.recordProof(sentAt);
  }

  /**
   * Handles a peer's report. `sentAt` is when this instance requested the
   * report, or another local time that is not after the peer made it.
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
      this.recordProof(provenAt);
    } else if (!this.pendingProof || provenAt > this.pendingProof.provenAt) {
      this.pendingProof = {offset: report.offset, provenAt};
    }
  }

  /** Handles that every record before `offset` has been folded into the state. */
  onOffsetReached(offset: number): void {
    if (this.pendingProof && offset >= this.pendingProof.offset) {
      this.recordProof(this.pendingProof.provenAt);
      this.pendingProof = undefined;
    }
  }

  /**
   * Detects pauses of the process. The caller calls this periodically; more
   * than `PAUSE_THRESHOLD_MS` between two calls means that the process was
   * paused, and all proofs are dropped. Returns whether a pause was detected.
   */
  detectPause(now: Instant): boolean {
    const wasPaused =
      this.lastTickAt !== undefined &&
      now - this.lastTickAt > PAUSE_THRESHOLD_MS;
    this.lastTickAt = now;
    if (wasPaused) {
      this.provenAt = undefined;
      this.pendingProof = undefined;
    }
    return wasPaused;
  }

  /** Returns the age of the newest proof; `Infinity` when there is none. */
  getAge(now: Instant): Milliseconds {
    return this.provenAt === undefined ? Infinity : now - this.provenAt;
  }

  /**
   * Returns whether the state was proven to be current within the last
   * `boundMs`. Also false after a pause that `detectPause` has not seen yet.
   */
  isFresh(now: Instant, boundMs: Milliseconds): boolean {
    const isPaused =
      this.lastTickAt !== undefined &&
      now - this.lastTickAt > PAUSE_THRESHOLD_MS;
    return !isPaused && this.getAge(now) <= boundMs;
  }

  private recordProof(at: Instant): void {
    if (this.provenAt === undefined || at > this.provenAt) {
      this.provenAt = at;
    }
  }
}
