/** Drops jobs from the log that ended long ago. */
import type {Clock, Instant, Milliseconds} from '@galenavalve/shared';
import {
  type JobTable,
  type KeyedRecord,
  encodeJobTombstones,
} from '@galenavalve/workload';

/** Ended jobs are looked for this often, in milliseconds. */
const REMOVAL_INTERVAL_MS = 5000;

/** Most jobs forgotten in one append. */
const MAX_REMOVALS_PER_APPEND = 50;

/** Ended jobs are kept for this many times as long as callers may ask for them: clocks differ. */
const RETENTION_FACTOR = 2;

/** Finds the jobs that nobody may ask for any more. */
export class ExpiredJobs {
  constructor(
    private readonly table: JobTable,
    private readonly keepEnded: Milliseconds,
    private readonly clock: Clock,
    private lookedAt: Instant,
  ) {}

  /** The records that drop them; none until the next look is due. */
  encodeDueRemovals(now: Instant): KeyedRecord[] {
    if (now - this.lookedAt < REMOVAL_INTERVAL_MS) {
      return [];
    }
    this.lookedAt = now;
    const limit = this.clock.wallTime() - RETENTION_FACTOR * this.keepEnded;
    const old = [...this.table.listEntries()].filter(
      ({progress}) =>
        progress?.endedAt !== undefined && progress.endedAt < limit,
    );
    return old
      .slice(0, MAX_REMOVALS_PER_APPEND)
      .flatMap(({id}) => encodeJobTombstones(id));
  }
}
