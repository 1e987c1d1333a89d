/**
 * Applies a target's listing, its report of the runs on it and of ends that have
 * not been acknowledged, to its state: ends, progress, orphans, and runs that are
 * no longer listed.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {CrashAttribution} from './crash_attribution.js';
import {sampleProgressRate} from './progress_rate.js';
import type {RunTracker} from './run_tracker.js';
import {
  type Allocation,
  type ActiveUnit,
  createAllocation,
} from './active_job.js';
import type {ListedRun, TargetListing} from './target_port.js';
import type {TargetState} from './target_state.js';

/**
 * Maximum number of ends in a listing. A listing that is full may omit ends, so
 * absence from it proves nothing.
 */
const MAX_LISTED_ENDS = 500;

/**
 * Maximum time between two listings that counts as observed: one poll and its
 * latency.
 */
const MAX_LISTING_GAP_MS: Milliseconds = 1200;

/** Finds the unit that a task belongs to. */
export type UnitLookup = (task: string) => ActiveUnit | undefined;

/**
 * Applies a listing of `target` that was requested at `sentAt` under `epoch`. Returns whether a run ended, is
 * no longer listed, or is an orphan.
 */
export function applyListing(
  target: TargetState,
  listing: TargetListing,
  context: {
    tracker: RunTracker;
    crashes: CrashAttribution;
    findUnit: UnitLookup;
    /** Returns what a task of any job, also of an ended one, needs; undefined if the job is unknown. */
    findDemand: (task: string) => Demand | undefined;
    epoch: number;
    maxLease: Milliseconds;
    onOrphan: (allocation: Allocation) => void;
  },
  sentAt: Instant,
  now: Instant,
): boolean {
  target.onResponse(listing.clock, sentAt, now);
  if (listing.clock < target.lastListingClock) {
    return false;
  }
  target.onListed(now, context.maxLease);
  let hasChanged = false;
  target.lastListingClock = listing.clock;
  target.hasListing = true;
  // The target has not crashed.
  target.lapsedRuns = [];
  for (const end of [...listing.ended].sort((a, b) => a.number - b.number)) {
    if (end.number > target.processedEnd) {
      target.processedEnd = end.number;
      hasChanged = true;
      context.tracker.onEnd(target, end, context.findUnit(end.task), now);
    }
  }
  const listed = new Set<Allocation>();
  for (const run of listing.running) {
    const allocation = target.findAllocation(run.task, run.run);
    if (allocation) {
      listed.add(allocation);
      applyProgress(allocation, run, listing.clock, context.tracker, now);
      context.crashes.onListed(allocation, now);
    } else {
      const demand = context.findDemand(run.task);
      const orphan = allocateOrphan(target, run, demand, now);
      listed.add(orphan);
      context.tracker.onOrphan(orphan, context.findUnit(run.task));
      context.onOrphan(orphan);
      hasChanged = true;
    }
  }
  if (listing.ended.length < MAX_LISTED_ENDS) {
    const dropped = dropAbsentRuns(target, listed, listing.clock, context, now);
    hasChanged ||= dropped > 0;
  }
  return hasChanged;
}

function applyProgress(
  allocation: Allocation,
  run: ListedRun,
  clock: number,
  tracker: RunTracker,
  now: Instant,
): void {
  tracker.onStarted(allocation, clock, now);
  const sinceListed = now - allocation.listedAt;
  allocation.listedAt = now;
  allocation.isListed = true;
  allocation.stalledFor += Math.min(sinceListed, MAX_LISTING_GAP_MS);
  if (run.percent > allocation.percent) {
    allocation.stalledFor = 0;
    if (allocation.percent === 0) {
      allocation.firstPercent = run.percent;
      allocation.firstPercentAt = now;
    }
    allocation.percent = run.percent;
    allocation.percentAt = now;
  }
  const {unit} = allocation;
  sampleProgressRate(allocation, unit?.step.estimateMs ?? 0, clock);
  if (unit && run.checkpoint !== '' && unit.progress.run === run.run) {
    unit.progress.checkpoint = run.checkpoint;
  }
}

/**
 * Releases runs that the listing proves to have ended, and returns their number.
 */
function dropAbsentRuns(
  target: TargetState,
  listed: ReadonlySet<Allocation>,
  clock: number,
  context: {tracker: RunTracker; epoch: number},
  now: Instant,
): number {
  let dropped = 0;
  for (const allocation of [...target.allocations.values()]) {
    if (listed.has(allocation) || allocation.state === 'planned') {
      continue;
    }
    const isStopAcknowledged =
      allocation.acknowledgedClock !== undefined &&
      allocation.acknowledgedClock < clock;
    // The first listing under a new epoch makes the target refuse all commands
    // of older epochs, those to its former incarnations included.
    const isFenced = allocation.epoch < context.epoch + target.epochOffset;
    if (isStopAcknowledged || isFenced) {
      context.tracker.onRunLost(
        allocation,
        'the target no longer lists the run',
        now,
      );
      dropped++;
    }
  }
  return dropped;
}

/**
 * Allocates capacity for an orphan, a run that the leader does not expect on
 * the target; it holds the capacity until it has ended. A run of which the
 * demand is unknown may need the whole target.
 */
function allocateOrphan(
  target: TargetState,
  {task, run}: ListedRun,
  demand: Demand = target.info.capacity,
  now: Instant,
): Allocation {
  const allocation = createAllocation(
    {
      task,
      run,
      demand,
      target,
      unit: undefined,
      memberIndex: 0,
      state: 'confirmed',
      epoch: 0,
    },
    now,
  );
  target.allocate(allocation);
  return allocation;
}
