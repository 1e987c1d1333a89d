/** Two-phase start of gangs: reserves every member, then starts every member or none. */
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

/** Timings of the gang starter. */
export interface GangStarterOptions {
  /** Time to live of a reservation; 2000 by default. */
  reservationTtlMs?: Milliseconds;
  callTimeoutMs: Milliseconds;
  /** Length of the first lease of started tasks. */
  leaseMs: Milliseconds;
}

/** Dependencies of a gang starter. */
export interface GangStarterDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  clock: Clock;
  logger: Logger;
  options: GangStarterOptions;
}

const DEFAULT_RESERVATION_TTL_MS = 2000;

/** Share of its time to live after which a reservation is renewed. */
const RENEWAL_TTL_SHARE = 1 / 3;

/** Stops the members at once, without a checkpoint. */
const STOP_NOW: StopOptions = {checkpoint: false, graceMs: 0};

/** The reservations of one gang. */
interface GangReservation {
  /** Local expiry time, which is earlier than that of every target. */
  expiresAt: Instant;
  /** Latest grant by target, in milliseconds of the target's own clock. */
  grants: Map<string, number>;
}

/** The response to one call to one member. */
type MemberResponse =
  | {target: string; kind: 'ok'; grantedAt: number}
  | {target: string; kind: 'refused' | 'unreachable'; problem: string};

/** Reserves, starts and stops gangs. */
export class GangStarter {
  private readonly reservations = new Map<string, GangReservation>();
  private readonly stopper: GangStopper;
  private readonly ttlMs: Milliseconds;

  constructor(private readonly dependencies: GangStarterDependencies) {
    const {callTimeoutMs, reservationTtlMs} = dependencies.options;
    this.stopper = new GangStopper({...dependencies, callTimeoutMs});
    this.ttlMs = reservationTtlMs ?? DEFAULT_RESERVATION_TTL_MS;
  }

  /** Reserves every member in parallel. If one is refused or unreachable, all are released. */
  async reserve(gangAttempt: GangAttempt): Promise<ReservationResult> {
    const sentAt = this.dependencies.clock.now();
    const responses = await this.reserveAll(gangAttempt);
    const failed = responses.find(response => response.kind !== 'ok');
    if (failed) {
      await this.release(gangAttempt);
      const reason = createReason('waiting-targets', {
        target: failed.target,
        problem: failed.problem,
      });
      this.log('gang-refused', gangAttempt, {reason});
      return {kind: 'refused', culprit: failed.target, reason};
    }
    const reservation = {
      expiresAt: sentAt + this.ttlMs,
      grants: collectGrants(responses),
    };
    this.reservations.set(formatLeaseKey(gangAttempt), reservation);
    return {kind: 'reserved', expiresAt: reservation.expiresAt};
  }

  /** Renews the reservations while an append is pending, until `until` or the abort. */
  async renewReservations(
    gangAttempt: GangAttempt,
    until: Instant,
    signal: AbortSignal,
  ): Promise<void> {
    const {clock} = this.dependencies;
    while (!signal.aborted && clock.now() < until) {
      await clock.sleep(this.ttlMs * RENEWAL_TTL_SHARE, signal);
      const reservation = this.reservations.get(formatLeaseKey(gangAttempt));
      if (signal.aborted || !reservation) {
        return;
      }
      const sentAt = clock.now();
      const responses = await this.reserveAll(gangAttempt);
      if (responses.some(response => response.kind !== 'ok')) {
        continue;
      }
      reservation.expiresAt = sentAt + this.ttlMs;
      reservation.grants = collectGrants(responses);
    }
  }

  /** Releases reservations that are not going to be started. */
  async release(gangAttempt: GangMembers): Promise<void> {
    this.reservations.delete(formatLeaseKey(gangAttempt));
    await this.stopper.stop(gangAttempt, STOP_NOW);
  }

  /**
   * Starts every member or none. `findStartBlocker` is called immediately before
   * the first start command is sent, and returns the reason why the gang must not
   * start, if any.
   */
  async start(
    gangAttempt: GangAttempt,
    findStartBlocker: (now: Instant) => Reason | undefined,
  ): Promise<GangStartResult> {
    const now = this.dependencies.clock.now();
    const reservation = this.reservations.get(formatLeaseKey(gangAttempt));
    const blocker =
      this.findExpiredReason(gangAttempt, reservation, now) ??
      findStartBlocker(now);
    if (blocker || !reservation) {
      await this.release(gangAttempt);
      return this.createNotStartedResult(
        gangAttempt,
        false,
        blocker ?? createExpiredReason(gangAttempt),
      );
    }
    this.reservations.delete(formatLeaseKey(gangAttempt));
    const responses = await Promise.all(
      gangAttempt.assignments.map(assignment =>
        this.startMember(gangAttempt, assignment, reservation),
      ),
    );
    const failed = responses.find(response => response.kind !== 'ok');
    if (!failed) {
      this.log('gang-started', gangAttempt, {});
      return {kind: 'started'};
    }
    const stopResult = await this.stopper.stop(gangAttempt, STOP_NOW);
    const mayHaveRun = !isProvenUnstarted(gangAttempt, responses, stopResult);
    const reason = createReason('start-refused', {
      target: failed.target,
      problem: failed.problem,
    });
    return this.createNotStartedResult(
      gangAttempt,
      mayHaveRun,
      reason,
      failed.target,
    );
  }

