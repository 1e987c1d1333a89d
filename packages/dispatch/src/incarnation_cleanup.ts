/** What becomes of the runs of a target whose life or lease is over. */
import type {Instant, Logger} from '@galenavalve/shared';
import type {CommandSender} from './command_sender.js';
import type {RunTracker} from './run_tracker.js';
import type {Allocation} from './active_job.js';
import type {TargetState} from './target_state.js';

/** Settles the books of lives that ended, for the dispatcher of one epoch. */
export class IncarnationCleanup {
  constructor(
    private readonly epoch: number,
    private readonly book: RunTracker,
    private readonly orders: CommandSender,
    private readonly logger: Logger,
  ) {}

  /** Another life took the place of `room`'s. */
  onReplaced(room: TargetState, next: TargetState): void {
    this.logger.info('target-reborn', {
      target: room.info.id,
      from: room.info.born,
      to: next.info.born,
      runs: room.allocations.size,
    });
    for (const booking of [...room.allocations.values()]) {
      if (this.isOpen(booking)) {
        this.follow(booking, next);
      } else {
        this.book.onRunLost(booking, 'its target started anew');
      }
    }
  }

  /** One address serves one life: the former one and its runs are gone, and its orders are refused there. */
  onAddressReassigned(room: TargetState): void {
    this.logger.info('target-succeeded', {
      target: room.info.id,
      runs: room.allocations.size,
    });
    room.isRegistered = false;
    for (const booking of [...room.allocations.values()]) {
      this.book.onRunLost(booking, 'another target took its address');
    }
  }

  /** Runs whose lease is over are gone, whatever became of their target. */
  dropExpiredRuns(room: TargetState, now: Instant): void {
    if (now <= room.leaseExpiresAt || room.allocations.size === 0) {
      return;
    }
    for (const booking of [...room.allocations.values()]) {
      if (booking.state !== 'planned') {
        this.book.onRunLost(booking, 'its lease is over');
      }
    }
  }

  /** An order to the former life that was not answered may yet reach the new one. */
  private isOpen(booking: Allocation): boolean {
    const isUnsettled =
      booking.state === 'ordered' ||
      (booking.state === 'stopping' && booking.acknowledgedClock === undefined);
    return booking.epoch === this.epoch && isUnsettled;
  }

  private follow(booking: Allocation, next: TargetState): void {
    booking.target.release(booking);
    booking.target = next;
    booking.isBeingStopped = false;
    next.allocate(booking);
    void this.orders.stop(booking);
  }
}
