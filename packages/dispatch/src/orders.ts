/** Sends start and stop orders until each is settled. */
import type {Clock, Logger, Milliseconds} from '@galenavalve/shared';
import type {OrderPacer} from './order_pacer.js';
import type {RunBook} from './run_book.js';
import type {Booking, UnitRun} from './runs.js';
import {
  GANG_START_SHARE,
  LEASE_MARGIN,
  ORDER_RETRY,
  ORDER_TIMEOUT,
  type DispatchSettings,
} from './settings.js';
import type {OrderOutcome, TargetPort} from './target_port.js';
import type {TargetRoom} from './target_room.js';

/** Time that single tasks get to start; as long as gangs, so that a cut has one pace. */
const MAX_START_TRIES = 6;

/** What orders need of the dispatcher. */
export interface OrderDesk {
  readonly epoch: number;
  readonly isOver: boolean;
  /** Another dispatcher holds the office. */
  onFenced(): void;
  /** A fresh listing of the target is wanted. */
  onStopped(room: TargetRoom): void;
  onTicketRefused(unit: UnitRun, targetId: string): void;
  ticketFor(unit: UnitRun, targetId: string): string | undefined;
}

/** Orders of one term of office. */
export class Orders {
  constructor(
    private readonly desk: OrderDesk,
    private readonly port: TargetPort,
    private readonly book: RunBook,
    private readonly settings: DispatchSettings,
    private readonly pacer: OrderPacer,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Starts every member of a unit whose placement is recorded. */
  startUnit(unit: UnitRun): void {
    unit.phase = 'starting';
    for (const booking of unit.bookings) {
      booking.state = 'ordered';
    }
    for (const booking of [...unit.bookings]) {
      void this.start(booking);
    }
  }

  /** Stops a run; resolves when the target has answered or the target is over. */
  async stop(booking: Booking): Promise<void> {
    if (booking.isBeingStopped) {
      return;
    }
    const wasListed = booking.state === 'confirmed';
    booking.isBeingStopped = true;
    booking.state = 'stopping';
    booking.settledClock = undefined;
    for (;;) {
      await this.pacer.turn();
      if (!this.isBooked(booking)) {
        return;
      }
      const {room} = booking;
      const outcome = await this.sendStop(booking);
      if (booking.room !== room) {
        // The run's order may have reached the next life, whose clock is another.
        return;
      }
      if (outcome.kind === 'done') {
        booking.settledClock = outcome.clock;
        // The listing under way answers with the end of a run that was there, but not with the absence of another.
        if (!wasListed) {
          this.desk.onStopped(booking.room);
        }
        return;
      }
      if (this.onFenced(room, outcome) || outcome.kind === 'other-life') {
        return;
      }
      await this.clock.sleep(ORDER_RETRY);
    }
  }

  private async start(booking: Booking): Promise<void> {
    const {unit, room} = booking;
    const deadline =
      this.clock.now() + this.settings.gangTime * GANG_START_SHARE;
    for (let attempt = 0; ; attempt++) {
      await this.pacer.turn();
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
      const isLate = now >= deadline || attempt >= MAX_START_TRIES;
      if (isHopeless || outcome.kind === 'invalid' || isLate) {
        if (this.isWanted(booking)) {
          this.onStartFailed(booking, unit, outcome);
        }
        return;
      }
      if (outcome.kind !== 'unknown') {
        this.logger.debug('start-again', {task: booking.task, outcome});
      }
      room.avoidUntil = Math.max(room.avoidUntil, now + ORDER_RETRY);
      await this.clock.sleep(ORDER_RETRY);
    }
  }

  private onStartFailed(
    booking: Booking,
    unit: UnitRun,
    outcome: OrderOutcome,
  ): void {
    this.logger.warn('start-refused', {
      task: booking.task,
      run: booking.run,
      target: booking.room.info.id,
      outcome,
    });
    if (outcome.kind === 'refused' && outcome.reason === 'ticket') {
      this.desk.onTicketRefused(unit, booking.room.info.id);
    } else {
      this.book.onSuspect(booking.room, 1, this.clock.now());
    }
    this.book.stop(unit, 'a member could not be started');
  }

  private sendStart(booking: Booking): Promise<OrderOutcome> {
    const {room, unit} = booking;
    const until = leaseUntil(room, this.settings, this.clock.now());
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
          payload: unit.job.job.spec.payload,
          checkpoint: unit.resumeFrom,
          leaseUntil: until,
          epoch: this.epochFor(room),
          ticket: this.desk.ticketFor(unit, room.info.id),
        },
        timeout,
      ),
    );
  }

  private sendStop(booking: Booking): Promise<OrderOutcome> {
    const {task, run, room} = booking;
    const order = {task, run, epoch: this.epochFor(room)};
    return this.send(room, timeout =>
      this.port.stop(room.info, order, timeout),
    );
  }

  private epochFor(room: TargetRoom): number {
    return this.desk.epoch + room.epochOffset;
  }

  private async send(
    room: TargetRoom,
    call: (timeout: Milliseconds) => Promise<OrderOutcome>,
  ): Promise<OrderOutcome> {
    if (room.info.address === '') {
      return {
        kind: 'unknown',
        problem: 'the registry does not list its target',
      };
    }
    const outcome = await call(ORDER_TIMEOUT);
    if ('clock' in outcome) {
      room.onAnswer(outcome.clock, this.clock.now());
    }
    return outcome;
  }

  /** A life that followed refuses orders to the former one; that says nothing of the office. */
  private onFenced(room: TargetRoom, outcome: OrderOutcome): boolean {
    const isFenced = outcome.kind === 'refused' && outcome.reason === 'fenced';
    if (isFenced && !room.isOver) {
      this.desk.onFenced();
    }
    return isFenced || this.desk.isOver;
  }

  private isBooked(booking: Booking): boolean {
    const {room, task, run} = booking;
    return !this.desk.isOver && room.find(task, run) === booking;
  }

  private isWanted(booking: Booking): boolean {
    return this.isBooked(booking) && booking.state === 'ordered';
  }
}

/** End of a lease granted now, on the target's clock; undefined while that is unknown. */
export function leaseUntil(
  room: TargetRoom,
  settings: DispatchSettings,
  now: number,
): number | undefined {
  const clock = room.leastClock(now);
  return clock === undefined
    ? undefined
    : clock + settings.maxLease - LEASE_MARGIN;
}
