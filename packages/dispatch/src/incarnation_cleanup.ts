/**
 * Cleans up the allocations of targets whose incarnation or lease has ended.
 */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {CrashAttribution} from './crash_attribution.js';
import type {CommandSender} from './command_sender.js';
import type {RunTracker} from './run_tracker.js';
import {MIN_CLOCK_RATE} from './settings.js';
import type {Allocation} from './active_job.js';
import type {TargetState} from './target_state.js';

/**
 * Releases or moves allocations of ended incarnations, for the dispatcher of
 * one epoch. `maxLease` is the longest lease that targets grant.
 */
export class IncarnationCleanup {
  constructor(
    private readonly maxLease: Milliseconds,
    private readonly tracker: RunTracker,
    private readonly commands: CommandSender,
    private readonly crashes: CrashAttribution,
    private readonly logger: Logger,
  ) {}

  /**
   * Called when incarnation `next` has replaced `target`. Releases its
   * allocations, except those whose runs `next` may have: they move to it.
   */
  onReplaced(target: TargetState, next: TargetState, now: Instant): void {
    this.logger.info('target-restarted', {
      target: target.info.id,
      from: target.info.born,
      to: next.info.born,
      runs: target.allocations.size,
      lastResponseAgeMs: Math.round(now - target.lastResponseAt),
    });
    this.onEnded(target, now);
    next.onReplaced(target, this.maxLease);
    for (const allocation of [...target.allocations.values()]) {
      if (target.mayHaveMoved(allocation)) {
        this.moveAllocation(allocation, next);
      } else {
        this.tracker.onRunLost(allocation, 'the target restarted', now);
      }
    }
  }

  /**
   * Called when a target with another id responds at the address. An address
   * serves one incarnation, so this one and its runs have ended, and late
   * commands to it are refused.
   */
  onAddressReassigned(target: TargetState, now: Instant): void {
    // Polls of the former incarnation go on until its entry expires; only the
    // first response of the other target is news.
    if (target.isRegistered || target.allocations.size > 0) {
      this.logger.info('target-address-reassigned', {
        target: target.info.id,
        runs: target.allocations.size,
      });
    }
    target.isRegistered = false;
    this.onEnded(target, now);
    for (const allocation of [...target.allocations.values()]) {
      allocation.mayStartUntil = -Infinity;
      this.tracker.onRunLost(
        allocation,
        'another target uses the address of its target',
        now,
      );
    }
  }

  /**
   * Releases the allocations of a target whose incarnation or lease has ended;
   * `successor` is the later incarnation that proves its end, if there is one.
   */
  onTick(
    target: TargetState,
    successor: TargetState | undefined,
    now: Instant,
  ): void {
    if (successor) {
      this.onSucceeded(target, successor, now);
    }
    this.dropExpiredRuns(target, now);
  }

  /**
   * Called when the registry lists a later incarnation with the id or at the
   * address of `target`, of which this leader may have heard from records only.
   */
  private onSucceeded(
    target: TargetState,
    successor: TargetState,
    now: Instant,
  ): void {
    if (target.allocations.size === 0 && target.lapsedRuns.length === 0) {
      return;
    }
    if (successor.info.id === target.info.id) {
      this.onReplaced(target, successor, now);
    } else {
      this.onAddressReassigned(target, now);
    }
  }

  /**
   * Releases the allocations of a target whose lease has expired; its tasks
   * have stopped by then whether or not it can be reached. A run that a later
   * incarnation with the same id, unseen by this leader, may have started is
   * kept until the lease of that one has expired too.
   */
  private dropExpiredRuns(target: TargetState, now: Instant): void {
    if (now <= target.leaseExpiresAt || target.allocations.size === 0) {
      return;
    }
    const lateLeaseEnd = target.computeLateLeaseEnd(this.maxLease);
    for (const allocation of [...target.allocations.values()]) {
      const isEnded =
        !target.mayHaveMoved(allocation) ||
        now > Math.max(lateLeaseEnd, this.computeLateRunEnd(allocation));
      if (allocation.state !== 'planned' && isEnded) {
        target.lapsedRuns.push(allocation);
        this.tracker.onRunLost(
          allocation,
          'the lease of its target expired',
          now,
        );
      }
    }
  }

  /** Returns the time at which the lease of a run has expired that starts as late as it may. */
  private computeLateRunEnd({mayStartUntil}: Allocation): Instant {
    return mayStartUntil + this.maxLease / MIN_CLOCK_RATE;
  }

  /** A target that has ended without being drained has crashed. */
  private onEnded(target: TargetState, now: Instant): void {
    if (target.drainingSince === undefined) {
      this.crashes.onCrash(target, now);
    }
    target.lapsedRuns = [];
  }

  /** Moves an allocation to the next incarnation, which may have the run, and stops it there. */
  private moveAllocation(allocation: Allocation, next: TargetState): void {
    allocation.target.release(allocation);
    allocation.target = next;
    allocation.isMoved = true;
    allocation.isConfirmed = false;
    allocation.isListed = false;
    allocation.isBeingStopped = false;
    next.allocate(allocation);
    void this.commands.stop(allocation);
    if (allocation.unit) {
      this.tracker.stop(allocation.unit, 'the target restarted');
    }
  }
}
