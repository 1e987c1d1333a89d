/** Who dispatches: one instance at a time, by an epoch in the job log. */
import type {Instant, Milliseconds, Random} from '@galenavalve/shared';
import type {Leadership} from '@galenavalve/workload';

/** Lives of one target that a dispatcher can tell apart by its orders. */
export const MAX_LIVES = 256;

/** Rivals pick one of this many epochs of a term, so that they rarely pick the same. */
const EPOCHS_PER_TERM = 4096;

const TERM_SIZE = EPOCHS_PER_TERM * MAX_LIVES;

/** The holder writes at least this often. */
export const OFFICE_BEAT: Milliseconds = 300;

/** A holder that wrote nothing for this long has lost the office: a beat, and what its writing and its reading take on a log that is a hundred times slow. */
export const OFFICE_SILENCE: Milliseconds = 1200;

/** Each rank waits this much longer than the one before it: a claim is seen by then, if its instance lives. */
const RANK_STEP: Milliseconds = 70;

/** Ranks from this one on wait alike, but for the random part. */
const LAST_RANK = 5;

/** A random part of this is waited besides, so that instances that do not know each other rarely claim together. */
const CLAIM_SPREAD: Milliseconds = 60;

/** An instance with little processor waits this much longer: it would hold a large installation's office only to lose it. */
const WEAK_WAIT: Milliseconds = 400;

/** A log that was silent itself says nothing of the holder. */
const LOG_FRESHNESS: Milliseconds = 900;

/** Where an instance stands among those that could hold the office. */
export interface Standing {
  /** Number of instances that should hold it rather than this one. */
  rank: number;
  /** It has far less processor than others. */
  isWeak: boolean;
}

/** Watches the office from the records of the log. */
export class OfficeWatch {
  private lastSign: Instant;
  private lastRead: Instant = -Infinity;
  /** Surely nobody holds the office. */
  private isFree = false;
  private silence: Milliseconds = OFFICE_SILENCE;
  /** This instance's part of the random spread, drawn anew with each sign. */
  private draw: number;

  constructor(
    now: Instant,
    private readonly random: Random,
    private readonly standing: () => Standing,
  ) {
    this.lastSign = now;
    this.draw = random.next();
  }

  /** Any record of the holder proves that it holds the office. */
  onHolderRecord(leadership: Leadership | undefined, now: Instant): void {
    this.lastSign = now;
    this.isFree = false;
    this.silence = leadership?.hasResigned ? 0 : OFFICE_SILENCE;
    this.draw = this.random.next();
  }

  /** The log was read for the first time; its newest sign of a holder is `age` old. `isOwn`: the holder was a former life of this instance, so nobody holds the office. */
  onFirstSign(
    leadership: Leadership,
    age: Milliseconds,
    isOwn: boolean,
    now: Instant,
  ): void {
    this.onHolderRecord(leadership, now);
    this.isFree = isOwn;
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
    return isLogFresh && this.timeToClaim(now) <= 0;
  }

  /** Time until this instance may claim if no sign of a holder comes. */
  timeToClaim(now: Instant): Milliseconds {
    return this.isFree ? 0 : this.lastSign + this.silence + this.delay() - now;
  }

  /** Waits before the next claim after one that failed. */
  onClaimFailed(now: Instant): void {
    this.lastSign = now;
    this.isFree = false;
    this.silence = OFFICE_SILENCE / 2;
    this.draw = this.random.next();
  }

  /** Who should rather hold the office waits less; others may be known by now that were not at the last sign. */
  private delay(): Milliseconds {
    const standing = this.standing();
    const rank = Math.min(standing.rank, LAST_RANK);
    const spread = rank < LAST_RANK ? CLAIM_SPREAD : LAST_RANK * CLAIM_SPREAD;
    const wait = standing.isWeak ? WEAK_WAIT : 0;
    return rank * RANK_STEP + this.draw * spread + wait;
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
