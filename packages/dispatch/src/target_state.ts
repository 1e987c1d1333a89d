/** One life of a target: its room, its lease, and what it last said. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Allocation} from './active_job.js';
import {MIN_CLOCK_RATE} from './settings.js';
import {type TargetInfo, formatIncarnationKey} from './target_info.js';

/** Weight of the newest run in a target's pace. */
const NEWEST_DURATION_RATIO_WEIGHT = 0.15;

/** Runs from which a target's pace can be read; single tasks differ by a third. */
const MIN_DURATION_RATIOS = 4;

/** Paces beyond this are taken as faults of the task. */
const MAX_SLOWNESS = 4;

/** An answer is late this long after it was due, in milliseconds: a hundred times the usual way. */
const RESPONSE_GRACE_MS = 250;

/** Books of one life of a target. */
export class TargetState {
  readonly key: string;
  readonly allocations = new Map<string, Allocation>();
  /** Whether the registry lists this life. */
  isRegistered = true;
  /** A newer life answers at its address. */
  isRemoved = false;
  /** Its first listing under this dispatcher came. */
  hasListing = false;
  lastResponseAt: Instant = -Infinity;
  /** When the answer to the listing under way is due; Infinity while none is. */
  responseDueAt: Instant = Infinity;
  /** Highest end that was taken into the books. */
  processedEnd = 0;
  /** Highest end that the log holds; targets may forget up to it. */
  recordedEnd = 0;
  /** Clock of the newest listing that was taken into the books. */
  lastListingClock = -1;
  /** No lease can be alive after this instant. */
  leaseExpiresAt: Instant;
  /** Not used for new runs before this instant. */
  avoidUntil: Instant = -Infinity;
  /** Failures in a row, for the length of the next avoidance. */
  consecutiveFailures = 0;
  /** When it was first said to drain. */
  drainingSince?: Instant;
  /**
   * Added to the epoch in orders to this life: an order to a former life of
   * the same id that arrives late is refused as of a lower epoch.
   */
  epochOffset = 0;
  /** Time that its tasks take relative to others; 1 is usual. */
  slowness = 1;
  private pace = 1;
  private paces = 0;
  private clockSample?: {clock: number; at: Instant};
  private used: Demand = {cpu: 0, memoryMb: 0, accelerators: 0};
  private recordListener?: () => void;

  /** `leaseOverAt`: when leases that others granted have surely ended. */
  constructor(
    public info: TargetInfo,
    leaseOverAt: Instant,
  ) {
    this.key = formatIncarnationKey(info.id, info.born);
    this.leaseExpiresAt = leaseOverAt;
  }

  /** Takes room for a run. */
  allocate(booking: Allocation): void {
    this.allocations.set(formatRunKey(booking.task, booking.run), booking);
    this.addUsed(booking.demand, 1);
  }

  /** Frees the room of a run. */
  release(booking: Allocation): void {
    if (this.allocations.delete(formatRunKey(booking.task, booking.run))) {
      this.addUsed(booking.demand, -1);
    }
  }

  /** The booking of a run. */
  findAllocation(task: string, run: number): Allocation | undefined {
    return this.allocations.get(formatRunKey(task, run));
  }

  /** Whether urgent work runs there. */
  hasUrgentWork(): boolean {
    for (const {unit} of this.allocations.values()) {
      if (unit?.job.accepted.terms.priority === 0) {
        return true;
      }
    }
    return false;
  }

  /** Room that no run takes. */
  computeFreeCapacity(): Demand {
    const {capacity} = this.info;
    return {
      cpu: capacity.cpu - this.used.cpu,
      memoryMb: capacity.memoryMb - this.used.memoryMb,
      accelerators: capacity.accelerators - this.used.accelerators,
    };
  }

  /** The log holds the ends up to `number`. */
  onEndsRecorded(number: number): void {
    this.recordedEnd = number;
    this.recordListener?.();
    this.recordListener = undefined;
  }

  /** Calls back once when more ends are recorded; a later call takes the place of an earlier one. */
  setRecordListener(listener: () => void): void {
    this.recordListener = listener;
  }

  /** Notes the target's clock, read between `sentAt` and `now`. */
  onResponse(clock: number, now: Instant): void {
    this.lastResponseAt = now;
    this.responseDueAt = Infinity;
    if (!this.clockSample || clock > this.clockSample.clock) {
      this.clockSample = {clock, at: now};
    }
  }

  /** The least that the target's clock can show now; undefined before it first answered. */
  estimateMinClock(now: Instant): number | undefined {
    if (!this.clockSample) {
      return undefined;
    }
    const {clock, at} = this.clockSample;
    return Math.floor(clock + (now - at) * MIN_CLOCK_RATE);
  }

  /** Notes that an order with this lease was sent; it counts whether or not it was answered. */
  onLeaseSent(until: number): void {
    if (this.clockSample) {
      const {clock, at} = this.clockSample;
      const over = at + (until - clock) / MIN_CLOCK_RATE;
      this.leaseExpiresAt = Math.max(this.leaseExpiresAt, over);
    }
  }

  /** Notes that a run took this many times as long as expected. */
  recordDurationRatio(ratio: number): void {
    const bounded = Math.min(MAX_SLOWNESS, Math.max(1 / MAX_SLOWNESS, ratio));
    this.paces++;
    const weight = Math.max(1 / this.paces, NEWEST_DURATION_RATIO_WEIGHT);
    this.pace += (bounded - this.pace) * weight;
    if (this.paces >= MIN_DURATION_RATIOS) {
      this.slowness = Math.max(1, this.pace);
    }
  }

  /** Whether a listing should have come by now: targets answer within milliseconds of the end of the wait. */
  isResponseLate(now: Instant): boolean {
    return now > this.responseDueAt + RESPONSE_GRACE_MS;
  }

  /** Whether new runs may go there, but for its room. */
  isSchedulable(now: Instant, freshness: Milliseconds): boolean {
    return (
      this.isRegistered &&
      !this.isRemoved &&
      this.hasListing &&
      !this.info.isDraining &&
      now >= this.avoidUntil &&
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

function formatRunKey(task: string, run: number): string {
  return `${task}#${run}`;
}
