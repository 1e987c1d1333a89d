/** Model of one attempt on one target: its reservation, its run and its end. */
import type {Term} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {
  LeaseReport,
  LeaseState,
  Reservation,
  StartCommand,
  StopCommand,
} from '../target_client.js';
import {TaskPlan} from './task_plan.js';

/** A start or an end of the tasks of one attempt on one target. */
export interface RunEvent {
  kind: 'started' | 'ended';
  target: string;
  jobId: string;
  attempt: number;
  term: Term;
  firstTask: number;
  tasks: number;
  /** State of the tasks after the event. */
  state: LeaseState;
  at: Instant;
}

interface Run {
  startedAt: Instant;
  resumedFromSeconds: number;
  plan: TaskPlan;
}

/** State machine of the lease of one attempt on one target. */
export class LeaseModel {
  term: Term;
  state: LeaseState = 'reserved';
  /** Processor limit of all tasks of the lease; infinite unless throttled. */
  processorLimit = Infinity;
  /** Time of the latest change of state. */
  changedAt: Instant;
  private expiresAt: Instant;
  private run?: Run;
  private savedSeconds = 0;
  private stopsAt?: Instant;
  private failedTask?: number;

  constructor(
    readonly reservation: Reservation,
    readonly createdAt: Instant,
    private readonly onRunEvent: (kind: RunEvent['kind'], at: Instant) => void,
  ) {
    this.term = reservation.term;
    this.changedAt = createdAt;
    this.expiresAt = createdAt + reservation.ttlMs;
  }

  /** Whether the attempt takes up capacity of the target. */
  get isOccupying(): boolean {
    return this.state === 'reserved' || this.state === 'running';
  }

  get isExpiredReservation(): boolean {
    return this.state === 'lapsed' && !this.run;
  }

  /** Processors that the tasks use now. */
  get processorsUsed(): number {
    if (!this.run || this.state !== 'running') {
      return 0;
    }
    const wanted = this.run.plan.usesProcessors ?? this.reservation.processors;
    return Math.min(this.processorLimit, wanted * this.reservation.tasks);
  }

  /** Extends the reservation until `ttlMs` from now. */
  extendReservation(ttlMs: number, now: Instant): void {
    if (this.state === 'reserved') {
      this.expiresAt = now + ttlMs;
    }
  }

  /** Returns whether a start that is based on this grant is in time. */
  isGrantValid(grantedAt: Instant, now: Instant): boolean {
    const deadline = grantedAt + this.reservation.ttlMs;
    return this.createdAt <= grantedAt && grantedAt <= now && now < deadline;
  }

  start(command: StartCommand, plan: TaskPlan, now: Instant): void {
    this.state = 'running';
    this.changedAt = now;
    this.term = command.term;
    this.savedSeconds = command.progressSeconds;
    this.run = {
      startedAt: now,
      resumedFromSeconds: command.progressSeconds,
      plan,
    };
    this.expiresAt = Math.max(now, command.grantedAt + command.leaseMs);
    this.onRunEvent('started', now);
  }

  /** Extends the lease of running tasks; never shortens it. */
  renew(term: Term, expiresAt: Instant): void {
    this.term = term;
    if (this.state === 'running') {
      this.expiresAt = Math.max(this.expiresAt, expiresAt);
    }
  }

  /** Stops the tasks, at once or after they have saved their progress. */
  stop(command: StopCommand, now: Instant): void {
    if (this.state !== 'running' || !this.run) {
      return;
    }
    const checkpointMs = this.run.plan.checkpointMs;
    const canSave =
      command.checkpoint &&
      this.reservation.checkpointable &&
      checkpointMs <= command.graceMs;
    if (!canSave) {
      this.end('stopped', now);
    } else if (this.stopsAt === undefined) {
      this.stopsAt = now + checkpointMs;
      this.expiresAt = Math.max(this.expiresAt, this.stopsAt + 1);
    }
  }

  /**
   * Applies all changes that are due by `now`. Reservations and leases expire
   * only if `expiring` says so.
   */
  advance(
    now: Instant,
    expiring: {reservations: boolean; leases: boolean},
  ): void {
    const isLapsed = expiring.reservations && this.expiresAt <= now;
    if (this.state === 'reserved' && isLapsed) {
      this.state = 'lapsed';
    }
    if (this.state !== 'running' || !this.run) {
      return;
    }
    const {plan, startedAt} = this.run;
    const {at, failedTask} = plan.findEnd(
      startedAt,
      this.run.resumedFromSeconds,
    );
    const expiresAt = expiring.leases ? this.expiresAt : Infinity;
    const next = Math.min(at, expiresAt, this.stopsAt ?? Infinity);
    if (next > now) {
      return;
    }
    if (next === this.stopsAt) {
      this.savedSeconds = this.computeProgressSeconds(next);
      this.end('stopped', next);
    } else if (next === expiresAt) {
      this.end('lapsed', next);
    } else {
      this.savedSeconds = this.computeProgressSeconds(next);
      this.failedTask = failedTask;
      this.end(failedTask === undefined ? 'succeeded' : 'failed', next);
    }
  }

  /** Stops the tasks because the target was killed. */
  kill(now: Instant): void {
    this.end('stopped', now);
  }

  report(now: Instant): LeaseReport {
    const isRunning = this.state === 'running';
    return {
      jobId: this.reservation.jobId,
      attempt: this.reservation.attempt,
      term: this.term,
      state: this.state,
      firstTask: this.reservation.firstTask,
      tasks: this.reservation.tasks,
      progressSeconds: isRunning
        ? this.computeProgressSeconds(now)
        : this.savedSeconds,
      ...(this.state === 'succeeded' && {
        results: this.run?.plan.createResults(),
      }),
      ...(this.failedTask !== undefined && {
        failedTask: this.failedTask,
        problem: 'the task ended with an error',
      }),
    };
  }

  private computeProgressSeconds(now: Instant): number {
    if (!this.run) {
      return 0;
    }
    return this.run.resumedFromSeconds + (now - this.run.startedAt) / 1000;
  }

  private end(state: LeaseState, at: Instant): void {
    const hasRun = this.state === 'running';
    this.state = state;
    this.changedAt = at;
    if (hasRun) {
      this.onRunEvent('ended', at);
    }
  }
}
