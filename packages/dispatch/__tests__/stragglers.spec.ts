import t from 'tap';
import {DurationEstimator, type ActiveUnit} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {applyListing} from '../src/target_listing.js';
import {RunTracker} from '../src/run_tracker.js';
import {stopStragglers} from '../src/stragglers.js';
import type {TargetState} from '../src/target_state.js';
import {createJob, createTarget, createStep, addRun} from './fixtures.js';

const logger = new SilentLogger();

function createWatch(unit: ActiveUnit, room: TargetState) {
  const estimates = new DurationEstimator();
  const stopped: string[] = [];
  const events = {
    onChange: () => undefined,
    onStop: ({task}: {task: string}) => stopped.push(task),
  };
  const book = new RunTracker(events, estimates, logger);
  const context = {
    book,
    epoch: 1,
    findUnit: () => unit,
    onStray: () => undefined,
  };
  const list = (percent: number, now: number, clock = now) => {
    const running = unit.allocations.map(({task, run}) => ({
      task,
      run,
      checkpoint: '',
      percent,
    }));
    applyListing(room, {born: 0, clock, running, ended: []}, context, now);
  };
  const watch = (now: number) =>
    stopStragglers([unit.job], book, estimates, now, logger);
  return {list, watch, stopped};
}

function createRun(values = {}) {
  const room = createTarget('a', 'r', 0);
  const step = createStep({count: 1, estimateMs: 10_000, ...values});
  const job = createJob('1', step);
  const unit = job.units[0]!;
  addRun(unit, room, 0);
  return {unit, room};
}

t.test(
  'an order that is answered after a cut says nothing of a run that was not listed since (kwjt-grid trouble-1)',
  t => {
    const {unit, room} = createRun();
    const {list, watch, stopped} = createWatch(unit, room);
    [1000, 2000, 3000].forEach(now => list(now / 100, now));
    // The target is cut off until 9000; then a stop of another run is answered first.
    room.onResponse(9000, 9000);
    watch(9005);
    t.same(stopped, []);
    list(90, 9010);
    watch(9015);
    t.same(stopped, []);
    t.end();
  },
);

t.test('a run that is listed without progress stands still', t => {
  const {unit, room} = createRun();
  const {list, watch, stopped} = createWatch(unit, room);
  [1000, 2000, 3000].forEach(now => list(10, now));
  watch(3000);
  t.equal(stopped.length, 1);
  t.end();
});

t.test('a long run may take its time for each percent', t => {
  const {unit, room} = createRun({estimateMs: 100_000});
  const {list, watch, stopped} = createWatch(unit, room);
  for (let now = 1000; now <= 40_000; now += 1000) {
    // Five times as slow as expected.
    list(Math.floor(now / 5000), now);
    watch(now);
  }
  t.same(stopped, []);
  t.end();
});

t.test(
  'work that is saved leaves a target in time, though the notice was heard late (kwjt-grid-grown trouble-3)',
  t => {
    const {unit, room} = createRun({savesProgress: true});
    const {list, watch, stopped} = createWatch(unit, room);
    list(5, 1000);
    // The notice gave two seconds, and took 800 ms to get here: the target is gone at 2200.
    room.info = {...room.info, isDraining: true, remainingMs: 2000};
    room.drainingSince = 1000;
    watch(1300);
    t.same(stopped, [], 'it works on while it can');
    watch(1450);
    t.equal(stopped.length, 1);
    t.end();
  },
);

t.test(
  'a run that resumed from a checkpoint is not slow for going on at its usual pace (menon-terrain-grown scale-1)',
  t => {
    const {unit, room} = createRun({savesProgress: true});
    const {list, watch, stopped} = createWatch(unit, room);
    for (let now = 200; now <= 4700; now += 500) {
      list(51 + now / 100, now);
      watch(now);
    }
    t.same(stopped, []);
    t.equal(room.consecutiveFailures, 0, 'its target is not avoided');
    t.end();
  },
);

t.test(
  'a burst of listings that a busy dispatcher took late says nothing of the pace (menon-terrain-grown scale-1)',
  t => {
    const {unit, room} = createRun({savesProgress: true});
    const {list, watch, stopped} = createWatch(unit, room);
    for (let clock = 500; clock <= 6000; clock += 500) {
      const delay = clock < 2500 ? 0 : 2500;
      list(clock / 100, clock + delay, clock);
      watch(clock + delay);
    }
    t.same(stopped, []);
    t.end();
  },
);
