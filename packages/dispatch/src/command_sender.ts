/** Sends start and stop orders until each is settled. */
import type {Clock, Logger, Milliseconds} from '@galenavalve/shared';
import type {CallPacer} from './call_pacer.js';
import type {RunTracker} from './run_tracker.js';
import type {Allocation, ActiveUnit} from './active_job.js';
import {
  GANG_START_TIMEOUT_SHARE,
  LEASE_MARGIN_MS,
  COMMAND_RETRY_DELAY_MS,
  COMMAND_TIMEOUT_MS,
  type DispatchSettings,
} from './settings.js';
import type {CommandOutcome, TargetPort} from './target_port.js';
import type {TargetState} from './target_state.js';

/** Time that single tasks get to start; as long as gangs, so that a cut has one pace. */
const MAX_START_RETRIES = 6;

/** What orders need of the dispatcher. */
export interface CommandDelegate {
  readonly epoch: number;
  readonly isClosed: boolean;
  /** Another dispatcher holds the office. */
  onFenced(): void;
  /** A fresh listing of the target is wanted. */
  onStopAcknowledged(room: TargetState): void;
  onTicketRefused(unit: ActiveUnit, targetId: string): void;
  findTicket(unit: ActiveUnit, targetId: string): string | undefined;
}

/** Orders of one term of office. */
export class CommandSender {
  constructor(
    private readonly desk: CommandDelegate,
    private readonly port: TargetPort,
    private readonly book: RunTracker,
    private readonly settings: DispatchSettings,
    private readonly pacer: CallPacer,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Starts every member of a unit whose placement is recorded. */
  startUnit(unit: ActiveUnit): void {
    unit.phase = 'starting';
    for (const booking of unit.allocations) {
      booking.state = 'ordered';
    }
    for (const booking of [...unit.allocations]) {
      void this.start(booking);
    }
  }

  /** Stops a run; resolves when the target has answered or the target is over. */
  async stop(booking: Allocation): Promise<void> {
    if (booking.isBeingStopped) {
      return;
    }
    const wasListed = booking.state === 'confirmed';
    booking.isBeingStopped = true;
    booking.state = 'stopping';
    booking.acknowledgedClock = undefined;
    for (;;) {
      await this.pacer.waitForSlot();
      if (!this.isBooked(booking)) {
        return;
      }
      const {target: room} = booking;
      const outcome = await this.sendStop(booking);
      if (booking.target !== room) {
        // The run's order may have reached the next life, whose clock is another.
        return;
      }
      if (outcome.kind === 'done') {
        booking.acknowledgedClock = outcome.clock;
        // The listing under way answers with the end of a run that was there, but not with the absence of another.
        if (!wasListed) {
          this.desk.onStopAcknowledged(booking.target);
        }
        return;
      }
      if (this.onFenced(room, outcome) || outcome.kind === 'other-life') {
        return;
      }
      await this.clock.sleep(COMMAND_RETRY_DELAY_MS);
    }
  }

  private async start(booking: Allocation): Promise<void> {
    const {unit, target: room} = booking;
    const deadline =
      this.clock.now() + this.settings.gangTime * GANG_START_TIMEOUT_SHARE;
    for (let attempt = 0; ; attempt++) {
      await this.pacer.waitForSlot();
      if (!this.isWanted(booking)) {
        return;
      }
      const outcome = await this.sendStart(booking);
      const now = this.clock.now();
      if (this.onFenced(room, outcome) || !unit) {
        return;
      }
      if (outcome.kind === 'done') {
        this.book.onStarted(booking, outcome.clock, now);
        return;
      }
      const isHopeless =
        outcome.kind === 'refused' && outcome.reason !== 'late';
      const isLate = now >= deadline || attempt >= MAX_START_RETRIES;
      if (isHopeless || outcome.kind === 'invalid' || isLate) {
        if (this.isWanted(booking)) {
          this.onStartFailed(booking, unit, outcome);
        }
        return;
      }
      if (outcome.kind !== 'unknown') {
        this.logger.debug('start-again', {task: booking.task, outcome});
      }
      room.avoidUntil = Math.max(room.avoidUntil, now + COMMAND_RETRY_DELAY_MS);
      await this.clock.sleep(COMMAND_RETRY_DELAY_MS);
    }
  }

  private onStartFailed(
    booking: Allocation,
    unit: ActiveUnit,
    outcome: CommandOutcome,
  ): void {
    this.logger.warn('start-refused', {
      task: booking.task,
      run: booking.run,
      target: booking.target.info.id,
      outcome,
    });
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') {
      this.desk.onTicketRefused(unit, booking.target.info.id);
    } else {
      this.book.onTargetFault(booking.target, 1, this.clock.now());
    }
    this.book.stop(unit, 'a member could not be started');
  }

  private sendStart(booking: Allocation): Promise<CommandOutcome> {
    const {target: room, unit} = booking;
    const until = computeLeaseEnd(room, this.settings, this.clock.now());
    if (until === undefined || !unit) {
      return Promise.resolve({
        kind: 'unknown',
        problem: 'its clock is unknown',
      });
    }
    room.onLeaseSent(until);
    return this.send(room, timeout =>
      this.port.start(
        room.info,
        {
          task: booking.task,
          run: booking.run,
          payload: unit.job.accepted.spec.payload,
          checkpoint: unit.resumeCheckpoint,
          leaseUntil: until,
          epoch: this.epochFor(room),
          ticket: this.desk.findTicket(unit, room.info.id),
        },
        timeout,
      ),
    );
  }

  private sendStop(booking: Allocation): Promise<CommandOutcome> {
    const {task, run, target: room} = booking;
    const order = {task, run, epoch: this.epochFor(room)};
    return this.send(room, timeout =>
      this.port.stop(room.info, order, timeout),
    );
  }

  private epochFor(room: TargetState): number {
    return this.desk.epoch + room.epochOffset;
  }

  private async send(
    room: TargetState,
    call: (timeout: Milliseconds) => Promise<CommandOutcome>,
  ): Promise<CommandOutcome> {
    if (room.info.address === '') {
      return {
        kind: 'unknown',
        problem: 'the registry does not list its target',
      };
    }
    const outcome = await call(COMMAND_TIMEOUT_MS);
    if ('clock' in outcome) {
      room.onResponse(outcome.clock, this.clock.now());
    }
    return outcome;
  }

  /** A life that followed refuses orders to the former one; that says nothing of the office. */
  private onFenced(room: TargetState, outcome: CommandOutcome): boolean {
    const isFenced = outcome.kind === 'refused' && outcome.reason === 'fenced';
    if (isFenced && !room.isRemoved) {
      this.desk.onFenced();
    }
    return isFenced || this.desk.isClosed;
  }

  private isBooked(booking: Allocation): boolean {
    const {target: room, task, run} = booking;
    return !this.desk.isClosed && room.findAllocation(task, run) === booking;
  }

  private isWanted(booking: Allocation): boolean {
    return this.isBooked(booking) && booking.state === 'ordered';
  }
}

/** End of a lease granted now, on the target's clock; undefined while that is unknown. */
export function computeLeaseEnd(
  room: TargetState,
  settings: DispatchSettings,
  now: number,
): number | undefined {
  const clock = room.estimateMinClock(now);
  return clock === undefined
    ? undefined
    : clock + settings.maxLease - LEASE_MARGIN_MS;
}
