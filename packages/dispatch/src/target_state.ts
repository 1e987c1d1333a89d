/**
 * State of one incarnation of a target: its allocations, its lease and its last
 * listing. An incarnation is one process lifetime of a target, identified by the
 * target's id and its start time.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Allocation} from './active_job.js';
import {FaultScore} from './fault_score.js';
import {MAX_COMMAND_DELAY_MS, MIN_CLOCK_RATE} from './settings.js';
import {type TargetInfo, formatIncarnationKey} from './target_info.js';

/** Weight of the newest ratio in the moving average. */
const NEWEST_DURATION_RATIO_WEIGHT = 0.15;

/**
 * Minimum number of ratios from which slowness is derived; durations of single
 * tasks differ by a third.
 */
const MIN_DURATION_RATIOS = 4;

/**
 * Highest plausible ratio, and the inverse of the lowest; larger deviations are
 * caused by the task and are clamped.
 */
const MAX_SLOWNESS = 4;

/**
 * Time after its due time from which on a response is late; a hundred times the
 * usual latency.
 */
const RESPONSE_GRACE_MS = 250;

/** Time by which a clock may be read later or earlier than it is assumed: rounding, and responses that wait to be processed. */
const CLOCK_TOLERANCE_MS: Milliseconds = 250;

/** The leader's state of one incarnation of a target. */
export class TargetState {
  /** Key of the incarnation; see `formatIncarnationKey`. */
  readonly key: string;
  /**
   * Runs that were released because their lease had expired while the target did
   * not respond. One of them may have crashed it, which only a later incarnation
   * proves.
   */
  lapsedRuns: Allocation[] = [];
  /** Allocations by task and run. */
  readonly allocations = new Map<string, Allocation>();
  /** Whether the registry lists this incarnation. */
  isRegistered = true;
  /** Whether a newer incarnation has replaced this one. */
  isRemoved = false;
  /** Whether this leader has received a listing. */
  hasListing = false;
  /** Whether the last poll was answered by this incarnation; another one may have replaced it since a call failed. */
  isIncarnationProven = false;
  lastResponseAt: Instant = -Infinity;
  /** Latest time at which the incarnation is known to have been alive. */
  aliveAt: Instant = -Infinity;
  /** Since when another incarnation may have replaced this one, by the registry or by a response; undefined if it has responded since. */
  contestedAt?: Instant;
  /** When the first call failed since the last response; undefined if none has. */
  unresponsiveSince?: Instant;
  /**
   * When the response to the poll in progress is due; Infinity if there is
   * none.
   */
  responseDueAt: Instant = Infinity;
  /** Number of the last end that was processed. */
  processedEnd = 0;
  /**
   * Number of the last end that is in the log; the target may forget ends up to
   * it.
   */
  recordedEnd = 0;
  /** Ends that must not be acknowledged before `until`, in the order of their numbers. */
  private heldEnds: Array<{number: number; until: Instant}> = [];
  /**
   * Clock of the newest listing that was applied; older listings are ignored.
   */
  lastListingClock = -1;
  /** Time at which every lease of the target has expired at the latest. */
  leaseExpiresAt: Instant;
  /** Time until which new runs are placed on other targets if these have room. */
  avoidUntil: Instant = -Infinity;
  /** Failures of runs for which the target may be at fault. */
  readonly faults = new FaultScore();
  /** When the target was first reported as draining. */
  drainingSince?: Instant;
  /**
   * Added to the epoch of commands to this incarnation. A late command to an
   * earlier incarnation of the same id carries a lower epoch and is refused.
   */
  epochOffset = 0;
  /**
   * Factor by which tasks take longer than usual on this target; at least 1.
   */
  slowness = 1;
  private durationRatio = 1;
  private durationRatioCount = 0;
  /** When the last call that may extend the lease was sent, to this incarnation or a former one. */
  private lastLeaseSentAt: Instant = -Infinity;
  private clockSample?: {clock: number; sentAt: Instant; at: Instant};
  private used: Demand = {cpu: 0, memoryMb: 0, accelerators: 0};
  private recordListener?: () => void;

  /**
   * `leaseExpiresAt` is the time at which all leases that previous leaders
   * granted have expired.
   */
  constructor(
    public info: TargetInfo,
    leaseExpiresAt: Instant,
  ) {
    this.key = formatIncarnationKey(info.id, info.born);
    this.leaseExpiresAt = leaseExpiresAt;
  }

