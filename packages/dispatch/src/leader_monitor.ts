/**
 * Leader election: one instance leads at a time, identified by an epoch in the
 * job log.
 */
import type {Instant, Milliseconds, Random} from '@galenavalve/shared';
import type {Leadership} from '@galenavalve/workload';

/**
 * Number of incarnations of one target that the epochs of a leader's commands
 * can tell apart: a command to the nth incarnation of a target that the leader
 * has seen carries the leader's epoch plus n, counted from 0. So a target
 * refuses late commands to its former incarnations.
 */
export const MAX_INCARNATIONS = 256;

/**
 * Each claimant picks one of this many epochs of a round at random. Concurrent
 * claimants are in the same round, and rarely pick the same epoch.
 */
const EPOCH_CHOICES_PER_ROUND = 4096;

/**
 * Size of a round. A claim uses the round after that of the newest leader, so
 * its epoch is higher than those of all earlier commands and records.
 */
const EPOCH_VALUES_PER_ROUND = EPOCH_CHOICES_PER_ROUND * MAX_INCARNATIONS;

/** Maximum interval between two appends of the leader. */
export const LEADER_HEARTBEAT_MS: Milliseconds = 300;

/**
 * Time without a record of the leader after which leadership can be claimed:
 * one heartbeat interval plus the latency of an append and a read on a log that
 * is a hundred times slower than usual.
 */
export const LEADER_TIMEOUT_MS: Milliseconds = 1200;

/**
 * Additional claim delay per rank; long enough to see the claim of the
 * preceding rank if that instance is alive.
 */
const CLAIM_DELAY_PER_RANK_MS: Milliseconds = 70;

/** Instances from this rank on share one delay, plus jitter. */
const MAX_DISTINCT_RANK = 5;

/**
 * Jitter added to the claim delay, so that instances which do not know of each
 * other rarely claim at the same time.
 */
const CLAIM_JITTER_MS: Milliseconds = 60;

/**
 * Additional claim delay of an instance with little processor time, which would
 * soon lose the leadership of a large cluster again.
 */
const WEAK_INSTANCE_DELAY_MS: Milliseconds = 400;

/**
 * Age of the last response of the log up to which a missing heartbeat counts
 * against the leader rather than the log.
 */
const MAX_LOG_AGE_MS: Milliseconds = 900;

/** Position of an instance among the candidates for leadership. */
export interface CandidateRank {
  /** Number of instances that should lead in preference to this one. */
  rank: number;
  /** Whether the instance has much less processor time than others. */
  isWeak: boolean;
}

/**
 * Tracks from the records of the log whether there is a leader and when to
 * claim leadership.
 */
export class LeaderMonitor {
  private lastRecordAt: Instant;
  private lastReadAt: Instant = -Infinity;
  /** Whether it is certain that no instance leads. */
  private isLeaderless = false;
  private leaderTimeout: Milliseconds = LEADER_TIMEOUT_MS;
  /**
   * Random share of the jitter, from 0 to 1; drawn again with every record of a
   * leader.
   */
  private jitterShare: number;

  constructor(
    now: Instant,
    private readonly random: Random,
    private readonly getCandidateRank: () => CandidateRank,
  ) {
    this.lastRecordAt = now;
    this.jitterShare = random.next();
  }

  /**
   * Called for any record that only the leader writes. `leadership` is
   * undefined for records other than heartbeats, claims and resignations.
   */
  onLeaderRecord(leadership: Leadership | undefined, now: Instant): void {
    this.lastRecordAt = now;
    this.isLeaderless = false;
    this.leaderTimeout = leadership?.hasResigned ? 0 : LEADER_TIMEOUT_MS;
    this.jitterShare = this.random.next();
  }

  /**
   * Called when the log was read for the first time and its newest leadership
   * record is `age` milliseconds old. `isOwn` means that the leader was an
   * earlier incarnation of this instance, so there is no leader now.
   */
  onInitialLeaderRecord(
    leadership: Leadership,
    age: Milliseconds,
    isOwn: boolean,
    now: Instant,
  ): void {
    this.onLeaderRecord(leadership, now);
    this.isLeaderless = isOwn;
    // The age is limited, so that the jitter still keeps instances from
    // claiming at the same time.
    this.lastRecordAt = now - Math.min(Math.max(0, age), LEADER_TIMEOUT_MS);
  }

  /**
   * Called for every response of the log, after its records. While the log did
   * not respond, the leader could not write either. Records in the first
   * response after that may be from before, so they do not show that the leader
   * is alive.
   */
  onLogResponse(now: Instant): void {
    if (now - this.lastReadAt > MAX_LOG_AGE_MS + LEADER_TIMEOUT_MS) {
      this.lastRecordAt = now - LEADER_TIMEOUT_MS / 2;
    }
    this.lastReadAt = now;
  }

  /** Whether to claim leadership now. */
  isClaimDue(now: Instant): boolean {
    const isLogFresh = now - this.lastReadAt <= MAX_LOG_AGE_MS;
    return isLogFresh && this.computeTimeToClaim(now) <= 0;
  }

  /**
   * Returns the time until this instance may claim leadership if no record of a
   * leader arrives; zero or less if it may now.
   */
  computeTimeToClaim(now: Instant): Milliseconds {
    return this.isLeaderless
      ? 0
      : this.lastRecordAt + this.leaderTimeout + this.computeClaimDelay() - now;
  }

  /** Backs off after a failed claim. */
  onClaimFailed(now: Instant): void {
    this.lastRecordAt = now;
    this.isLeaderless = false;
    this.leaderTimeout = LEADER_TIMEOUT_MS / 2;
    this.jitterShare = this.random.next();
  }

  /**
   * Returns the delay by rank, so that preferred candidates claim first. The
   * rank is read again on each call, since more instances may be known than at
   * the last record.
   */
  private computeClaimDelay(): Milliseconds {
    const candidate = this.getCandidateRank();
    const rank = Math.min(candidate.rank, MAX_DISTINCT_RANK);
    const maxJitter =
      rank < MAX_DISTINCT_RANK
        ? CLAIM_JITTER_MS
        : MAX_DISTINCT_RANK * CLAIM_JITTER_MS;
    const wait = candidate.isWeak ? WEAK_INSTANCE_DELAY_MS : 0;
    return rank * CLAIM_DELAY_PER_RANK_MS + this.jitterShare * maxJitter + wait;
  }
}

/**
 * Chooses the epoch of a claim. It is composed of a round, one above that of
 * `leadership`, a random choice within the round, and `MAX_INCARNATIONS` values
 * that are left for the incarnation offsets of commands. The round fences the
 * previous leader, the choice distinguishes concurrent claimants, and the
 * offset distinguishes commands to successive incarnations of a target.
 */
export function chooseNextEpoch(
  leadership: Leadership | undefined,
  random: Random,
): number {
  const round =
    Math.floor((leadership?.epoch ?? 0) / EPOCH_VALUES_PER_ROUND) + 1;
  const choice = Math.floor(random.next() * EPOCH_CHOICES_PER_ROUND);
  return round * EPOCH_VALUES_PER_ROUND + choice * MAX_INCARNATIONS;
}
