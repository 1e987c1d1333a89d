/** Load: a tenth of the targets fails what runs on it, and jobs have three attempts (menon-terrain-grown scale-1). */
import t from 'tap';
import {
  DurationEstimator,
  type ActiveUnit,
  RunTracker,
  type TargetState,
  decide,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

function createTracker(): RunTracker {
  return new RunTracker(
    {onChange: () => undefined, onStop: () => undefined},
    new DurationEstimator(),
    new SilentLogger(),
  );
}

/** Lets the run of a unit on `target` fail at `now`. */
function failRun(unit: ActiveUnit, target: TargetState, now: number): void {
  addRun(unit, target, now - 100);
  unit.progress.run = unit.progress.lastFailedRun + 1;
  const allocation = unit.allocations[0]!;
  const {task} = allocation;
  target.release(allocation);
  allocation.run = unit.progress.run;
  target.allocate(allocation);
  createTracker().onEnd(
    target,
    {number: 1, task, run: unit.progress.run, kind: 'failed', checkpoint: ''},
    unit,
    now,
  );
}

const single = createStep({count: 1, isGang: false});

/** Returns the ids of the targets on which a unit is placed; undefined if it waits. */
function findPlacement(
  unit: ActiveUnit,
  targets: TargetState[],
  now: number,
): string[] | undefined {
  targets.forEach(target => {
    target.lastResponseAt = now;
  });
  const {starts} = decide(createSnapshot([unit.job], targets), now);
  return starts
    .find(start => start.unit === unit)
    ?.placement.shares.map(({candidate}) => candidate.target.info.id);
}

t.test('a target on which one run failed gets the next run last', t => {
  const faulty = createTarget('a', 'r1', 0);
  const sound = createTarget('b', 'r1', 0);
  failRun(createJob('1', single).units[0]!, faulty, 1000);
  const [unit] = createJob('2', single).units;
  t.same(findPlacement(unit!, [faulty, sound], 1100), ['b']);
  t.same(findPlacement(unit!, [faulty], 1100), ['a'], 'it is used if needed');
  t.same(
    findPlacement(unit!, [faulty, sound], 30_000),
    ['a'],
    'the failure is forgotten',
  );
  t.end();
});

t.test(
  'a unit that has failed waits for a target without failures rather than use up its attempts',
  t => {
    const first = createTarget('a', 'r1', 0);
    const second = createTarget('b', 'r1', 0);
    failRun(createJob('1', single).units[0]!, second, 900);
    const unit = createJob('2', single).units[0]!;
    failRun(unit, first, 1000);
    t.equal(findPlacement(unit, [first, second], 1500), undefined);
    const sound = createTarget('c', 'r1', 0);
    t.same(findPlacement(unit, [first, second, sound], 1500), ['c']);
    t.same(
      findPlacement(unit, [first, second], 3100),
      ['b'],
      'it does not wait for ever',
    );
    t.end();
  },
);

t.test('a job that fails everywhere casts less doubt on each target', t => {
  const targets = ['a', 'b', 'c', 'd'].map(id => createTarget(id, 'r1', 0));
  const job = createJob('1', createStep({count: 4, isGang: false}));
  job.units.forEach((unit, index) =>
    failRun(unit, targets[index]!, 1000 + index),
  );
  const scores = targets.map(({faults}) => faults.read(1003));
  t.ok(scores[0]! > 0.99);
  t.ok(scores.slice(1).every(score => score <= 0.5));
  t.end();
});
