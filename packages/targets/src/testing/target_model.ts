/** A target as a pure state machine: every call names the present time. */
import {NO_TERM, type Term, compareTerms, isSameTerm} from '@galenavalve/model';
import {Failure, type Instant, type Milliseconds} from '@galenavalve/shared';
import type {
  Grant,
  LeaseKey,
  LeaseReport,
  Renewal,
  Reservation,
  StartCommand,
  StopCommand,
  TargetReport,
  UsageReport,
} from '../target_client.js';
import {formatLeaseKey} from '../gang_attempt.js';
import {computeLeaseDigest} from '../lease_digest.js';
import {LeaseModel, type RunEvent} from './lease_model.js';
import {TaskPlan} from './task_plan.js';

/** What a target holds. */
export interface TargetCapacity {
  slots: number;
  accelerators: number;
  processors: number;
  memoryMb: number;
}

/** Checks that a test can switch off, to show what they prevent. */
export interface TargetGuards {
  /** Refuses lower terms. */
  terms: boolean;
  /** Ends reservations that were not renewed, and refuses a start without one. */
  reservations: boolean;
  /** Stops tasks whose lease was not renewed. */
  leases: boolean;
  /** Refuses new work while it is leaving. */
  leaving: boolean;
}

/** Settings of a modelled target. */
export interface TargetModelOptions {
  id: string;
  capacity: TargetCapacity;
  /** Time between two measurements of usage. */
  usageIntervalMs?: Milliseconds;
  guards?: Partial<TargetGuards>;
  /** Is told of each start and end of tasks. */
  onRun?: (event: RunEvent) => void;
}

/** What a report holds. */
interface ReportOptions {
  /** Leaves out leases that have not changed since then. */
  since?: Instant;
  withUsage?: boolean;
}

const ALL_GUARDS: TargetGuards = {
  terms: true,
  reservations: true,
  leases: true,
  leaving: true,
};
const DEFAULT_USAGE_LAG_MS = 5000;

/** One target, in memory. */
export class TargetModel {
  readonly id: string;
  readonly capacity: TargetCapacity;
  /** Whether it fails every task. */
  behavior: 'well' | 'fails-every-task' = 'well';
  /** Whether it refuses new work because it is about to go. */
  leaving = false;
  private term: Term = NO_TERM;
  private leases = new Map<string, LeaseModel>();
  private readonly guards: TargetGuards;
  private readonly usageLagMs: Milliseconds;
  private readonly onRun?: (event: RunEvent) => void;
  private usage: UsageReport[] = [];
  private measuredAt?: Instant;

  constructor(options: TargetModelOptions) {
    this.id = options.id;
    this.capacity = options.capacity;
    this.guards = {...ALL_GUARDS, ...options.guards};
    this.usageLagMs = options.usageIntervalMs ?? DEFAULT_USAGE_LAG_MS;
    this.onRun = options.onRun;
  }

  // Commands of schedulers

  reserve(order: Reservation, now: Instant): Grant {
    this.advance(now);
    this.checkTerm(order.term);
    const known = this.leases.get(formatLeaseKey(order));
    if (known && isSameTerm(known.term, order.term) && known.isOccupying) {
      known.extendReservation(order.ttlMs, now);
      return {grantedAt: now};
    }
    if (known) {
      throw this.refuse('the attempt has ended here');
    }
    this.checkRoom(order);
    const lease = new LeaseModel(order, now, (kind, at) =>
      this.observe(lease, kind, at),
    );
    this.leases.set(formatLeaseKey(order), lease);
    return {grantedAt: now};
  }

  start(order: StartCommand, now: Instant): void {
    this.advance(now);
    this.checkTerm(order.term);
    const lease = this.leases.get(formatLeaseKey(order));
    if (!lease) {
      throw this.refuse('there is no reservation');
    }
    if (lease.state !== 'reserved') {
      this.checkRepeatedStart(lease, order);
      return;
    }
    if (this.guards.reservations) {
      this.checkReservation(lease, order, now);
    }
    const {firstTask, tasks} = lease.reservation;
    const failsEveryTask = this.behavior === 'fails-every-task';
    const plan = new TaskPlan(order.payload, firstTask, tasks, failsEveryTask);
    lease.start(order, plan, now);
  }

  stop(order: StopCommand, now: Instant): LeaseReport | undefined {
    this.advance(now);
    this.checkTerm(order.term);
    const lease = this.leases.get(formatLeaseKey(order));
    if (lease?.state === 'reserved') {
      this.leases.delete(formatLeaseKey(order));
    }
    lease?.stop(order, now);
    return lease?.report(now);
  }

  renew(order: Renewal, now: Instant): TargetReport {
    this.advance(now);
    this.checkTerm(order.term);
    const isKnown =
      order.basedOn !== undefined && order.digest === this.digest();
    for (const lease of this.findRenewed(order, isKnown, now)) {
      lease.renew(order.term, (order.basedOn ?? now) + order.leaseMs);
    }
    for (const key of order.forget) {
      this.forget(key);
    }
    const since = isKnown ? order.basedOn : undefined;
    return this.report(now, {since, withUsage: order.withUsage === true});
  }

  fence(order: {term: Term}, now: Instant): TargetReport {
    this.advance(now);
    this.checkTerm(order.term);
    return this.report(now);
  }

  throttle(
    order: LeaseKey & {term: Term; processors: number},
    now: Instant,
  ): void {
    this.advance(now);
    this.checkTerm(order.term);
    const lease = this.leases.get(formatLeaseKey(order));
    if (!lease) {
      throw this.refuse('the attempt is not known');
    }
    lease.processorLimit = order.processors;
  }

