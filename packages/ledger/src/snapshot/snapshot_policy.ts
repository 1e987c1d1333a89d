/** Decides when an instance appends a snapshot to the log. */
import type {Milliseconds} from '@galenavalve/shared';
import type {LedgerState} from '../state.js';

/** Limits that determine when a snapshot is due. */
export interface SnapshotSchedule {
  /** Time between snapshots in milliseconds; well below the retention time of the log. */
  interval: Milliseconds;
  /**
   * Number of newer records at which a snapshot is due earlier, to limit how
   * many records a new process folds.
   */
  maxNewRecords: number;
  /**
   * Largest share of the retained records that may be newer than the snapshot,
   * once records expire from the log.
   */
  maxNewerShare: number;
}

/** Offsets that the log retains. */
export interface RetainedRange {
  oldestOffset: number;
  endOffset: number;
}

/** Delay of the scheduler of each further domain, as a share of the limits of the schedule. */
const DELAY_SHARE_PER_RANK = 0.25;

/**
 * Tells whether the instance should append a snapshot now. The scheduler of the
 * first failure domain does so first; if it does not, the schedulers of the
 * other domains follow with growing delay. `wallTime` is in milliseconds since
 * the Unix epoch. An additional snapshot, caused by a wrong clock, does no harm.
 */
export function isSnapshotDue(
  state: LedgerState,
  instance: string,
  wallTime: number,
  logRange: RetainedRange,
  schedule: SnapshotSchedule,
): boolean {
  const rank = findSchedulerRank(state, instance);
  if (rank === undefined || state.nextOffset === 0) {
    return false;
  }
  const delayFactor = 1 + DELAY_SHARE_PER_RANK * rank;
  const {latest} = state.snapshotTracker;
  const newRecordCount = state.nextOffset - (latest?.nextOffset ?? 0);
  const ageMs = wallTime - (latest?.completedAt ?? 0);
  return (
    newRecordCount >= schedule.maxNewRecords * delayFactor ||
    (newRecordCount > (latest?.chunks ?? 0) &&
      ageMs >= schedule.interval * delayFactor) ||
    isNearExpiry(latest?.firstOffset ?? 0, logRange, schedule, delayFactor)
  );
}

/**
 * Returns the position of the first domain that the instance schedules;
 * undefined if there is none.
 */
function findSchedulerRank(
  state: LedgerState,
  instance: string,
): number | undefined {
  const domains = [...state.configuration.domains.keys()].sort();
  const rank = domains.findIndex(
    domain => state.getSchedulerTerm(domain)?.instance === instance,
  );
  return rank < 0 ? undefined : rank;
}

/** Tells whether the snapshot that begins at `firstOffset` is about to expire from the log. */
function isNearExpiry(
  firstOffset: number,
  {oldestOffset, endOffset}: RetainedRange,
  {maxNewerShare}: SnapshotSchedule,
  delayFactor: number,
): boolean {
  if (oldestOffset === 0) {
    return false;
  }
  const newerShare = (endOffset - firstOffset) / (endOffset - oldestOffset);
  return newerShare >= Math.min(0.9, maxNewerShare * delayFactor);
}
