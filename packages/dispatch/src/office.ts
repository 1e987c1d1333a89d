/** Who dispatches: one instance at a time, by an epoch in the job log. */
import type {Instant, Milliseconds, Random} from '@galenavalve/shared';
import type {Leadership} from '@galenavalve/workload';

/** Lives of one target that a dispatcher can tell apart by its orders. */
export const MAX_LIVES = 256;

/** Rivals pick one of this many epochs of a term, so that they rarely pick the same. */
const EPOCHS_PER_TERM = 4096;

const TERM_SIZE = EPOCHS_PER_TERM * MAX_LIVES;

/** The holder writes at least this often. */
export const OFFICE_BEAT: Milliseconds = 400;

/** A holder that wrote nothing for this long has lost the office: two beats, and what a beat and its reading may take. */
export const OFFICE_SILENCE: Milliseconds = 1200;

/** Rivals wait a random part of this, so that they rarely claim together. */
const CLAIM_SPREAD: Milliseconds = 250;

/** A log that was silent itself says nothing of the holder. */
const LOG_FRESHNESS: Milliseconds = 900;

/** Watches the office from the records of the log. */
export class OfficeWatch {
  private lastSign: Instant;
  private lastRead: Instant = -Infinity;
  private patience: Milliseconds;

  constructor(
    now: Instant,
    private readonly random: Random,
  ) {
    this.lastSign = now;
    this.patience = this.drawPatience(OFFICE_SILENCE);
  }

  /** Any record of the holder proves that it holds the office. */
  onHolderRecord(leadership: Leadership | undefined, now: Instant): void {
    this.lastSign = now;
    const silence = leadership?.hasResigned ? 0 : OFFICE_SILENCE;
    this.patience = this.drawPatience(silence);
  }

  /** The log was read for the first time; its newest sign of a holder is `age` old. */
  onFirstSign(leadership: Leadership, age: Milliseconds, now: Instant): void {
    this.onHolderRecord(leadership, now);
    // The random part of the patience is left, so that not all claim at once.
    this.lastSign = now - Math.min(Math.max(0, age), OFFICE_SILENCE);
  }

  /** The log answered. While it did not, the holder could not write either. */
  onLogAnswer(now: Instant): void {
    if (now - this.lastRead > LOG_FRESHNESS + OFFICE_SILENCE) {
      this.lastSign = Math.max(this.lastSign, now - OFFICE_SILENCE / 2);
    }
    this.lastRead = now;
  }

  /** Whether the office is to be claimed now. */
  isVacant(now: Instant): boolean {
    const isLogFresh = now - this.lastRead <= LOG_FRESHNESS;
    return isLogFresh && now - this.lastSign >= this.patience;
  }

  /** Waits before the next claim after one that failed. */
  onClaimFailed(now: Instant): void {
    this.lastSign = now;
    this.patience = this.drawPatience(OFFICE_SILENCE / 2);
  }

  private drawPatience(base: Milliseconds): Milliseconds {
    return base + this.random.next() * CLAIM_SPREAD;
  }
}

/** An epoch above `leadership`'s that a rival is unlikely to pick as well; the values up to `MAX_LIVES` above it are its own. */
export function nextEpoch(
  leadership: Leadership | undefined,
  random: Random,
): number {
  const term = Math.floor((leadership?.epoch ?? 0) / TERM_SIZE) + 1;
  const choice = Math.floor(random.next() * EPOCHS_PER_TERM);
  return term * TERM_SIZE + choice * MAX_LIVES;
}
