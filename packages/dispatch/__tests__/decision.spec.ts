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
  const targets = [
    createTarget('a', 'r1', 0),
    createTarget('b', 'r2', 0),
    createTarget('c', 'r2', 0),
  ];
  const job = createJob('1', wide);
  const {starts} = decide(createSnapshot([job], targets), 0);
  const racks = starts[0]!.placement.shares.map(
    ({candidate}) => candidate.rack,
  );
  t.same(racks, ['r2', 'r2']);
  t.end();
});

t.test(
  'a rack-sensitive gang waits and is not spread while a rack could hold it',
  t => {
    const targets = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const other = createTarget('c', 'r2', 0);
    const filler = createJob('f', createStep({count: 1}), {priority: 1});
    addRun(filler.units[0]!, targets[0]!, 0);
    const job = createJob('1', wide);
    const snapshot = createSnapshot([filler, job], [...targets, other]);
    t.same(decide(snapshot, 0).starts, []);
    t.end();
  },
);

t.test(
  'a small unit does not take capacity that is reserved for a waiting gang',
  t => {
    const targets = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const filler = createJob('f', createStep({count: 1, estimateMs: 1000}));
    addRun(filler.units[0]!, targets[0]!, 0);
    const gang = createJob('1', wide, {acceptedAt: -5000, now: 0});
    const long = createStep({count: 1, estimateMs: 60_000});
    const small = createJob('2', long, {priority: 2});
    const {starts} = decide(createSnapshot([filler, gang, small], targets), 0);
    t.same(starts, [], 'the small unit would end after the reservation begins');
    t.end();
  },
);

t.test('a small unit that ends before the gang can start is backfilled', t => {
  const targets = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
  const filler = createJob('f', createStep({count: 1, estimateMs: 3000}));
  addRun(filler.units[0]!, targets[0]!, 0);
  const gang = createJob('1', wide, {acceptedAt: -5000, now: 0});
  const short = createStep({count: 1, estimateMs: 1000});
  const small = createJob('2', short, {priority: 2});
  const {starts} = decide(createSnapshot([filler, gang, small], targets), 0);
  t.equal(starts[0]?.unit.job.id, '2');
  t.end();
});

t.test(
  'urgent units stop the work with the lowest cost, and each keeps its target claim',
  t => {
    const targets = [createTarget('a', 'r1', 0), createTarget('b', 'r1', 0)];
    const saved = createStep({
      count: 1,
      savesProgress: true,
      estimateMs: 20_000,
      demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
    });
    const unsaved = {...saved, savesProgress: false};
    const first = createJob('saved', saved, {priority: 2});
    const second = createJob('unsaved', unsaved, {priority: 2});
    addRun(first.units[0]!, targets[0]!, 0);
    addRun(second.units[0]!, targets[1]!, 0);
    const now = 8000;
    targets.forEach(target => (target.lastResponseAt = now));
    const step = createStep({...wide, count: 1, isRackSensitive: false});
    const urgent = createJob('u', step, {priority: 0, acceptedAt: now});
    const snapshot = createSnapshot([first, second, urgent], targets);
    const decision = decide(snapshot, now);
    t.same(
      decision.stops.map(({unit}) => unit.job.id),
      ['saved'],
    );
    t.same([...decision.targetClaims[0]!.targets], [targets[0]]);
    urgent.units[0]!.targetClaim = decision.targetClaims[0];
    const rival = createJob('v', step, {
      priority: 0,
      acceptedAt: now - 500,
      now,
    });
    first.units[0]!.phase = 'stopping';
    const later = decide(
      createSnapshot([first, second, urgent, rival], targets),
      now + 10,
    );
    t.same(
      later.starts,
      [],
      'the other urgent unit does not take the claimed target',
    );
    t.notOk(
      later.stops.some(({unit}) => unit.job.id === 'saved'),
      'a unit that is being stopped is not stopped again',
    );
    t.end();
  },
);

