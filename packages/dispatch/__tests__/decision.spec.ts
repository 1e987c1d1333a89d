import t from 'tap';
import {decide} from '@galenavalve/dispatch';
import {
  createJob,
  createTarget,
  createSnapshot,
  createStep,
  addRun,
} from './fixtures.js';

const wide = createStep({
  count: 2,
  isRackSensitive: true,
  demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
});

t.test('a rack-sensitive gang is placed within one rack', t => {
  const rooms = [
    createTarget('a', 'r1', 0),
    createTarget('b', 'r2', 0),
    createTarget('c', 'r2', 0),
  ];
  const job = createJob('1', wide);
  const {starts} = decide(createSnapshot([job], rooms), 0);
  const racks = starts[0]!.placement.shares.map(
    ({candidate: space}) => space.rack,
  );
  t.same(racks, ['r2', 'r2']);
  t.end();
});

t.test(
  'a gang waits for its rack and is not spread while a rack could hold it',
  t => {
    const rooms = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const other = createTarget('c', 'r2', 0);
    const filler = createJob('f', createStep({count: 1}), {priority: 1});
    addRun(filler.units[0]!, rooms[0]!, 0);
    const job = createJob('1', wide);
    const situation = createSnapshot([filler, job], [...rooms, other]);
    t.same(decide(situation, 0).starts, []);
    t.end();
  },
);

t.test(
  'small work does not take the room that a waiting gang will have soon',
  t => {
    const rooms = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const filler = createJob('f', createStep({count: 1, estimateMs: 1000}));
    addRun(filler.units[0]!, rooms[0]!, 0);
    const gang = createJob('1', wide, {acceptedAt: -5000, now: 0});
    const long = createStep({count: 1, estimateMs: 60_000});
    const small = createJob('2', long, {priority: 2});
    const {starts} = decide(createSnapshot([filler, gang, small], rooms), 0);
    t.same(starts, [], 'the long one would outlast the wait');
    t.end();
  },
);

t.test('small work that ends before the gang can start fills the gap', t => {
  const rooms = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
  const filler = createJob('f', createStep({count: 1, estimateMs: 3000}));
  addRun(filler.units[0]!, rooms[0]!, 0);
  const gang = createJob('1', wide, {acceptedAt: -5000, now: 0});
  const short = createStep({count: 1, estimateMs: 1000});
  const small = createJob('2', short, {priority: 2});
  const {starts} = decide(createSnapshot([filler, gang, small], rooms), 0);
  t.equal(starts[0]?.unit.job.id, '2');
  t.end();
});

t.test(
  'a burst of urgent work stops the least work, and each keeps its claim',
  t => {
    const rooms = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const saved = createStep({
      count: 1,
      savesProgress: true,
      estimateMs: 20_000,
      demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
    });
    const unsaved = {...saved, savesProgress: false};
    const first = createJob('saved', saved, {priority: 2});
    const second = createJob('unsaved', unsaved, {priority: 2});
    addRun(first.units[0]!, rooms[0]!, 0);
    addRun(second.units[0]!, rooms[1]!, 0);
    const now = 8000;
    rooms.forEach(room => (room.lastResponseAt = now));
    const step = createStep({...wide, count: 1, isRackSensitive: false});
    const urgent = createJob('u', step, {priority: 0, acceptedAt: now});
    const situation = createSnapshot([first, second, urgent], rooms);
    const decision = decide(situation, now);
    t.same(
      decision.stops.map(({unit}) => unit.job.id),
      ['saved'],
    );
    t.same([...decision.targetClaims[0]!.rooms], [rooms[0]]);
    urgent.units[0]!.targetClaim = decision.targetClaims[0];
    const rival = createJob('v', step, {
      priority: 0,
      acceptedAt: now - 500,
      now,
    });
    first.units[0]!.phase = 'stopping';
    const later = decide(
      createSnapshot([first, second, urgent, rival], rooms),
      now + 10,
    );
    t.same(later.starts, [], 'the rival does not take the claimed room');
    t.notOk(
      later.stops.some(({unit}) => unit.job.id === 'saved'),
      'what is being stopped is not stopped again',
    );
    t.end();
  },
);

