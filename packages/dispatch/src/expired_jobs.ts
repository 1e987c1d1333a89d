/** Removes jobs from the log whose retention period has passed. */
import type {Clock, Instant, Milliseconds} from '@galenavalve/shared';
import {
  type JobTable,
  type KeyedRecord,
  encodeEarlyCancellationTombstone,
  encodeJobTombstones,
} from '@galenavalve/workload';

/** Interval between two searches for expired jobs. */
const REMOVAL_INTERVAL_MS = 5000;

/** Limit of jobs that are removed in one append. */
const MAX_REMOVALS_PER_APPEND = 50;

/** Limit of early cancellations that are removed in one append. */
const MAX_CANCELLATION_REMOVALS_PER_APPEND = 500;

/**
 * Ended jobs are kept this many times longer than callers may query them, since
 * clocks differ.
 */
const RETENTION_FACTOR = 2;

/** Finds jobs that can no longer be queried, and cancellations whose jobs can no longer appear. */
export class ExpiredJobs {
  constructor(
    private readonly table: JobTable,
    private readonly keepEnded: Milliseconds,
    private readonly clock: Clock,
    private lastCheckedAt: Instant,
  ) {}

  /**
   * Returns the tombstones of expired jobs and early cancellations; none until
   * the next search is due.
   */
  encodeDueRemovals(now: Instant): KeyedRecord[] {
    if (now - this.lastCheckedAt < REMOVAL_INTERVAL_MS) {
      return [];
    }
    this.lastCheckedAt = now;
    const oldestKept =
      this.clock.wallTime() - RETENTION_FACTOR * this.keepEnded;
    const expired = [...this.table.listEntries()].filter(
      ({progress}) =>
        progress?.endedAt !== undefined && progress.endedAt < oldestKept,
    );
    const removals = expired
      .slice(0, MAX_REMOVALS_PER_APPEND)
      .flatMap(({id, progressParts}) =>
        encodeJobTombstones(id, progressParts?.keys()),
      );
    return [...removals, ...this.encodeCancellationRemovals(oldestKept)];
  }

  /** A submission that got no response is appended within seconds, if at all, so its cancellation is kept far longer than needed. */
  private encodeCancellationRemovals(oldestKept: number): KeyedRecord[] {
    return this.table.earlyCancellations
      .listBefore(oldestKept)
      .filter(({id}) => !this.isOpen(id))
      .slice(0, MAX_CANCELLATION_REMOVALS_PER_APPEND)
      .map(({key}) => encodeEarlyCancellationTombstone(key));
  }

  private isOpen(id: string): boolean {
    const entry = this.table.find(id);
    return entry !== undefined && entry.progress?.endedAt === undefined;
  }
}