  /** Allocates capacity for a run. */
  allocate(allocation: Allocation): void {
    this.allocations.set(
      formatRunKey(allocation.task, allocation.run),
      allocation,
    );
    this.addUsed(allocation.demand, 1);
  }

  /** Releases the capacity of a run. */
  release(allocation: Allocation): void {
    if (
      this.allocations.delete(formatRunKey(allocation.task, allocation.run))
    ) {
      this.addUsed(allocation.demand, -1);
    }
  }

  /** Finds the allocation of a run. */
  findAllocation(task: string, run: number): Allocation | undefined {
    return this.allocations.get(formatRunKey(task, run));
  }

  /** Whether an urgent unit has an allocation on the target. */
  hasUrgentWork(): boolean {
    for (const {unit} of this.allocations.values()) {
      if (unit?.job.accepted.terms.priority === 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the capacity that is not allocated. */
  computeFreeCapacity(): Demand {
    const {capacity} = this.info;
    return {
      cpu: capacity.cpu - this.used.cpu,
      memoryMb: capacity.memoryMb - this.used.memoryMb,
      accelerators: capacity.accelerators - this.used.accelerators,
    };
  }

  /** Whether the runs need more than the capacity, because it has shrunk. */
  get isOvercommitted(): boolean {
    return isNegative(this.computeFreeCapacity());
  }

  /** Called when the log has the ends up to `number`. */
  onEndsRecorded(number: number): void {
    this.recordedEnd = number;
    this.recordListener?.();
    this.recordListener = undefined;
  }

  /**
   * Keeps an end from being acknowledged until `until`, when no start command of
   * its run can be carried out any more. A later incarnation that carries one
   * out does not know of the end, which must not count by then.
   */
  holdEnd(number: number, until: Instant): void {
    this.heldEnds.push({number, until});
  }

  /** Whether an end is kept from being acknowledged. */
  hasHeldEnds(now: Instant): boolean {
    this.heldEnds = this.heldEnds.filter(({until}) => now <= until);
    return this.heldEnds.length > 0;
  }

  /** Returns the number of the last end that the target may forget. */
  findAcknowledgedEnd(now: Instant): number {
    const held = this.hasHeldEnds(now) ? this.heldEnds[0]!.number : Infinity;
    return Math.min(this.recordedEnd, held - 1);
  }

  /**
   * Registers a listener that is called once when more ends are in the log. It
   * replaces an earlier listener.
   */
  setRecordListener(listener: () => void): void {
    this.recordListener = listener;
  }

  /** Records that this incarnation responded at `now`, with its clock, to a call that was sent at `sentAt`. */
  onResponse(clock: number, sentAt: Instant, now: Instant): void {
    this.aliveAt = Math.max(this.aliveAt, sentAt);
    if (this.contestedAt !== undefined && sentAt >= this.contestedAt) {
      this.contestedAt = undefined;
    }
    this.lastResponseAt = now;
    this.responseDueAt = Infinity;
    this.unresponsiveSince = undefined;
    if (!this.clockSample || clock > this.clockSample.clock) {
      this.clockSample = {clock, sentAt, at: now};
    }
  }

  /**
   * Returns the lowest value that the target's clock can show now; undefined
   * before the first response.
   */
  estimateMinClock(now: Instant): number | undefined {
    if (!this.clockSample) {
      return undefined;
    }
    const {clock, at} = this.clockSample;
    return Math.floor(clock + (now - at) * MIN_CLOCK_RATE);
  }

  /**
   * Whether `clock`, of a response to a call that was sent at `sentAt`, fits the
   * clock of this incarnation, as far as that is known. That of another one
   * starts anew, at any value.
   */
  isOwnClock(clock: number, sentAt: Instant, now: Instant): boolean {
    if (!this.clockSample) {
      return true;
    }
    const {clock: sampled, sentAt: sampledAfter, at} = this.clockSample;
    const minClock = sampled + (sentAt - at) * MIN_CLOCK_RATE;
    const maxClock = sampled + (now - sampledAfter);
    return (
      clock >= minClock - CLOCK_TOLERANCE_MS &&
      clock <= maxClock + CLOCK_TOLERANCE_MS
    );
  }

  /** Records that another incarnation may have replaced this one. */
  onContested(now: Instant): void {
    this.contestedAt = now;
    this.isIncarnationProven = false;
  }

  /** Takes over what commands to the former incarnation may still do here, until this one has responded and refuses them. */
  onReplaced(former: TargetState, maxLease: Milliseconds): void {
    this.lastLeaseSentAt = Math.max(
      this.lastLeaseSentAt,
      former.lastLeaseSentAt,
    );
    this.leaseExpiresAt = Math.max(
      this.leaseExpiresAt,
      this.computeLateLeaseEnd(maxLease),
    );
  }

  /** Records a listing, which commands of earlier epochs cannot change any more: no lease lasts longer than one granted now. */
  onListed(now: Instant, maxLease: Milliseconds): void {
    this.leaseExpiresAt = Math.min(
      this.leaseExpiresAt,
      now + maxLease / MIN_CLOCK_RATE,
    );
  }

  /** Returns the time at which the leases have expired that commands without a response may still grant to a later incarnation. */
  computeLateLeaseEnd(maxLease: Milliseconds): Instant {
    return (
      this.lastLeaseSentAt + MAX_COMMAND_DELAY_MS + maxLease / MIN_CLOCK_RATE
    );
  }

  /**
   * Whether a run may be on a later incarnation: a start command for it may have
   * been carried out after this incarnation was last alive.
   */
  mayHaveMoved({mayStartUntil}: Allocation): boolean {
    return mayStartUntil > this.aliveAt;
  }

  /**
   * Records that a lease until `until` of the target's clock was sent. It
   * counts whether or not the target responds.
   */
  onLeaseSent(until: number, now: Instant): void {
    this.lastLeaseSentAt = now;
    if (this.clockSample) {
      const {clock, at} = this.clockSample;
      const expiresAt = at + (until - clock) / MIN_CLOCK_RATE;
      this.leaseExpiresAt = Math.max(this.leaseExpiresAt, expiresAt);
    }
  }

  /** When a response last continued the target's clock, which starts anew with each incarnation. */
  get lastClockAt(): Instant {
    return this.clockSample?.at ?? -Infinity;
  }

  /** Records the ratio of a run's actual to its expected duration. */
  recordDurationRatio(ratio: number): void {
    const boundedRatio = Math.min(
      MAX_SLOWNESS,
      Math.max(1 / MAX_SLOWNESS, ratio),
    );
    this.durationRatioCount++;
    const weight = Math.max(
      1 / this.durationRatioCount,
      NEWEST_DURATION_RATIO_WEIGHT,
    );
    this.durationRatio += (boundedRatio - this.durationRatio) * weight;
    if (this.durationRatioCount >= MIN_DURATION_RATIOS) {
      this.slowness = Math.max(1, this.durationRatio);
    }
  }

  /**
   * Whether the response to the poll in progress is overdue; targets respond
   * within milliseconds after the wait.
   */
  isResponseLate(now: Instant): boolean {
    return now > this.responseDueAt + RESPONSE_GRACE_MS;
  }

  /** Whether calls have failed, or the response to a poll is overdue, for `duration`. */
  isSilent(now: Instant, duration: Milliseconds): boolean {
    const since = Math.min(
      this.unresponsiveSince ?? Infinity,
      this.responseDueAt,
    );
    return now - since >= duration;
  }

  /**
   * Whether new runs should be placed on the target, regardless of its capacity.
   * `freshness` is the maximum age of the last response.
   */
  isSchedulable(now: Instant, freshness: Milliseconds): boolean {
    return this.isUsable(now, freshness) && !this.isAvoided(now);
  }

  /** Whether other targets should be used because runs have failed on this one. */
  isAvoided(now: Instant): boolean {
    return now < this.avoidUntil;
  }

  /** Whether new runs can be placed on the target, be it avoided or not. */
  isUsable(now: Instant, freshness: Milliseconds): boolean {
    return (
      this.isRegistered &&
      !this.isRemoved &&
      this.hasListing &&
      this.contestedAt === undefined &&
      !this.info.isDraining &&
      !this.isResponseLate(now) &&
      now - this.lastResponseAt <= freshness
    );
  }

  private addUsed(demand: Demand, sign: 1 | -1): void {
    this.used.cpu += sign * demand.cpu;
    this.used.memoryMb += sign * demand.memoryMb;
    this.used.accelerators += sign * demand.accelerators;
  }
}

/** Whether a resource is negative, as for free capacity that has shrunk below what runs need. */
export function isNegative({cpu, memoryMb, accelerators}: Demand): boolean {
  return cpu < 0 || memoryMb < 0 || accelerators < 0;
}

function formatRunKey(task: string, run: number): string {
  return `${task}#${run}`;
}
