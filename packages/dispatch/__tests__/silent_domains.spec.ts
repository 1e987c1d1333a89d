import t from 'tap';
import {type TargetState, decide} from '@galenavalve/dispatch';
import {
  createJob,
  createTarget,
  createSnapshot,
  createStep,
} from './fixtures.js';

const single = createStep({count: 1});

/** Four targets, two in each of two domains. */
function createRooms(now: number): TargetState[] {
  const rooms = ['a', 'b', 'c', 'e'].map(id => createTarget(id, 'r', now));
  rooms[0]!.info.domain = rooms[1]!.info.domain = 'd1';
  rooms[2]!.info.domain = rooms[3]!.info.domain = 'd2';
  return rooms;
}

function placedDomains(rooms: TargetState[], now: number): Set<string> {
  const jobs = Array.from({length: 8}, (_, index) => String(index)).map(id =>
    createJob(id, single, {acceptedAt: now}),
  );
  const {starts} = decide(createSnapshot(jobs, rooms), now);
  const domains = starts.flatMap(({placement}) =>
    placement.shares.map(({candidate: space}) => space.domain),
  );
  return new Set(domains);
}

t.test('a domain whose targets fall silent together gets no new work', t => {
  const rooms = createRooms(1000);
  const [first, second, third] = rooms;
  first!.responseDueAt = 1200;
  second!.responseDueAt = 1250;
  third!.onResponse(1, 1500);
  t.same(placedDomains(rooms, 1600), new Set(['d2']));
  t.end();
});

t.test('one silent target says nothing of its domain', t => {
  const rooms = createRooms(1000);
  rooms[0]!.responseDueAt = 1200;
  const domains = placedDomains(rooms, 1600);
  t.same(domains, new Set(['d1', 'd2']));
  t.end();
});

t.test('an answer of any target opens its domain again', t => {
  const rooms = createRooms(1000);
  rooms.push(createTarget('f', 'r', 1000));
  rooms[4]!.info.domain = 'd1';
  rooms[0]!.responseDueAt = 1200;
  rooms[1]!.responseDueAt = 1250;
  rooms[4]!.onResponse(1, 1550);
  t.same(placedDomains(rooms, 1600), new Set(['d1', 'd2']));
  t.end();
});

t.test('a target whose listing is late gets no new work', t => {
  const rooms = [createTarget('a', 'r', 1000)];
  rooms[0]!.responseDueAt = 1200;
  t.equal(placedDomains(rooms, 1400).size, 1);
  t.equal(placedDomains(rooms, 1500).size, 0);
  t.end();
});
