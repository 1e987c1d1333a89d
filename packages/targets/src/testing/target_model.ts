/** Model of a target as a pure state machine; every call passes the current time. */
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

/** Capacity of a target. */
export interface TargetCapacity {
  slots: number;
  accelerators: number;
  processors: number;
  memoryMb: number;
}

/** Checks of a target that a test can disable, to show which faults they prevent. */
export interface TargetGuards {
  /** Refuses lower terms. */
  terms: boolean;
  /** Expires reservations that are not renewed, and refuses a start without a reservation. */
  reservations: boolean;
  /** Stops tasks whose lease is not renewed. */
  leases: boolean;
  /** Refuses new work while the target is leaving. */
  leaving: boolean;
}

/** Options of a target model. */
export interface TargetModelOptions {
  id: string;
  capacity: TargetCapacity;
  /** Time between two measurements of usage. */
  usageIntervalMs?: Milliseconds;
  guards?: Partial<TargetGuards>;
  /** Called at each start and end of tasks. */
  onRun?: (event: RunEvent) => void;
}

/** Contents of a report. */
interface ReportOptions {
  /** Leaves out leases that have not changed since this time. */
  since?: Instant;
  withUsage?: boolean;
}

const ALL_GUARDS: TargetGuards = {
  terms: true,
  reservations: true,
  leases: true,
  leaving: true,
};
const DEFAULT_USAGE_INTERVAL_MS = 5000;

/** One in-memory target. */
export class TargetModel {
  readonly id: string;
  readonly capacity: TargetCapacity;
  /** Whether it fails every task. */
  behavior: 'well' | 'fails-every-task' = 'well';
  /** Whether it refuses new work because it is about to leave. */
  leaving = false;
  private term: Term = NO_TERM;
  private leases = new Map<string, LeaseModel>();
  private readonly guards: TargetGuards;
  private readonly usageIntervalMs: Milliseconds;
  private readonly onRun?: (event: RunEvent) => void;
  private usage: UsageReport[] = [];
  private measuredAt?: Instant;

  constructor(options: TargetModelOptions) {
    this.id = options.id;
    this.capacity = options.capacity;
    this.guards = {...ALL_GUARDS, ...options.guards};
    this.usageIntervalMs = options.usageIntervalMs ?? DEFAULT_USAGE_INTERVAL_MS;
    this.onRun = options.onRun;
  }

  // Commands of schedulers

  reserve(request: Reservation, now: Instant): Grant {
    this.advance(now);
    this.checkTerm(request.term);
    const existing = this.leases.get(formatLeaseKey(request));
    if (
      existing &&
      isSameTerm(existing.term, request.term) &&
      existing.isOccupying
    ) {
      existing.extendReservation(request.ttlMs, now);
      return {grantedAt: now};
    }
    if (existing) {
      throw this.createRefusal('the attempt has ended on this target');
    }
    this.checkCapacity(request);
    const lease = new LeaseModel(request, now, (kind, at) =>
      this.emitRunEvent(lease, kind, at),
    );
    this.leases.set(formatLeaseKey(request), lease);
    return {grantedAt: now};
  }

  start(command: StartCommand, now: Instant): void {
    this.advance(now);
    this.checkTerm(command.term);
    const lease = this.leases.get(formatLeaseKey(command));
    if (!lease) {
      throw this.createRefusal('there is no reservation');
    }
    if (lease.state !== 'reserved') {
      this.checkRepeatedStart(lease, command);
      return;
    }
    if (this.guards.reservations) {
      this.checkReservation(lease, command, now);
    }
    const {firstTask, tasks} = lease.reservation;
    const failsEveryTask = this.behavior === 'fails-every-task';
    const plan = new TaskPlan(
      command.payload,
      firstTask,
      tasks,
      failsEveryTask,
    );
    lease.start(command, plan, now);
  }

  stop(command: StopCommand, now: Instant): LeaseReport | undefined {
    this.advance(now);
    this.checkTerm(command.term);
    const lease = this.leases.get(formatLeaseKey(command));
    if (lease?.state === 'reserved') {
      this.leases.delete(formatLeaseKey(command));
    }
    lease?.stop(command, now);
    return lease?.report(now);
  }

  renew(request: Renewal, now: Instant): TargetReport {
    this.advance(now);
    this.checkTerm(request.term);
    const isKnown =
      request.basedOn !== undefined && request.digest === this.computeDigest();
    for (const lease of this.findRenewed(request, isKnown, now)) {
      lease.renew(request.term, (request.basedOn ?? now) + request.leaseMs);
    }
    for (const key of request.forget) {
      this.removeEndedLease(key);
    }
    const since = isKnown ? request.basedOn : undefined;
    return this.report(now, {since, withUsage: request.withUsage === true});
  }

