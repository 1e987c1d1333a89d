/** Starts gangs whole or not at all. */
import type {Assignment, Reason} from '@galenavalve/model';
import {createReason} from '@galenavalve/model';
import {
  type Clock,
  Failure,
  type Instant,
  type Logger,
  type Milliseconds,
  describeError,
  isFailure,
} from '@galenavalve/shared';
import {
  type AddressLookup,
  type GangMembers,
  type GangAttempt,
  createReservation,
  toLeaseKey,
  formatLeaseKey,
} from './gang_attempt.js';
import {
  type GangStopResult,
  GangStopper,
  type StopOptions,
} from './gang_stopper.js';
import type {TargetAddress, TargetClient} from './target_client.js';

/** Result of reserving a gang. */
export type ReservationResult =
  | {kind: 'reserved'; expiresAt: Instant}
  | {kind: 'refused'; culprit: string; reason: Reason};

/** Result of starting a gang. */
export type GangStartResult =
  | {kind: 'started'}
  | {
      kind: 'not-started';
      /** False only when no task has started, and none will. */
      mayHaveRun: boolean;
      culprit?: string;
      reason: Reason;
    };

/** Times of the start path. */
export interface GangStarterOptions {
  /** Time to live of a reservation, in milliseconds. */
  reservationTtlMs?: Milliseconds;
  callTimeoutMs: Milliseconds;
  /** Run time lease of a started task, in milliseconds. */
  leaseMs: Milliseconds;
}

/** What the starter works with. */
export interface GangStarterDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  clock: Clock;
  logger: Logger;
  options: GangStarterOptions;
}

const DEFAULT_RESERVATION_TTL_MS = 2000;

/** Part of its time to live after which a reservation is renewed. */
const RENEW_SHARE = 1 / 3;

/** Ends the members at once, without saving. */
const STOP_NOW: StopOptions = {checkpoint: false, graceMs: 0};

/** The reservations that a gang holds. */
interface HeldGang {
  /** Local deadline, before that of every target. */
  expiresAt: Instant;
  /** Latest grant by target, in the target's own clock. */
  grants: Map<string, number>;
}

/** The outcome of one call to one member. */
type MemberAnswer =
  | {target: string; kind: 'ok'; grantedAt: number}
  | {target: string; kind: 'refused' | 'unreachable'; problem: string};

/** Reserves, starts and stops gangs. */
export class GangStarter {
  private readonly held = new Map<string, HeldGang>();
  private readonly stopper: GangStopper;
  private readonly ttlMs: Milliseconds;

  constructor(private readonly parts: GangStarterDependencies) {
    const {callTimeoutMs, reservationTtlMs} = parts.options;
    this.stopper = new GangStopper({...parts, callTimeoutMs});
    this.ttlMs = reservationTtlMs ?? DEFAULT_RESERVATION_TTL_MS;
  }

  /** Reserves every member in parallel. After a refusal all are released. */
  async reserve(order: GangAttempt): Promise<ReservationResult> {
    const sentAt = this.parts.clock.now();
    const answers = await this.reserveAll(order);
    const failed = answers.find(answer => answer.kind !== 'ok');
    if (failed) {
      await this.release(order);
      const reason = createReason('waiting-targets', {
        target: failed.target,
        problem: failed.problem,
      });
      this.log('gang-refused', order, {reason});
      return {kind: 'refused', culprit: failed.target, reason};
    }
    const held = {expiresAt: sentAt + this.ttlMs, grants: grantsOf(answers)};
    this.held.set(formatLeaseKey(order), held);
    return {kind: 'reserved', expiresAt: held.expiresAt};
  }

  /** Renews the reservations until `until` or the abort, while an append is pending. */
  async renewReservations(
    order: GangAttempt,
    until: Instant,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.parts;
    while (!signal.aborted && clock.now() < until) {
      await clock.sleep(this.ttlMs * RENEW_SHARE, signal);
      const held = this.held.get(formatLeaseKey(order));
      if (signal.aborted || !held) {
        return;
      }
      const sentAt = clock.now();
      const answers = await this.reserveAll(order);
      if (answers.some(answer => answer.kind !== 'ok')) {
        continue;
      }
      held.expiresAt = sentAt + this.ttlMs;
      held.grants = grantsOf(answers);
    }
  }

  /** Releases reservations that will not be started. */
  async release(order: GangMembers): Promise<void> {
    this.held.delete(formatLeaseKey(order));
    await this.stopper.stop(order, STOP_NOW);
  }

