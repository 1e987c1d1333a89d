/** What becomes of the runs of a target whose life or lease is over. */
import type {Instant, Logger} from '@galenavalve/shared';
import type {Orders} from './orders.js';
import type {RunBook} from './run_book.js';
import type {Booking} from './runs.js';
import type {TargetRoom} from './target_room.js';

/** Settles the books of lives that ended, for the dispatcher of one epoch. */
export class LifeEnds {
  constructor(
    private readonly epoch: number,
    private readonly book: RunBook,
    private readonly orders: Orders,
    private readonly logger: Logger,
  ) {}

  /** Another life took the place of `room`'s. */
  onReplaced(room: TargetRoom, next: TargetRoom): void {
    this.logger.info('target-reborn', {
      target: room.info.id,
      from: room.info.born,
      to: next.info.born,
      runs: room.bookings.size,
    });
    for (const booking of [...room.bookings.values()]) {
      if (this.isOpen(booking)) {
        this.follow(booking, next);
      } else {
        this.book.onGone(booking, 'its target started anew');
      }
    }
  }

  /** One address serves one life: the former one and its runs are gone, and its orders are refused there. */
  onSucceeded(room: TargetRoom): void {
    this.logger.info('target-succeeded', {
      target: room.info.id,
      runs: room.bookings.size,
    });
    room.isListed = false;
    for (const booking of [...room.bookings.values()]) {
      this.book.onGone(booking, 'another target took its address');
    }
  }

  /** Runs whose lease is over are gone, whatever became of their target. */
  dropLapsed(room: TargetRoom, now: Instant): void {
    if (now <= room.leaseOverAt || room.bookings.size === 0) {
      return;
    }
    for (const booking of [...room.bookings.values()]) {
      if (booking.state !== 'planned') {
        this.book.onGone(booking, 'its lease is over');
      }
    }
  }

  /** An order to the former life that was not answered may yet reach the new one. */
  private isOpen(booking: Booking): boolean {
    const isUnsettled =
      booking.state === 'ordered' ||
      (booking.state === 'stopping' && booking.settledClock === undefined);
    return booking.epoch === this.epoch && isUnsettled;
  }

  private follow(booking: Booking, next: TargetRoom): void {
    booking.room.release(booking);
    booking.room = next;
    booking.isBeingStopped = false;
    next.book(booking);
    void this.orders.stop(booking);
  }
}
