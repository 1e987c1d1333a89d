import t from 'tap';
import {type ActiveUnit, createAllocation} from '@galenavalve/dispatch';
import {ManualClock} from '@galenavalve/shared';
import {StartQueue} from '../src/start_queue.js';
import {createJob, createStep, createTarget} from './fixtures.js';

/** Creates units of single tasks, placed on one target and recorded. */
function createUnits(count: number, priority = 1): ActiveUnit[] {
  const step = createStep({count, isGang: false});
  const target = createTarget('t', 'r', 0);
  const {units} = createJob('j', step, {priority});
  for (const unit of units) {
    place(unit, target);
  }
  return units;
}

function place(
  unit: ActiveUnit,
  target = unit.allocations[0]!.target,
  demand = unit.step.demand,
): void {
  unit.progress.run++;
  unit.phase = 'recording';
  const {run} = unit.progress;
  const task = `j.0.0.${unit.unitIndex}`;
  const memberIndex = 0;
  const values = {task, run, demand, target, unit, memberIndex, epoch: 1};
  unit.allocations = [createAllocation({...values, state: 'planned'}, 0)];
}

function createQueue() {
  const clock = new ManualClock(0);
  const started: ActiveUnit[] = [];
  const leadership = {isClosed: false};
  const queue = new StartQueue(
    leadership,
    unit => {
      unit.phase = 'starting';
      started.push(unit);
    },
    clock,
  );
  return {clock, started, leadership, queue};
}

// Guards against a burst of starts that wait for each other's connections until they time out, so that leases lapse and nothing runs (issue 47).
t.test('few starts are in progress on a target at a time', async t => {
  const {clock, started, queue} = createQueue();
  const units = createUnits(100);
  units.forEach(unit => queue.add(unit));
  let most = 0;
  for (let round = 0; round < 100 && started.length < 100; round++) {
    const pending = started.filter(({phase}) => phase === 'starting');
    most = Math.max(most, pending.length);
    pending.forEach(unit => (unit.phase = 'running'));
    await clock.advance(5);
  }
  t.equal(most, 8);
  t.same(
    started.map(({unitIndex}) => unitIndex),
    units.map(({unitIndex}) => unitIndex),
    'all are started in order',
  );
});

t.test('urgent units and gangs start at once', t => {
  const {started, queue} = createQueue();
  createUnits(20, 0).forEach(unit => queue.add(unit));
  t.equal(started.length, 20);
  const [gang] = createJob('g', createStep()).units;
  place(gang!, createTarget('t', 'r', 0));
  queue.add(gang!);
  t.equal(started.length, 21);
  t.end();
});

t.test(
  'a waiting unit that was stopped, placed anew or is no longer led does not start',
  async t => {
    const {clock, started, leadership, queue} = createQueue();
    const units = createUnits(30);
    units.forEach(unit => queue.add(unit));
    units[8]!.phase = 'stopping';
    place(units[9]!);
    const finish = () => started.forEach(unit => (unit.phase = 'running'));
    finish();
    await clock.advance(5);
    t.equal(started.length, 16);
    t.notOk(started.includes(units[8]!), 'stopped');
    t.notOk(started.includes(units[9]!), 'its new placement is not recorded');
    queue.add(units[9]!);
    leadership.isClosed = true;
    finish();
    await clock.advance(100);
    t.equal(started.length, 16);
  },
);