  // Events

  /** Lets everything happen that is due by `now`. */
  advance(now: Instant): void {
    for (const [key, lease] of this.leases) {
      lease.advance(now, this.guards);
      if (lease.isExpiredReservation) {
        this.leases.delete(key);
      }
    }
    if (now - (this.measuredAt ?? -Infinity) >= this.usageLagMs) {
      this.measureUsage(now);
    }
  }

  /** Loses all leases, as a crash does. The highest term is kept. */
  restart(now: Instant): void {
    this.advance(now);
    for (const lease of this.leases.values()) {
      lease.kill(now);
    }
    this.leases = new Map();
    this.usage = [];
    this.measuredAt = undefined;
  }

  // Queries

  report(now: Instant, options: ReportOptions = {}): TargetReport {
    const {since, withUsage = true} = options;
    const leases = [...this.leases.values()].filter(
      lease => lease.changedAt >= (since ?? -Infinity),
    );
    return {
      target: this.id,
      clock: now,
      term: this.term,
      leaving: this.leaving,
      leases: leases.map(lease => lease.report(now)),
      ...(since !== undefined && {changesOnly: true}),
      usage: withUsage ? this.usage : [],
      usageAgeMs: now - (this.measuredAt ?? now),
    };
  }

  private digest(): string {
    const started = [...this.leases].filter(
      ([, lease]) => lease.state !== 'reserved',
    );
    return computeLeaseDigest(started.map(([key]) => key));
  }

  private findRenewed(
    order: Renewal,
    isKnown: boolean,
    now: Instant,
  ): LeaseModel[] {
    if (order.basedOn === undefined || order.basedOn > now) {
      return [];
    }
    if (order.renewsAll) {
      return isKnown ? [...this.leases.values()] : [];
    }
    return order.leases.flatMap(
      key => this.leases.get(formatLeaseKey(key)) ?? [],
    );
  }

  private checkTerm(term: Term): void {
    if (!this.guards.terms) {
      return;
    }
    const order = compareTerms(term, this.term);
    if (order < 0) {
      throw this.refuse('the term is lower than one seen before');
    }
    if (order > 0) {
      this.term = term;
      this.dropReservations();
    }
  }

  /** Reservations of a lower term can never be started. */
  private dropReservations(): void {
    for (const [key, lease] of this.leases) {
      if (lease.state === 'reserved') {
        this.leases.delete(key);
      }
    }
  }

  private checkRoom(order: Reservation): void {
    if (this.leaving && this.guards.leaving) {
      throw this.refuse('it is leaving');
    }
    const held = [...this.leases.values()]
      .filter(lease => lease.isOccupying)
      .map(lease => lease.reservation);
    const all = [...held, order];
    if (sum(all, item => item.tasks) > this.capacity.slots) {
      throw this.refuse('no slot is free');
    }
    const processors = sum(all, item => item.tasks * item.processors);
    if (processors > this.capacity.processors) {
      throw this.refuse('too few processors are free');
    }
    if (sum(all, item => item.tasks * item.memoryMb) > this.capacity.memoryMb) {
      throw this.refuse('too little memory is free');
    }
    if (held.some(item => item.accelerators & order.accelerators)) {
      throw this.refuse('an accelerator is taken');
    }
    if (order.accelerators >= 2 ** this.capacity.accelerators) {
      throw this.refuse('it has fewer accelerators');
    }
  }

  private checkReservation(
    lease: LeaseModel,
    order: StartCommand,
    now: Instant,
  ): void {
    if (this.leaving && this.guards.leaving) {
      throw this.refuse('it is leaving');
    }
    if (!isSameTerm(lease.term, order.term)) {
      throw this.refuse('the reservation is of another term');
    }
    if (!lease.isGrantValid(order.grantedAt, now)) {
      throw this.refuse('the reservation has lapsed');
    }
  }

  private checkRepeatedStart(lease: LeaseModel, order: StartCommand): void {
    const isDuplicate = isSameTerm(lease.term, order.term);
    if (!isDuplicate || lease.state === 'stopped' || lease.state === 'lapsed') {
      throw this.refuse('the attempt has ended here');
    }
  }

  private forget(key: LeaseKey): void {
    const lease = this.leases.get(formatLeaseKey(key));
    if (lease && !lease.isOccupying) {
      this.leases.delete(formatLeaseKey(key));
    }
  }

  private measureUsage(now: Instant): void {
    this.measuredAt = now;
    this.usage = [...this.leases.values()]
      .filter(lease => lease.state === 'running')
      .map(lease => ({
        jobId: lease.reservation.jobId,
        attempt: lease.reservation.attempt,
        processors: lease.processorsUsed,
        memoryMb: lease.reservation.memoryMb * lease.reservation.tasks,
      }));
  }

  private observe(
    lease: LeaseModel,
    kind: RunEvent['kind'],
    at: Instant,
  ): void {
    const {jobId, attempt, firstTask, tasks} = lease.reservation;
    const {state, term} = lease;
    this.onRun?.({
      kind,
      target: this.id,
      jobId,
      attempt,
      term,
      firstTask,
      tasks,
      state,
      at,
    });
  }

  private refuse(problem: string): Failure {
    return new Failure('target-refused', {target: this.id, problem});
  }
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
  return items.reduce((total, item) => total + valueOf(item), 0);
}
