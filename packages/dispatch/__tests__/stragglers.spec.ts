import t from 'tap';
import {
  type ActiveUnit,
  CrashAttribution,
  DEFAULT_SETTINGS,
  DurationEstimator,
} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {applyListing} from '../src/target_listing.js';
import {RunTracker} from '../src/run_tracker.js';
import {stopStragglers} from '../src/stragglers.js';
import type {TargetState} from '../src/target_state.js';
import {createJob, createTarget, createStep, addRun} from './fixtures.js';

const logger = new SilentLogger();

function createHarness(unit: ActiveUnit, target: TargetState) {
  const estimator = new DurationEstimator();
  const stopped: string[] = [];
  const events = {
    onChange: () => undefined,
    onStop: ({task}: {task: string}) => stopped.push(task),
  };
  const tracker = new RunTracker(events, estimator, logger);
  const context = {
    tracker,
    crashes: new CrashAttribution(() => undefined, logger),
    epoch: 1,
    maxLease: DEFAULT_SETTINGS.maxLease,
    findUnit: () => unit,
    findDemand: () => undefined,
    onOrphan: () => undefined,
  };
  const list = (percent: number, now: number, clock = now) => {
    const running = unit.allocations.map(({task, run}) => ({
      task,
      run,
      checkpoint: '',
      percent,
    }));
    const listing = {born: 0, clock, running, ended: []};
    applyListing(target, listing, context, now, now);
  };
  const check = (now: number) =>
    stopStragglers([unit.job], tracker, estimator, now, logger);
  return {list, check, stopped};
}

function createRun(values = {}) {
  const target = createTarget('a', 'r', 0);
  const step = createStep({count: 1, estimateMs: 10_000, ...values});
  const job = createJob('1', step);
  const unit = job.units[0]!;
  addRun(unit, target, 0);
  return {unit, target};
}

t.test(
  'the time in which a target is cut off does not count as a stall, even if a command is acknowledged before the next listing (kwjt-grid trouble-1)',
  t => {
    const {unit, target} = createRun();
    const {list, check, stopped} = createHarness(unit, target);
    [1000, 2000, 3000].forEach(now => list(now / 100, now));
    // The target is cut off until 9000. The response to a stop of another run
    // is the first to arrive.
    target.onResponse(9000, 9000, 9000);
    check(9005);
    t.same(stopped, []);
    list(90, 9010);
    check(9015);
    t.same(stopped, []);
    t.end();
  },
);

t.test('a run that is listed without progress is stopped as stalled', t => {
  const {unit, target} = createRun();
  const {list, check, stopped} = createHarness(unit, target);
  [1000, 2000, 3000].forEach(now => list(10, now));
  check(3000);
  t.equal(stopped.length, 1);
  t.end();
});

t.test('a long run is not stalled while it takes long for each percent', t => {
  const {unit, target} = createRun({estimateMs: 100_000});
  const {list, check, stopped} = createHarness(unit, target);
  for (let now = 1000; now <= 40_000; now += 1000) {
    // The run is five times slower than estimated.
    list(Math.floor(now / 5000), now);
    check(now);
  }
  t.same(stopped, []);
  t.end();
});

t.test(
  'a unit that saves its progress leaves a draining target in time though the notice arrived late (kwjt-grid-grown trouble-3)',
  t => {
    const {unit, target} = createRun({savesProgress: true});
    const {list, check, stopped} = createHarness(unit, target);
    list(5, 1000);
    // The drain notice gave 2000 ms and arrived 800 ms late, so the target
    // leaves at 2200.
    target.info = {...target.info, isDraining: true, remainingMs: 2000};
    target.drainingSince = 1000;
    check(1300);
    t.same(stopped, [], 'the run continues while there is time');
    check(1450);
    t.equal(stopped.length, 1);
    t.end();
  },
);

t.test(
  'a run that resumed from a checkpoint and goes on at its usual rate is not slow (menon-terrain-grown scale-1)',
  t => {
    const {unit, target} = createRun({savesProgress: true});
    const {list, check, stopped} = createHarness(unit, target);
    for (let now = 200; now <= 4700; now += 500) {
      list(51 + now / 100, now);
      check(now);
    }
    t.same(stopped, []);
    t.equal(target.faults.read(4700), 0, 'its target is not avoided');
    t.end();
  },
);

t.test(
  'a burst of listings that a busy dispatcher processed late does not change the rate (menon-terrain-grown scale-1)',
  t => {
    const {unit, target} = createRun({savesProgress: true});
    const {list, check, stopped} = createHarness(unit, target);
    for (let clock = 500; clock <= 6000; clock += 500) {
      const delay = clock < 2500 ? 0 : 2500;
      list(clock / 100, clock + delay, clock);
      check(clock + delay);
    }
    t.same(stopped, []);
    t.end();
  },
);
