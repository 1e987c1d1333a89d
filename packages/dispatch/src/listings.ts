/** Takes a target's listing into the books: ends, progress, strays, and runs that are gone. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {samplePace} from './pace.js';
import type {RunBook} from './run_book.js';
import {type Booking, type UnitRun, createBooking} from './runs.js';
import type {ListedRun, TargetListing} from './target_port.js';
import type {TargetRoom} from './target_room.js';

/** Most ends that one listing carries; runs may be missing from a longer one. */
const MAX_LISTED_ENDS = 500;

/** Most time between two listings in which a run counts as seen: one listing, and its way. */
const LONGEST_GAP: Milliseconds = 1200;

/** Finds the unit that a task belongs to. */
export type FindUnit = (task: string) => UnitRun | undefined;

/** Takes a listing of `room` made under `epoch`. Returns whether a run ended, was gone, or was not expected there. */
export function takeListing(
  room: TargetRoom,
  listing: TargetListing,
  context: {
    book: RunBook;
    findUnit: FindUnit;
    epoch: number;
    onStray: (booking: Booking) => void;
  },
  now: Instant,
): boolean {
  room.onAnswer(listing.clock, now);
  if (listing.clock < room.listedClock) {
    return false;
  }
  let hasChanged = false;
  room.listedClock = listing.clock;
  room.hasAnswered = true;
  for (const end of [...listing.ended].sort((a, b) => a.number - b.number)) {
    if (end.number > room.seenEnd) {
      room.seenEnd = end.number;
      hasChanged = true;
      context.book.onEnd(room, end, context.findUnit(end.task), now);
    }
  }
  const listed = new Set<Booking>();
  for (const run of listing.running) {
    const booking = room.find(run.task, run.run);
    if (booking) {
      listed.add(booking);
      takeProgress(booking, run, listing.clock, context.book, now);
    } else {
      const stray = bookStray(room, run, context.findUnit(run.task), now);
      listed.add(stray);
      context.onStray(stray);
      hasChanged = true;
    }
  }
  if (listing.ended.length < MAX_LISTED_ENDS) {
    const dropped = dropAbsent(room, listed, listing.clock, context);
    hasChanged ||= dropped > 0;
  }
  return hasChanged;
}

function takeProgress(
  booking: Booking,
  run: ListedRun,
  clock: number,
  book: RunBook,
  now: Instant,
): void {
  book.onStarted(booking, clock, now);
  const unseen = now - booking.listedAt;
  booking.listedAt = now;
  booking.stillFor += Math.min(unseen, LONGEST_GAP);
  if (run.percent > booking.percent) {
    booking.stillFor = 0;
    if (booking.percent === 0) {
      booking.firstPercent = run.percent;
      booking.firstPercentAt = now;
    }
    booking.percent = run.percent;
    booking.percentAt = now;
  }
  const {unit} = booking;
  samplePace(booking, unit?.step.estimateMs ?? 0, clock);
  if (unit && run.checkpoint !== '' && unit.progress.run === run.run) {
    unit.progress.checkpoint = run.checkpoint;
  }
}

/** Returns how many runs were gone. */
function dropAbsent(
  room: TargetRoom,
  listed: ReadonlySet<Booking>,
  clock: number,
  context: {book: RunBook; epoch: number},
): number {
  let dropped = 0;
  for (const booking of [...room.bookings.values()]) {
    if (listed.has(booking) || booking.state === 'planned') {
      continue;
    }
    const isSettled =
      booking.settledClock !== undefined && booking.settledClock < clock;
    // The first listing under a new epoch fences all orders of older ones.
    const isFencedOff = booking.epoch < context.epoch;
    if (isSettled || isFencedOff) {
      context.book.onGone(booking, 'its target does not list it');
      dropped++;
    }
  }
  return dropped;
}

/** A run that nobody expected still takes room until it is gone. */
function bookStray(
  room: TargetRoom,
  {task, run}: ListedRun,
  unit: UnitRun | undefined,
  now: Instant,
): Booking {
  const none: Demand = {cpu: 0, memoryMb: 0, accelerators: 0};
  const booking = createBooking(
    {
      task,
      run,
      demand: unit?.step.demand ?? none,
      room,
      unit: undefined,
      memberIndex: 0,
      state: 'confirmed',
      epoch: 0,
    },
    now,
  );
  room.book(booking);
  return booking;
}
