/** Takes a target's listing into the books: ends, progress, strays, and runs that are gone. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {sampleProgressRate} from './progress_rate.js';
import type {RunTracker} from './run_tracker.js';
import {
  type Allocation,
  type ActiveUnit,
  createAllocation,
} from './active_job.js';
import type {ListedRun, TargetListing} from './target_port.js';
import type {TargetState} from './target_state.js';

/** Most ends that one listing carries; runs may be missing from a longer one. */
const MAX_LISTED_ENDS = 500;

/** Most time between two listings in which a run counts as seen: one listing, and its way. */
const MAX_LISTING_GAP_MS: Milliseconds = 1200;

/** Finds the unit that a task belongs to. */
export type UnitLookup = (task: string) => ActiveUnit | undefined;

/** Takes a listing of `room` made under `epoch`. Returns whether a run ended, was gone, or was not expected there. */
export function applyListing(
  room: TargetState,
  listing: TargetListing,
  context: {
    book: RunTracker;
    findUnit: UnitLookup;
    epoch: number;
    onStray: (booking: Allocation) => void;
  },
  now: Instant,
): boolean {
  room.onResponse(listing.clock, now);
  if (listing.clock < room.lastListingClock) {
    return false;
  }
  let hasChanged = false;
  room.lastListingClock = listing.clock;
  room.hasListing = true;
  for (const end of [...listing.ended].sort((a, b) => a.number - b.number)) {
    if (end.number > room.processedEnd) {
      room.processedEnd = end.number;
      hasChanged = true;
      context.book.onEnd(room, end, context.findUnit(end.task), now);
    }
  }
  const listed = new Set<Allocation>();
  for (const run of listing.running) {
    const booking = room.findAllocation(run.task, run.run);
    if (booking) {
      listed.add(booking);
      applyProgress(booking, run, listing.clock, context.book, now);
    } else {
      const stray = allocateOrphan(room, run, context.findUnit(run.task), now);
      listed.add(stray);
      context.onStray(stray);
      hasChanged = true;
    }
  }
  if (listing.ended.length < MAX_LISTED_ENDS) {
    const dropped = dropAbsentRuns(room, listed, listing.clock, context);
    hasChanged ||= dropped > 0;
  }
  return hasChanged;
}

function applyProgress(
  booking: Allocation,
  run: ListedRun,
  clock: number,
  book: RunTracker,
  now: Instant,
): void {
  book.onStarted(booking, clock, now);
  const unseen = now - booking.listedAt;
  booking.listedAt = now;
  booking.stalledFor += Math.min(unseen, MAX_LISTING_GAP_MS);
  if (run.percent > booking.percent) {
    booking.stalledFor = 0;
    if (booking.percent === 0) {
      booking.firstPercent = run.percent;
      booking.firstPercentAt = now;
    }
    booking.percent = run.percent;
    booking.percentAt = now;
  }
  const {unit} = booking;
  sampleProgressRate(booking, unit?.step.estimateMs ?? 0, clock);
  if (unit && run.checkpoint !== '' && unit.progress.run === run.run) {
    unit.progress.checkpoint = run.checkpoint;
  }
}

/** Returns how many runs were gone. */
function dropAbsentRuns(
  room: TargetState,
  listed: ReadonlySet<Allocation>,
  clock: number,
  context: {book: RunTracker; epoch: number},
): number {
  let dropped = 0;
  for (const booking of [...room.allocations.values()]) {
    if (listed.has(booking) || booking.state === 'planned') {
      continue;
    }
    const isSettled =
      booking.acknowledgedClock !== undefined &&
      booking.acknowledgedClock < clock;
    // The first listing under a new epoch fences all orders of older ones.
    const isFencedOff = booking.epoch < context.epoch;
    if (isSettled || isFencedOff) {
      context.book.onRunLost(booking, 'its target does not list it');
      dropped++;
    }
  }
  return dropped;
}

/** A run that nobody expected still takes room until it is gone. */
function allocateOrphan(
  room: TargetState,
  {task, run}: ListedRun,
  unit: ActiveUnit | undefined,
  now: Instant,
): Allocation {
  const none: Demand = {cpu: 0, memoryMb: 0, accelerators: 0};
  const booking = createAllocation(
    {
      task,
      run,
      demand: unit?.step.demand ?? none,
      target: room,
      unit: undefined,
      memberIndex: 0,
      state: 'confirmed',
      epoch: 0,
    },
    now,
  );
  room.allocate(booking);
  return booking;
}
