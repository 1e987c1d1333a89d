/** One life of a target: its room, its lease, and what it last said. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Booking} from './runs.js';
import {SLOWEST_CLOCK} from './settings.js';
import {type TargetInfo, lifeKey} from './target_info.js';

/** Weight of the newest run in a target's pace. */
const PACE_WEIGHT = 0.15;

/** Runs from which a target's pace can be read; single tasks differ by a third. */
const READABLE_PACES = 4;

/** Paces beyond this are taken as faults of the task. */
const MOST_SLOWNESS = 4;

/** An answer is late this long after it was due, in milliseconds: a hundred times the usual way. */
const LATE_ANSWER = 250;

/** Books of one life of a target. */
export class TargetRoom {
  readonly key: string;
  readonly bookings = new Map<string, Booking>();
  /** Whether the registry lists this life. */
  isListed = true;
  /** A newer life answers at its address. */
  isOver = false;
  /** Its first listing under this dispatcher came. */
  hasAnswered = false;
  lastAnswerAt: Instant = -Infinity;
  /** When the answer to the listing under way is due; Infinity while none is. */
  answerDueAt: Instant = Infinity;
  /** Highest end that was taken into the books. */
  seenEnd = 0;
  /** Highest end that the log holds; targets may forget up to it. */
  recordedEnd = 0;
  /** Clock of the newest listing that was taken into the books. */
  listedClock = -1;
  /** No lease can be alive after this instant. */
  leaseOverAt: Instant;
  /** Not used for new runs before this instant. */
  avoidUntil: Instant = -Infinity;
  /** Failures in a row, for the length of the next avoidance. */
  strikes = 0;
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
    this.key = lifeKey(info.id, info.born);
    this.leaseOverAt = leaseOverAt;
  }

  /** Takes room for a run. */
  book(booking: Booking): void {
    this.bookings.set(runKey(booking.task, booking.run), booking);
    this.addUsed(booking.demand, 1);
  }

  /** Frees the room of a run. */
  release(booking: Booking): void {
    if (this.bookings.delete(runKey(booking.task, booking.run))) {
      this.addUsed(booking.demand, -1);
    }
  }

  /** The booking of a run. */
  find(task: string, run: number): Booking | undefined {
    return this.bookings.get(runKey(task, run));
  }

  /** Whether urgent work runs there. */
  hasUrgentWork(): boolean {
    for (const {unit} of this.bookings.values()) {
      if (unit?.job.job.terms.priority === 0) {
        return true;
      }
    }
    return false;
  }

  /** Room that no run takes. */
  free(): Demand {
    const {capacity} = this.info;
    return {
      cpu: capacity.cpu - this.used.cpu,
      memoryMb: capacity.memoryMb - this.used.memoryMb,
      accelerators: capacity.accelerators - this.used.accelerators,
    };
  }

  /** The log holds the ends up to `number`. */
  onRecorded(number: number): void {
    this.recordedEnd = number;
    this.recordListener?.();
    this.recordListener = undefined;
  }

  /** Calls back once when more ends are recorded; a later call takes the place of an earlier one. */
  onceRecorded(listener: () => void): void {
    this.recordListener = listener;
  }

  /** Notes the target's clock, read between `sentAt` and `now`. */
  onAnswer(clock: number, now: Instant): void {
    this.lastAnswerAt = now;
    this.answerDueAt = Infinity;
    if (!this.clockSample || clock > this.clockSample.clock) {
      this.clockSample = {clock, at: now};
    }
  }

  /** The least that the target's clock can show now; undefined before it first answered. */
  leastClock(now: Instant): number | undefined {
    if (!this.clockSample) {
      return undefined;
    }
    const {clock, at} = this.clockSample;
    return Math.floor(clock + (now - at) * SLOWEST_CLOCK);
  }

  /** Notes that an order with this lease was sent; it counts whether or not it was answered. */
  onLeaseSent(until: number): void {
    if (this.clockSample) {
      const {clock, at} = this.clockSample;
      const over = at + (until - clock) / SLOWEST_CLOCK;
      this.leaseOverAt = Math.max(this.leaseOverAt, over);
    }
  }

  /** Notes that a run took this many times as long as expected. */
  notePace(ratio: number): void {
    const bounded = Math.min(MOST_SLOWNESS, Math.max(1 / MOST_SLOWNESS, ratio));
    this.paces++;
    const weight = Math.max(1 / this.paces, PACE_WEIGHT);
    this.pace += (bounded - this.pace) * weight;
    if (this.paces >= READABLE_PACES) {
      this.slowness = Math.max(1, this.pace);
    }
  }

  /** Whether a listing should have come by now: targets answer within milliseconds of the end of the wait. */
  isAnswerLate(now: Instant): boolean {
    return now > this.answerDueAt + LATE_ANSWER;
  }

  /** Whether new runs may go there, but for its room. */
  isOpen(now: Instant, freshness: Milliseconds): boolean {
    return (
      this.isListed &&
      !this.isOver &&
      this.hasAnswered &&
      !this.info.isDraining &&
      now >= this.avoidUntil &&
      !this.isAnswerLate(now) &&
      now - this.lastAnswerAt <= freshness
    );
  }

  private addUsed(demand: Demand, sign: 1 | -1): void {
    this.used.cpu += sign * demand.cpu;
    this.used.memoryMb += sign * demand.memoryMb;
    this.used.accelerators += sign * demand.accelerators;
  }
}

function runKey(task: string, run: number): string {
  return `${task}#${run}`;
}
