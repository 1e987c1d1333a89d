/** Decides when an instance records a snapshot. */
import type {Milliseconds} from '@galenavalve/shared';
import type {LedgerState} from '../state.js';

/** How often snapshots are recorded. */
export interface SnapshotSchedule {
  /** Time between snapshots; well below the time that the log keeps records. */
  interval: Milliseconds;
  /** Records after which one is due earlier, to bound how many a new process folds. */
  maxNewRecords: number;
  /** Share of the kept records that may be newer than the snapshot once the log forgets. */
  maxNewerShare: number;
}

/** The offsets that the log holds. */
export interface RetainedRange {
  oldestOffset: number;
  endOffset: number;
}

/** How much later each further domain's scheduler steps in, as a share of the schedule. */
const STAGGER = 0.25;

/**
 * Tells whether the instance should record a snapshot now. The scheduler of
 * the first failure domain is first to; if it does not, those of the others
 * follow. `wallTime` is in milliseconds since the Unix epoch; a snapshot too
 * many, by a wrong clock, does no harm.
 */
export function isSnapshotDue(
  state: LedgerState,
  instance: string,
  wallTime: number,
  retention: RetainedRange,
  schedule: SnapshotSchedule,
): boolean {
  const rank = rankOf(state, instance);
  if (rank === undefined || state.nextOffset === 0) {
    return false;
  }
  const patience = 1 + STAGGER * rank;
  const {latest} = state.snapshotTracker;
  const tail = state.nextOffset - (latest?.nextOffset ?? 0);
  const age = wallTime - (latest?.completedAt ?? 0);
  return (
    tail >= schedule.maxNewRecords * patience ||
    (tail > (latest?.chunks ?? 0) && age >= schedule.interval * patience) ||
    isNearExpiry(latest?.firstOffset ?? 0, retention, schedule, patience)
  );
}

/** Position of the first domain that the instance schedules; undefined when it has none. */
function rankOf(state: LedgerState, instance: string): number | undefined {
  const domains = [...state.configuration.domains.keys()].sort();
  const rank = domains.findIndex(
    domain => state.getSchedulerTerm(domain)?.instance === instance,
  );
  return rank < 0 ? undefined : rank;
}

function isNearExpiry(
  firstOffset: number,
  {oldestOffset, endOffset}: RetainedRange,
  {maxNewerShare: keptShare}: SnapshotSchedule,
  patience: number,
): boolean {
  if (oldestOffset === 0) {
    return false;
  }
  const newer = (endOffset - firstOffset) / (endOffset - oldestOffset);
  return newer >= Math.min(0.9, keptShare * patience);
}
