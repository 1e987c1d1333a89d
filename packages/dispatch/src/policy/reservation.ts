/** Keeps room for a unit that does not fit yet, so that small work does not starve it. */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {Booking} from '../runs.js';
import {
  type Seeker,
  type Space,
  allowedMembers,
  fitsOf,
  give,
  groupsFor,
} from './space.js';

/** When the run of a booking is expected to end. */
export type ExpectEnd = (booking: Booking) => Instant;

interface Opening {
  at: Instant;
  spaces: Space[];
}

/** Marks the targets that will first have room for all members; false when none ever will. */
export function reserve(
  seeker: Seeker,
  spaces: readonly Space[],
  expectEnd: ExpectEnd,
  now: Instant,
): boolean {
  let best: Opening | undefined;
  for (const group of groupsFor(seeker, spaces)) {
    const opening = findOpening(seeker, group, expectEnd, now);
    if (opening && (!best || opening.at < best.at)) {
      best = opening;
    }
  }
  for (const space of best?.spaces ?? []) {
    space.keptFrom = Math.min(space.keptFrom, best!.at);
  }
  return best !== undefined;
}

/** Lets the bookings of a group end one after the other until the unit fits. */
function findOpening(
  seeker: Seeker,
  group: readonly Space[],
  expectEnd: ExpectEnd,
  now: Instant,
): Opening | undefined {
  const free = new Map<Space, Demand>();
  const ends: Array<{space: Space; booking: Booking; at: Instant}> = [];
  for (const space of group) {
    if (allowedMembers(seeker, space) === 0) {
      continue;
    }
    free.set(space, space.free);
    for (const booking of space.room.bookings.values()) {
      ends.push({space, booking, at: Math.max(now, expectEnd(booking))});
    }
  }
  ends.sort((a, b) => a.at - b.at);
  let total = 0;
  for (const [space, room] of free) {
    total += fitsOf(seeker, space, room);
  }
  let at = now;
  for (const end of ends) {
    if (total >= seeker.count) {
      break;
    }
    const before = free.get(end.space)!;
    const after = give(before, end.booking);
    free.set(end.space, after);
    total += fitsOf(seeker, end.space, after);
    total -= fitsOf(seeker, end.space, before);
    at = end.at;
  }
  if (total < seeker.count) {
    return undefined;
  }
  return {at, spaces: chooseFullest(seeker, free)};
}

/** The fewest targets that together take all members. */
export function chooseFullest(
  seeker: Seeker,
  free: ReadonlyMap<Space, Demand>,
): Space[] {
  const byFits = [...free]
    .map(([space, room]) => ({space, fits: fitsOf(seeker, space, room)}))
    .filter(({fits}) => fits > 0)
    .sort((a, b) => b.fits - a.fits);
  const chosen: Space[] = [];
  let missing = seeker.count;
  for (const {space, fits} of byFits) {
    if (missing <= 0) {
      break;
    }
    chosen.push(space);
    missing -= fits;
  }
  return chosen;
}