t.test('urgent work waits for a run that ends within its slack, once', t => {
  const rooms = [createTarget('a', 'r1', 0)];
  const step = createStep({
    count: 1,
    estimateMs: 4000,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
  });
  const filler = createJob('f', step, {priority: 2});
  addRun(filler.units[0]!, rooms[0]!, 0);
  const now = 3800;
  rooms[0]!.lastResponseAt = now;
  const booking = filler.units[0]!.allocations[0]!;
  Object.assign(booking, {percent: 95, percentAt: now});
  const urgent = createJob('u', step, {priority: 0, acceptedAt: now});
  const first = decide(createSnapshot([filler, urgent], rooms), now);
  t.same(first.stops, [], 'it ends by itself');
  urgent.units[0]!.targetClaim = {rooms: new Set(rooms), until: now};
  const second = decide(createSnapshot([filler, urgent], rooms), now + 1);
  t.equal(second.stops.length, 1, 'it did not');
  t.end();
});

t.test(
  'a target that drains, is silent, or whose domain is out gets no work',
  t => {
    const draining = createTarget('a', 'r1', 0);
    draining.info = {...draining.info, isDraining: true};
    const silent = createTarget('b', 'r1', -10_000);
    const out = createTarget('c', 'r1', 0);
    out.info = {...out.info, domain: 'out'};
    const job = createJob('1', createStep({count: 1}));
    const situation = createSnapshot([job], [draining, silent, out], {
      evacuated: new Set(['out']),
    });
    t.same(decide(situation, 0).starts, []);
    t.end();
  },
);

t.test(
  'a thousand waiting jobs are decided with many targets in bounded steps',
  t => {
    const rooms = Array.from({length: 33}, (_, index) =>
      createTarget(`t${index}`, `r${index % 4}`, 0),
    );
    const jobs = Array.from({length: 1000}, (_, index) =>
      createJob(String(index), createStep({count: 1 + (index % 5)}), {
        priority: index % 3,
        acceptedAt: index,
        now: 1000,
      }),
    );
    const {starts} = decide(createSnapshot(jobs, rooms), 1000);
    const used = new Map<string, number>();
    for (const {placement} of starts) {
      for (const {candidate: space, members} of placement.shares) {
        const id = space.target.info.id;
        used.set(id, (used.get(id) ?? 0) + members * 4);
      }
    }
    t.ok([...used.values()].every(accelerators => accelerators <= 8));
    t.ok(starts.length > 10);
    t.end();
  },
);

t.test(
  'a step whose advice is missing does not hold up another of its shape',
  t => {
    const rooms = [createTarget('a', 'r1', 0)];
    const first = createJob('1', createStep({count: 1}));
    const second = createJob('2', createStep({count: 1}), {
      acceptedAt: 10,
      now: 10,
    });
    first.accepted.terms.needsAdvice = true;
    second.accepted.terms.needsAdvice = true;
    const situation = createSnapshot([first, second], rooms, {
      findAllowedTargets: unit => new Set(unit.job === second ? ['a'] : []),
    });
    const {starts} = decide(situation, 10);
    t.same(
      starts.map(({unit}) => unit.job.id),
      ['2'],
    );
    t.end();
  },
);

t.test(
  'urgent work waits only for runs whose own progress says that they end soon (txingudi-sched quiet-1)',
  t => {
    for (const isKnown of [true, false]) {
      const rooms = [createTarget('a', 'r1', 5000)];
      const other = createJob('o', createStep({count: 2, estimateMs: 5200}), {
        acceptedAt: 0,
        now: 5000,
      });
      const [unit] = other.units;
      addRun(unit!, rooms[0]!, 0);
      addRun(unit!, rooms[0]!, 0);
      for (const booking of unit!.allocations) {
        booking.percent = isKnown ? 97 : 0;
        booking.percentAt = isKnown ? 4900 : 0;
      }
      const urgent = createJob('u', createStep({count: 1, estimateMs: 5000}), {
        priority: 0,
        acceptedAt: 5000,
        now: 5000,
      });
      const situation = createSnapshot([other, urgent], rooms);
      const {stops, targetClaims: claims} = decide(situation, 5000);
      t.equal(stops.length, isKnown ? 0 : 1);
      t.equal(claims.length, 1);
    }
    t.end();
  },
);
