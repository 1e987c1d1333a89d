/**
 * Sends start and stop commands, and retries each until its outcome is known.
 */
import type {Clock, Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {CallPacer} from './call_pacer.js';
import type {RunTracker} from './run_tracker.js';
import type {Allocation, ActiveUnit} from './active_job.js';
import {
  GANG_START_TIMEOUT_SHARE,
  LEASE_MARGIN_MS,
  COMMAND_RETRY_DELAY_MS,
  COMMAND_TIMEOUT_MS,
  MAX_COMMAND_DELAY_MS,
  type DispatchSettings,
} from './settings.js';
import type {CommandOutcome, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';

/**
 * Retries of a start command. The limit is the same for single tasks and gangs,
 * so that both give up after the same time if a target is cut off.
 */
const MAX_START_RETRIES = 6;

/** Delays of the early listings of an urgent run, each after the one before. */
const EARLY_CHECK_DELAYS_MS: readonly Milliseconds[] = [400, 350, 400];

/** What the command sender needs from the dispatcher. */
export interface CommandDelegate {
  readonly epoch: number;
  /** Whether leadership has ended. */
  readonly isClosed: boolean;
  /**
   * Called when a target refuses a command because it has seen a higher epoch.
   */
  onFenced(): void;
  /** Called when another incarnation may have replaced the target. */
  onContested(target: TargetState): void;
  /** Called when a listing is needed before the poll in progress returns. */
  requestListing(target: TargetState): void;
  /**
   * Called when a target with another id responds at the address of `target`.
   */
  onAddressReassigned(target: TargetState): void;
  /** Whether leadership was confirmed recently enough to extend leases and to start runs. */
  isLeaseExtensionAllowed(): boolean;
  /** Whether the failure domain takes no new work. */
  isEvacuated(domain: string): boolean;
  /** Called when a target refuses the ticket of a start command. */
  onTicketRefused(unit: ActiveUnit, targetId: string): void;
  /**
   * Returns the advisor's ticket for a start on a target; undefined if there is
   * none.
   */
  findTicket(unit: ActiveUnit, targetId: string): string | undefined;
}

/** Sends the commands of one leader. */
export class CommandSender {
  constructor(
    private readonly delegate: CommandDelegate,
    private readonly port: TargetPort,
    private readonly tracker: RunTracker,
    private readonly settings: DispatchSettings,
    private readonly pacer: CallPacer,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /**
   * Sends start commands to all members of a unit whose placement is in the
   * log.
   */
  startUnit(unit: ActiveUnit): void {
    unit.phase = 'starting';
    for (const allocation of unit.allocations) {
      allocation.state = 'starting';
      allocation.startedAt = this.clock.now();
    }
    for (const allocation of [...unit.allocations]) {
      void this.start(allocation);
    }
    if (unit.job.accepted.terms.priority === 0) {
      void this.checkEarly(unit);
    }
  }

  /** Requests listings soon after the start of a run, so that a stall is noticed while a restart can still be on time. */
  private async checkEarly(unit: ActiveUnit): Promise<void> {
    const {run} = unit.progress;
    for (const delay of EARLY_CHECK_DELAYS_MS) {
      await this.clock.sleep(delay);
      if (this.delegate.isClosed || unit.progress.run !== run) {
        return;
      }
      const targets = new Set(unit.allocations.map(({target}) => target));
      targets.forEach(target => this.delegate.requestListing(target));
    }
  }

  /**
   * Stops a run. Resolves when the target has acknowledged the stop, the
   * allocation is released or moved to another incarnation, or commands of this
   * leader are no longer accepted.
   */
  async stop(allocation: Allocation): Promise<void> {
    if (allocation.isBeingStopped) {
      return;
    }
    const wasListed = allocation.isListed;
    allocation.isBeingStopped = true;
    allocation.state = 'stopping';
    allocation.acknowledgedClock = undefined;
    for (;;) {
      await this.pacer.waitForSlot();
      if (!this.isAllocated(allocation)) {
        return;
      }
      const {target} = allocation;
      const outcome = await this.sendStop(allocation);
      if (allocation.target !== target) {
        // The start command may have reached the next incarnation, whose clock
        // is not comparable.
        return;
      }
      if (outcome.kind === 'done') {
        allocation.acknowledgedClock = outcome.clock;
        // The poll in progress returns when a listed run ends, but it does not
        // report that a run is absent.
        if (!wasListed) {
          this.delegate.requestListing(allocation.target);
        }
        return;
      }
      if (this.checkFenced(target, outcome)) {
        return;
      }
      if (outcome.kind === 'other-life') {
        this.delegate.onAddressReassigned(target);
        return;
      }
      await this.clock.sleep(COMMAND_RETRY_DELAY_MS);
    }
  }

  /** Stops a run that this leader does not expect on its target. */
  stopOrphan(orphan: Allocation): void {
    const {task, run, target} = orphan;
    this.logger.info('run-unexpected', {task, run, target: target.key});
    void this.stop(orphan);
  }

  private async start(allocation: Allocation): Promise<void> {
    const {unit, target} = allocation;
    const deadline =
      this.clock.now() + this.settings.gangTime * GANG_START_TIMEOUT_SHARE;
    for (let attempt = 0; ; attempt++) {
      await this.pacer.waitForSlot();
      if (!this.isStartPending(allocation)) {
        return;
      }
      if (target.contestedAt !== undefined && this.clock.now() < deadline) {
        // Nothing was tried: which incarnation is there is being asked.
        attempt--;
        await this.clock.sleep(COMMAND_RETRY_DELAY_MS);
        continue;
      }
      const obstacle = this.findStartObstacle(target);
      if (obstacle && unit) {
        this.tracker.stop(unit, obstacle);
        return;
      }
      const outcome = await this.sendStart(allocation);
      const now = this.clock.now();
      if (this.checkFenced(target, outcome) || !unit) {
        return;
      }
      if (outcome.kind === 'other-life') {
        // A run whose first start meets another target was never on this one.
        if (attempt === 0 && this.isAllocated(allocation)) {
          const reason = 'another target uses the address of its target';
          this.tracker.onRunLost(allocation, reason, now);
        }
        this.delegate.onAddressReassigned(target);
        return;
      }
      if (outcome.kind === 'done') {
        return;
      }
      const isPermanent =
        outcome.kind === 'refused' && outcome.reason !== 'late';
      const isLate = now >= deadline || attempt >= MAX_START_RETRIES;
      if (isPermanent || outcome.kind === 'invalid' || isLate) {
        if (this.isStartPending(allocation)) {
          this.onStartFailed(allocation, unit, outcome);
        }
        return;
      }
      this.logRepeatedStart(allocation, outcome, attempt, now);
      target.avoidUntil = Math.max(
        target.avoidUntil,
        now + COMMAND_RETRY_DELAY_MS,
      );
      await this.clock.sleep(COMMAND_RETRY_DELAY_MS);
    }
  }

  /**
   * Returns the reason why a placement must not be started any more; undefined
   * if there is none. The record of the placement may have been delayed, the
   * process may have been paused, and the command may be a retry.
   */
  private findStartObstacle(target: TargetState): string | undefined {
    if (target.isOvercommitted) {
      return 'the capacity of a target has shrunk';
    }
    if (target.info.isDraining) {
      return 'a target drains';
    }
    if (this.delegate.isEvacuated(target.info.domain)) {
      return 'the failure domain of a target was evacuated';
    }
    return this.delegate.isLeaseExtensionAllowed()
      ? undefined
      : 'leadership was not confirmed recently';
  }

  /** A start command without a response may be carried out later, also by the target's next incarnation. */
  private logRepeatedStart(
    {task, run, target, mayStartUntil}: Allocation,
    outcome: CommandOutcome,
    attempt: number,
    now: Instant,
  ): void {
    if (outcome.kind === 'unknown') {
      this.logger.info('start-unanswered', {
        task,
        run,
        target: target.key,
        attempt,
        mayStartForMs: Math.round(mayStartUntil - now),
        problem: outcome.problem,
      });
    } else {
      this.logger.debug('start-again', {task, outcome});
    }
  }

  private onStartFailed(
    allocation: Allocation,
    unit: ActiveUnit,
    outcome: CommandOutcome,
  ): void {
    this.logger.warn('start-refused', {
      task: allocation.task,
      run: allocation.run,
      target: allocation.target.info.id,
      outcome,
    });
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') {
      this.delegate.onTicketRefused(unit, allocation.target.info.id);
    } else if (allocation.target.contestedAt === undefined) {
      this.tracker.onTargetFault(allocation.target, 1, this.clock.now());
    }
    this.tracker.stop(unit, 'a member could not be started');
  }

  private async sendStart(allocation: Allocation): Promise<CommandOutcome> {
    const {target, unit} = allocation;
    const now = this.clock.now();
    const leaseEnd = computeLeaseEnd(target, this.settings, now);
    if (leaseEnd === undefined || !unit) {
      return {
        kind: 'unsent',
        problem: 'the target has not reported its clock yet',
      };
    }
    if (target.contestedAt !== undefined) {
      return {
        kind: 'unsent',
        problem: 'another incarnation may have replaced the target',
      };
    }
    target.onLeaseSent(leaseEnd, now);
    const {mayStartUntil} = allocation;
    allocation.mayStartUntil = Math.max(
      mayStartUntil,
      now + MAX_COMMAND_DELAY_MS,
    );
    const outcome = await this.send(target, timeout =>
      this.port.start(
        target.info,
        {
          task: allocation.task,
          run: allocation.run,
          payload: unit.job.accepted.spec.payload,
          checkpoint: unit.resumeCheckpoint,
          leaseUntil: leaseEnd,
          epoch: this.computeEpoch(target),
          ticket: this.delegate.findTicket(unit, target.info.id),
        },
        timeout,
      ),
    );
    // Another member may stop the unit before the caller continues.
    if (outcome.kind === 'done') {
      this.tracker.onStarted(allocation, outcome.clock, this.clock.now());
    }
    if (outcome.kind !== 'unknown') {
      allocation.mayStartUntil = mayStartUntil;
    }
    return outcome;
  }

  private sendStop(allocation: Allocation): Promise<CommandOutcome> {
    const {task, run, target} = allocation;
    const command = {task, run, epoch: this.computeEpoch(target)};
    return this.send(target, timeout =>
      this.port.stop(target.info, command, timeout),
    );
  }

  private computeEpoch(target: TargetState): number {
    return this.delegate.epoch + target.epochOffset;
  }

  private async send(
    target: TargetState,
    call: (timeout: Milliseconds) => Promise<CommandOutcome>,
  ): Promise<CommandOutcome> {
    if (target.info.address === '') {
      return {
        kind: 'unsent',
        problem: 'the target is not in the registry',
      };
    }
    const sentAt = this.clock.now();
    const outcome = await call(COMMAND_TIMEOUT_MS);
    const now = this.clock.now();
    if (outcome.kind === 'unknown' || outcome.kind === 'unsent') {
      target.isIncarnationProven = false;
    }
    if (!('clock' in outcome)) {
      return outcome;
    }
    if (!target.isOwnClock(outcome.clock, sentAt, now)) {
      this.logger.warn('response-of-other-incarnation', {
        target: target.key,
        outcome,
        minClock: target.estimateMinClock(sentAt),
      });
      this.delegate.onContested(target);
      return {kind: 'unknown', problem: 'another incarnation responded'};
    }
    target.onResponse(outcome.clock, sentAt, now);
    return outcome;
  }

  /**
   * Whether commands of this leader are no longer accepted. A new incarnation
   * refuses commands to the former one as fenced, which does not mean that
   * leadership is lost.
   */
  private checkFenced(target: TargetState, outcome: CommandOutcome): boolean {
    const isFenced = outcome.kind === 'refused' && outcome.reason === 'fenced';
    if (isFenced && !target.isRemoved) {
      this.delegate.onFenced();
    }
    return isFenced || this.delegate.isClosed;
  }

  private isAllocated(item: Allocation): boolean {
    const {target, task, run} = item;
    return !this.delegate.isClosed && target.findAllocation(task, run) === item;
  }

  private isStartPending(allocation: Allocation): boolean {
    return this.isAllocated(allocation) && allocation.state === 'starting';
  }
}

/**
 * Returns the end of a lease granted now, in milliseconds of the target's
 * clock; undefined while the clock is unknown.
 */
export function computeLeaseEnd(
  target: TargetState,
  settings: DispatchSettings,
  now: number,
): number | undefined {
  const clock = target.estimateMinClock(now);
  return clock === undefined
    ? undefined
    : clock + settings.maxLease - LEASE_MARGIN_MS;
}