  fence(request: {term: Term}, now: Instant): TargetReport {
    this.advance(now);
    this.checkTerm(request.term);
    return this.report(now);
  }

  throttle(
    request: LeaseKey & {term: Term; processors: number},
    now: Instant,
  ): void {
    this.advance(now);
    this.checkTerm(request.term);
    const lease = this.leases.get(formatLeaseKey(request));
    if (!lease) {
      throw this.createRefusal('it has no lease of the attempt');
    }
    lease.processorLimit = request.processors;
  }

  // Events

  /** Applies all changes that are due by `now`. */
  advance(now: Instant): void {
    for (const [key, lease] of this.leases) {
      lease.advance(now, this.guards);
      if (lease.isExpiredReservation) {
        this.leases.delete(key);
      }
    }
    if (now - (this.measuredAt ?? -Infinity) >= this.usageIntervalMs) {
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

  /** Creates a report at `now`; holds all leases and usage by default. */
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

  private computeDigest(): string {
    const started = [...this.leases].filter(
      ([, lease]) => lease.state !== 'reserved',
    );
    return computeLeaseDigest(started.map(([key]) => key));
  }

  private findRenewed(
    request: Renewal,
    isKnown: boolean,
    now: Instant,
  ): LeaseModel[] {
    if (request.basedOn === undefined || request.basedOn > now) {
      return [];
    }
    if (request.renewsAll) {
      return isKnown ? [...this.leases.values()] : [];
    }
    return request.leases.flatMap(
      key => this.leases.get(formatLeaseKey(key)) ?? [],
    );
  }

  private checkTerm(term: Term): void {
    if (!this.guards.terms) {
      return;
    }
    const comparison = compareTerms(term, this.term);
    if (comparison < 0) {
      throw this.createRefusal('the term is lower than the highest one seen');
    }
    if (comparison > 0) {
      this.term = term;
      this.dropReservations();
    }
  }

  /** Drops reservations of lower terms, which can never be started. */
  private dropReservations(): void {
    for (const [key, lease] of this.leases) {
      if (lease.state === 'reserved') {
        this.leases.delete(key);
      }
    }
  }

  private checkCapacity(request: Reservation): void {
    if (this.leaving && this.guards.leaving) {
      throw this.createRefusal('it is leaving');
    }
    const occupied = [...this.leases.values()]
      .filter(lease => lease.isOccupying)
      .map(lease => lease.reservation);
    const reservations = [...occupied, request];
    if (
      sumBy(reservations, reservation => reservation.tasks) >
      this.capacity.slots
    ) {
      throw this.createRefusal('no slot is free');
    }
    const processors = sumBy(
      reservations,
      reservation => reservation.tasks * reservation.processors,
    );
    if (processors > this.capacity.processors) {
      throw this.createRefusal('too few processors are free');
    }
    if (
      sumBy(
        reservations,
        reservation => reservation.tasks * reservation.memoryMb,
      ) > this.capacity.memoryMb
    ) {
      throw this.createRefusal('too little memory is free');
    }
    if (
      occupied.some(
        reservation => reservation.accelerators & request.accelerators,
      )
    ) {
      throw this.createRefusal('an accelerator is taken');
    }
    if (request.accelerators >= 2 ** this.capacity.accelerators) {
      throw this.createRefusal('it has fewer accelerators');
    }
  }

  private checkReservation(
    lease: LeaseModel,
    command: StartCommand,
    now: Instant,
  ): void {
    if (this.leaving && this.guards.leaving) {
      throw this.createRefusal('it is leaving');
    }
    if (!isSameTerm(lease.term, command.term)) {
      throw this.createRefusal('the reservation has another term');
    }
    if (!lease.isGrantValid(command.grantedAt, now)) {
      throw this.createRefusal('the reservation has expired');
    }
  }

  private checkRepeatedStart(lease: LeaseModel, command: StartCommand): void {
    const isDuplicate = isSameTerm(lease.term, command.term);
    if (!isDuplicate || lease.state === 'stopped' || lease.state === 'lapsed') {
      throw this.createRefusal('the attempt has ended on this target');
    }
  }

  private removeEndedLease(key: LeaseKey): void {
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

  private emitRunEvent(
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

  private createRefusal(problem: string): Failure {
    return new Failure('target-refused', {target: this.id, problem});
  }
}

function sumBy<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((total, item) => total + getValue(item), 0);
}