t.test('an urgent unit waits once for a run that ends within its slack', t => {
  const targets = [createTarget('a', 'r1', 0)];
  const step = createStep({
    count: 1,
    estimateMs: 4000,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
  });
  const filler = createJob('f', step, {priority: 2});
  addRun(filler.units[0]!, targets[0]!, 0);
  const now = 3800;
  targets[0]!.lastResponseAt = now;
  const allocation = filler.units[0]!.allocations[0]!;
  Object.assign(allocation, {percent: 95, percentAt: now});
  const urgent = createJob('u', step, {priority: 0, acceptedAt: now});
  const first = decide(createSnapshot([filler, urgent], targets), now);
  t.same(first.stops, [], 'the run is expected to end by itself');
  urgent.units[0]!.targetClaim = {targets: new Set(targets), until: now};
  const second = decide(createSnapshot([filler, urgent], targets), now + 1);
  t.equal(second.stops.length, 1, 'the run did not end in time');
  t.end();
});

t.test(
  'a target that drains, does not respond or is in an evacuated domain gets no work',
  t => {
    const draining = createTarget('a', 'r1', 0);
    draining.info = {...draining.info, isDraining: true};
    const unresponsive = createTarget('b', 'r1', -10_000);
    const evacuated = createTarget('c', 'r1', 0);
    evacuated.info = {...evacuated.info, domain: 'out'};
    const job = createJob('1', createStep({count: 1}));
    const snapshot = createSnapshot(
      [job],
      [draining, unresponsive, evacuated],
      {
        evacuated: new Set(['out']),
      },
    );
    t.same(decide(snapshot, 0).starts, []);
    t.end();
  },
);

t.test(
  'a pass over a thousand waiting jobs and many targets places units within capacity',
  t => {
    const targets = Array.from({length: 33}, (_, index) =>
      createTarget(`t${index}`, `r${index % 4}`, 0),
    );
    const jobs = Array.from({length: 1000}, (_, index) =>
      createJob(String(index), createStep({count: 1 + (index % 5)}), {
        priority: index % 3,
        acceptedAt: index,
        now: 1000,
      }),
    );
    const {starts} = decide(createSnapshot(jobs, targets), 1000);
    const used = new Map<string, number>();
    for (const {placement} of starts) {
      for (const {candidate, members} of placement.shares) {
        const id = candidate.target.info.id;
        used.set(id, (used.get(id) ?? 0) + members * 4);
      }
    }
    t.ok([...used.values()].every(accelerators => accelerators <= 8));
    t.ok(starts.length > 10);
    t.end();
  },
);

t.test(
  'a step without advice does not block another step of the same shape',
  t => {
    const targets = [createTarget('a', 'r1', 0)];
    const first = createJob('1', createStep({count: 1}));
    const second = createJob('2', createStep({count: 1}), {
      acceptedAt: 10,
      now: 10,
    });
    first.accepted.terms.needsAdvice = true;
    second.accepted.terms.needsAdvice = true;
    const snapshot = createSnapshot([first, second], targets, {
      findAllowedTargets: unit => new Set(unit.job === second ? ['a'] : []),
    });
    const {starts} = decide(snapshot, 10);
    t.same(
      starts.map(({unit}) => unit.job.id),
      ['2'],
    );
    t.end();
  },
);

t.test(
  'an urgent unit waits only for runs whose own progress shows that they end soon (txingudi-sched quiet-1)',
  t => {
    for (const isKnown of [true, false]) {
      const targets = [createTarget('a', 'r1', 5000)];
      const other = createJob('o', createStep({count: 2, estimateMs: 5200}), {
        acceptedAt: 0,
        now: 5000,
      });
      const [unit] = other.units;
      addRun(unit!, targets[0]!, 0);
      addRun(unit!, targets[0]!, 0);
      for (const allocation of unit!.allocations) {
        allocation.percent = isKnown ? 97 : 0;
        allocation.percentAt = isKnown ? 4900 : 0;
      }
      const urgent = createJob('u', createStep({count: 1, estimateMs: 5000}), {
        priority: 0,
        acceptedAt: 5000,
        now: 5000,
      });
      const snapshot = createSnapshot([other, urgent], targets);
      const {stops, targetClaims} = decide(snapshot, 5000);
      t.equal(stops.length, isKnown ? 0 : 1);
      t.equal(targetClaims.length, 1);
    }
    t.end();
  },
);