  /** Stops every member, and returns the final state of each. */
  stop(
    gangAttempt: GangMembers,
    options: StopOptions,
  ): Promise<GangStopResult> {
    this.reservations.delete(formatLeaseKey(gangAttempt));
    return this.stopper.stop(gangAttempt, options);
  }

  private reserveAll(gangAttempt: GangAttempt): Promise<MemberResponse[]> {
    return Promise.all(
      gangAttempt.assignments.map(assignment =>
        this.callMember(assignment.target, async address => {
          const reservation = createReservation(
            gangAttempt,
            assignment,
            this.ttlMs,
          );
          const {callTimeoutMs} = this.dependencies.options;
          const grant = await this.dependencies.client.reserve(
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
    gangAttempt: GangAttempt,
    {target}: Assignment,
    reservation: GangReservation,
  ): Promise<MemberResponse> {
    return this.callMember(target, async address => {
      const {callTimeoutMs, leaseMs} = this.dependencies.options;
      const grantedAt = reservation.grants.get(target) ?? 0;
      const command = {
        ...toLeaseKey(gangAttempt),
        term: gangAttempt.term,
        grantedAt,
        leaseMs,
        progressSeconds: gangAttempt.progressSeconds,
        payload: gangAttempt.payload,
      };
      await this.dependencies.client.start(address, command, callTimeoutMs);
      return grantedAt;
    });
  }

  private async callMember(
    target: string,
    call: (address: TargetAddress) => Promise<number>,
  ): Promise<MemberResponse> {
    try {
      const address = this.dependencies.findAddress(target);
      if (!address) {
        const problem = 'it is not in the inventory';
        throw new Failure('target-refused', {target, problem});
      }
      return {target, kind: 'ok', grantedAt: await call(address)};
    } catch (error) {
      const isRefusal = isFailure(error, 'target-refused');
      const kind = isRefusal ? 'refused' : 'unreachable';
      return {target, kind, problem: describeProblem(error)};
    }
  }

  private findExpiredReason(
    gangAttempt: GangAttempt,
    reservation: GangReservation | undefined,
    now: Instant,
  ): Reason | undefined {
    const isReserved = reservation !== undefined && now < reservation.expiresAt;
    return isReserved ? undefined : createExpiredReason(gangAttempt);
  }

  private createNotStartedResult(
    gangAttempt: GangAttempt,
    mayHaveRun: boolean,
    reason: Reason,
    culprit?: string,
  ): GangStartResult {
    this.log('gang-not-started', gangAttempt, {mayHaveRun, culprit, reason});
    return {kind: 'not-started', mayHaveRun, culprit, reason};
  }

  private log(
    event: string,
    gangAttempt: GangAttempt,
    fields: Record<string, unknown>,
  ): void {
    const targets = gangAttempt.assignments.map(
      assignment => assignment.target,
    );
    this.dependencies.logger.info(event, {
      ...toLeaseKey(gangAttempt),
      targets,
      ...fields,
    });
  }
}

function collectGrants(
  responses: readonly MemberResponse[],
): Map<string, number> {
  const grants = new Map<string, number>();
  for (const response of responses) {
    if (response.kind === 'ok') {
      grants.set(response.target, response.grantedAt);
    }
  }
  return grants;
}

/**
 * Returns whether no task has started or will start: each target refused the
 * start, or reported at the stop that it had only a reservation.
 */
function isProvenUnstarted(
  gangAttempt: GangMembers,
  responses: readonly MemberResponse[],
  stopResult: GangStopResult,
): boolean {
  const stateByFirstTask = new Map(
    stopResult.reports.map(report => [report.firstTask, report.state]),
  );
  return gangAttempt.assignments.every((assignment, i) => {
    const isReleased =
      stateByFirstTask.get(assignment.firstTask) === 'reserved';
    return responses[i]?.kind === 'refused' || isReleased;
  });
}

function createExpiredReason(gangAttempt: GangAttempt): Reason {
  const target = gangAttempt.assignments[0]?.target ?? '';
  const problem = 'the reservations expired before the start';
  return createReason('start-refused', {target, problem});
}

function describeProblem(error: unknown): string {
  return isFailure(error) && typeof error.details.problem === 'string'
    ? error.details.problem
    : describeError(error);
}
