import t from 'tap';
import {compareMemberRates} from '../src/progress_rate.js';
import {createJob, createTarget, createStep, addRun} from './fixtures.js';

/** A gang whose members made this much progress in ten seconds, each on a target of its own. */
function createGang(percents: number[]) {
  const rooms = percents.map((_, index) => createTarget(`t${index}`, 'r', 0));
  const step = createStep({count: percents.length});
  const unit = createJob('1', step).units[0]!;
  rooms.forEach(room => addRun(unit, room, 0));
  for (const [index, booking] of unit.allocations.entries()) {
    booking.percent = percents[index]!;
    booking.percentAt = 10_000;
  }
  return {rooms, bookings: unit.allocations};
}

t.test('a target that keeps its gangs waiting is known as slow', t => {
  const {rooms, bookings} = createGang([90, 90, 60, 90]);
  for (let gang = 0; gang < 6; gang++) {
    compareMemberRates(bookings);
  }
  const slownesses = rooms.map(({slowness}) => Number(slowness.toFixed(3)));
  t.same(slownesses, [1, 1, 1.5, 1]);
  t.end();
});

t.test('two members do not tell which of them is slow', t => {
  const {rooms, bookings} = createGang([90, 60]);
  for (let gang = 0; gang < 6; gang++) {
    compareMemberRates(bookings);
  }
  t.same(
    rooms.map(({slowness}) => slowness),
    [1, 1],
  );
  t.end();
});
