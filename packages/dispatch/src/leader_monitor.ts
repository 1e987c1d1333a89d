/** Who dispatches: one instance at a time, by an epoch in the job log. */
import type {Instant, Milliseconds, Random} from '@galenavalve/shared';
import type {Leadership} from '@galenavalve/workload';

/** Lives of one target that a dispatcher can tell apart by its orders. */
export const MAX_INCARNATIONS = 256;

/** Rivals pick one of this many epochs of a term, so that they rarely pick the same. */
const EPOCH_CHOICES_PER_ROUND = 4096;

const EPOCH_VALUES_PER_ROUND = EPOCH_CHOICES_PER_ROUND * MAX_INCARNATIONS;

/** The holder writes at least this often. */
export const LEADER_HEARTBEAT_MS: Milliseconds = 300;

/** A holder that wrote nothing for this long has lost the office: a beat, and what its writing and its reading take on a log that is a hundred times slow. */
export const LEADER_TIMEOUT_MS: Milliseconds = 1200;

/** Each rank waits this much longer than the one before it: a claim is seen by then, if its instance lives. */
const CLAIM_DELAY_PER_RANK_MS: Milliseconds = 70;

/** Ranks from this one on wait alike, but for the random part. */
const MAX_DISTINCT_RANK = 5;

/** A random part of this is waited besides, so that instances that do not know each other rarely claim together. */
const CLAIM_JITTER_MS: Milliseconds = 60;

/** An instance with little processor waits this much longer: it would hold a large installation's office only to lose it. */
const WEAK_INSTANCE_DELAY_MS: Milliseconds = 400;

/** A log that was silent itself says nothing of the holder. */
const MAX_LOG_AGE_MS: Milliseconds = 900;

/** Where an instance stands among those that could hold the office. */
export interface CandidateRank {
  /** Number of instances that should hold it rather than this one. */
  rank: number;
  /** It has far less processor than others. */
  isWeak: boolean;
}

/** Watches the office from the records of the log. */
export class LeaderMonitor {
  private lastSign: Instant;
  private lastRead: Instant = -Infinity;
  /** Surely nobody holds the office. */
  private isFree = false;
  private silence: Milliseconds = LEADER_TIMEOUT_MS;
  /** This instance's part of the random spread, drawn anew with each sign. */
  private draw: number;

  constructor(
    now: Instant,
    private readonly random: Random,
    private readonly standing: () => CandidateRank,
  ) {
    this.lastSign = now;
    this.draw = random.next();
  }

  /** Any record of the holder proves that it holds the office. */
  onLeaderRecord(leadership: Leadership | undefined, now: Instant): void {
    this.lastSign = now;
    this.isFree = false;
    this.silence = leadership?.hasResigned ? 0 : LEADER_TIMEOUT_MS;
    this.draw = this.random.next();
  }

  /** The log was read for the first time; its newest sign of a holder is `age` old. `isOwn`: the holder was a former life of this instance, so nobody holds the office. */
  onInitialLeaderRecord(
    leadership: Leadership,
    age: Milliseconds,
    isOwn: boolean,
    now: Instant,
  ): void {
    this.onLeaderRecord(leadership, now);
    this.isFree = isOwn;
    // The random part of the patience is left, so that not all claim at once.
    this.lastSign = now - Math.min(Math.max(0, age), LEADER_TIMEOUT_MS);
  }

  /** The log answered. While it did not, the holder could not write either. */
  onLogResponse(now: Instant): void {
    if (now - this.lastRead > MAX_LOG_AGE_MS + LEADER_TIMEOUT_MS) {
      this.lastSign = Math.max(this.lastSign, now - LEADER_TIMEOUT_MS / 2);
    }
    this.lastRead = now;
  }

  /** Whether the office is to be claimed now. */
  isClaimDue(now: Instant): boolean {
    const isLogFresh = now - this.lastRead <= MAX_LOG_AGE_MS;
    return isLogFresh && this.computeTimeToClaim(now) <= 0;
  }

  /** Time until this instance may claim if no sign of a holder comes. */
  computeTimeToClaim(now: Instant): Milliseconds {
    return this.isFree ? 0 : this.lastSign + this.silence + this.delay() - now;
  }

  /** Waits before the next claim after one that failed. */
  onClaimFailed(now: Instant): void {
    this.lastSign = now;
    this.isFree = false;
    this.silence = LEADER_TIMEOUT_MS / 2;
    this.draw = this.random.next();
  }

  /** Who should rather hold the office waits less; others may be known by now that were not at the last sign. */
  private delay(): Milliseconds {
    const standing = this.standing();
    const rank = Math.min(standing.rank, MAX_DISTINCT_RANK);
    const spread =
      rank < MAX_DISTINCT_RANK
        ? CLAIM_JITTER_MS
        : MAX_DISTINCT_RANK * CLAIM_JITTER_MS;
    const wait = standing.isWeak ? WEAK_INSTANCE_DELAY_MS : 0;
    return rank * CLAIM_DELAY_PER_RANK_MS + this.draw * spread + wait;
  }
}

/** An epoch above `leadership`'s that a rival is unlikely to pick as well; the values up to `MAX_LIVES` above it are its own. */
export function chooseNextEpoch(
  leadership: Leadership | undefined,
  random: Random,
): number {
  const term =
    Math.floor((leadership?.epoch ?? 0) / EPOCH_VALUES_PER_ROUND) + 1;
  const choice = Math.floor(random.next() * EPOCH_CHOICES_PER_ROUND);
  return term * EPOCH_VALUES_PER_ROUND + choice * MAX_INCARNATIONS;
}
