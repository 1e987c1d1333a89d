/** Load: urgent jobs arrive while wide gangs that save no progress hold the accelerators (menon-terrain-grown scale-1). */
import t from 'tap';
import {
  DEFAULT_SETTINGS,
  type SchedulingSnapshot,
  decide,
} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

/** Creates eight targets that a gang has held for 10 s, and an urgent job of one member that was accepted at 0. */
function createLoad(values: Partial<SchedulingSnapshot> = {}) {
  const targets = Array.from({length: 8}, (_, index) =>
    createTarget(`t${index}`, 'r1', 0),
  );
  const whole = {cpu: 4000, memoryMb: 8000, accelerators: 8};
  const gang = createJob(
    'a',
    createStep({count: 8, estimateMs: 15_000, demand: whole}),
    {acceptedAt: -10_000, now: 0},
  );
  targets.forEach(target => addRun(gang.units[0]!, target, -10_000));
  const urgent = createJob(
    'b',
    createStep({count: 1, estimateMs: 2000, demand: whole}),
    {priority: 0},
  );
  return {
    targets,
    gang,
    urgent,
    snapshot: createSnapshot([gang, urgent], targets, values),
  };
}

t.test(
  'a guaranteed job does not stop costly work while it can still start in time otherwise',
  t => {
    const {snapshot} = createLoad();
    const {stops, waits} = decide(snapshot, 100);
    t.same(stops, []);
    t.match(waits[0]?.reason, /more than the limit/);
    t.end();
  },
);

t.test(
  'a guaranteed job stops costly work in time to start within the reclaim time',
  t => {
    const {snapshot, targets, gang} = createLoad();
    const {reclaimTime, stopTime} = DEFAULT_SETTINGS;
    const now = reclaimTime - 2 * stopTime - 600;
    targets.forEach(target => {
      target.lastResponseAt = now;
    });
    const {stops} = decide(snapshot, now);
    t.same(
      stops.map(({unit}) => unit),
      gang.units,
    );
    t.end();
  },
);

t.test('a job beyond the guarantee never stops such work', t => {
  const {snapshot, targets} = createLoad({guarantees: new Map()});
  targets.forEach(target => {
    target.lastResponseAt = 2500;
  });
  t.same(decide(snapshot, 2500).stops, []);
  t.end();
});

t.test(
  'nothing is stopped after a takeover before the targets have listed their runs',
  t => {
    const targets = ['a', 'b'].map(id => createTarget(id, 'r1', 0));
    const filler = createJob('1', createStep({count: 1}), {acceptedAt: -500});
    targets.forEach(target => addRun(filler.units[0]!, target, -100));
    const urgent = createJob(
      '2',
      createStep({
        count: 1,
        demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
      }),
      {priority: 0},
    );
    const jobs = [filler, urgent];
    const partial = createSnapshot(jobs, targets, {areTargetsListed: false});
    t.same(decide(partial, 10).stops, []);
    t.equal(decide(createSnapshot(jobs, targets), 10).stops.length, 1);
    t.end();
  },
);