  /**
   * Starts every member, or none. `isStillAllowed` is asked immediately before
   * the first order leaves, and gives the reason against the start, if any.
   */
  async start(
    order: GangAttempt,
    isStillAllowed: (now: Instant) => Reason | undefined,
  ): Promise<GangStartResult> {
    const now = this.parts.clock.now();
    const held = this.held.get(formatLeaseKey(order));
    const objection = this.findLapse(order, held, now) ?? isStillAllowed(now);
    if (objection || !held) {
      await this.release(order);
      return this.refuse(order, false, objection ?? lapseReason(order));
    }
    this.held.delete(formatLeaseKey(order));
    const answers = await Promise.all(
      order.assignments.map(item => this.startMember(order, item, held)),
    );
    const failed = answers.find(answer => answer.kind !== 'ok');
    if (!failed) {
      this.log('gang-started', order, {});
      return {kind: 'started'};
    }
    const stopped = await this.stopper.stop(order, STOP_NOW);
    const mayHaveRun = !isProvenUnstarted(order, answers, stopped);
    const reason = createReason('start-refused', {
      target: failed.target,
      problem: failed.problem,
    });
    return this.refuse(order, mayHaveRun, reason, failed.target);
  }

  /** Stops every member, and tells what became of it. */
  stop(order: GangMembers, options: StopOptions): Promise<GangStopResult> {
    this.held.delete(formatLeaseKey(order));
    return this.stopper.stop(order, options);
  }

  private reserveAll(order: GangAttempt): Promise<MemberAnswer[]> {
    return Promise.all(
      order.assignments.map(assignment =>
        this.ask(assignment.target, async address => {
          const reservation = createReservation(order, assignment, this.ttlMs);
          const {callTimeoutMs} = this.parts.options;
          const grant = await this.parts.client.reserve(
            address,
            reservation,
            callTimeoutMs,
          );
          return grant.grantedAt;
        }),
      ),
    );
  }

  private startMember(
    order: GangAttempt,
    {target}: Assignment,
    held: HeldGang,
  ): Promise<MemberAnswer> {
    return this.ask(target, async address => {
      const {callTimeoutMs, leaseMs} = this.parts.options;
      const grantedAt = held.grants.get(target) ?? 0;
      const startOrder = {
        ...toLeaseKey(order),
        term: order.term,
        grantedAt,
        leaseMs,
        progressSeconds: order.progressSeconds,
        payload: order.payload,
      };
      await this.parts.client.start(address, startOrder, callTimeoutMs);
      return grantedAt;
    });
  }

  private async ask(
    target: string,
    call: (address: TargetAddress) => Promise<number>,
  ): Promise<MemberAnswer> {
    try {
      const address = this.parts.findAddress(target);
      if (!address) {
        const problem = 'it is not in the inventory';
        throw new Failure('target-refused', {target, problem});
      }
      return {target, kind: 'ok', grantedAt: await call(address)};
    } catch (error) {
      const isRefusal = isFailure(error, 'target-refused');
      const kind = isRefusal ? 'refused' : 'unreachable';
      return {target, kind, problem: problemOf(error)};
    }
  }

  private findLapse(
    order: GangAttempt,
    held: HeldGang | undefined,
    now: Instant,
  ): Reason | undefined {
    const isHeld = held !== undefined && now < held.expiresAt;
    return isHeld ? undefined : lapseReason(order);
  }

  private refuse(
    order: GangAttempt,
    mayHaveRun: boolean,
    reason: Reason,
    culprit?: string,
  ): GangStartResult {
    this.log('gang-not-started', order, {mayHaveRun, culprit, reason});
    return {kind: 'not-started', mayHaveRun, culprit, reason};
  }

  private log(
    event: string,
    order: GangAttempt,
    fields: Record<string, unknown>,
  ): void {
    const targets = order.assignments.map(assignment => assignment.target);
    this.parts.logger.info(event, {...toLeaseKey(order), targets, ...fields});
  }
}

function grantsOf(answers: readonly MemberAnswer[]): Map<string, number> {
  const grants = new Map<string, number>();
  for (const answer of answers) {
    if (answer.kind === 'ok') {
      grants.set(answer.target, answer.grantedAt);
    }
  }
  return grants;
}

/**
 * Proof that no task has started and none will: each target refused the
 * start, or said at the stop that it had only a reservation.
 */
function isProvenUnstarted(
  order: GangMembers,
  answers: readonly MemberAnswer[],
  stopped: GangStopResult,
): boolean {
  const stateByFirstTask = new Map(
    stopped.reports.map(report => [report.firstTask, report.state]),
  );
  return order.assignments.every((assignment, i) => {
    const isReleased =
      stateByFirstTask.get(assignment.firstTask) === 'reserved';
    return answers[i]?.kind === 'refused' || isReleased;
  });
}

function lapseReason(order: GangAttempt): Reason {
  const target = order.assignments[0]?.target ?? '';
  const problem = 'the reservations lapsed before the start';
  return createReason('start-refused', {target, problem});
}

function problemOf(error: unknown): string {
  return isFailure(error) && typeof error.details.problem === 'string'
    ? error.details.problem
    : describeError(error);
}
