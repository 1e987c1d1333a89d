import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import t from 'tap';
import {
  type Allocation,
  createAllocation,
  type ActiveUnit,
} from '@galenavalve/dispatch';
import {createJob, createStep, createTarget} from './fixtures.js';

const TASKS = 4000;

/** Limit of the heap that one allocation takes, in bytes. */
const MAX_ALLOCATION_BYTES = 800;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function measureHeap(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

// Guards against running tasks that take so much heap that as many as are accepted end the leader (issue 47).
t.test('the allocation of a running task is small', t => {
  const step = createStep({count: TASKS, isGang: false});
  const target = createTarget('t', 'r', 0);
  const {units} = createJob('j', step);
  const allocate = (unit: ActiveUnit): Allocation => {
    const allocation = createAllocation(
      {
        task: 'task',
        run: 1,
        demand: step.demand,
        target,
        unit,
        memberIndex: 0,
        state: 'planned',
        epoch: 1,
      },
      0.5,
    );
    allocation.startedAt = 1.5;
    allocation.acknowledgedClock = 1.5;
    allocation.currentRate = 1.5;
    allocation.rateSample = {percent: 1, clock: 1.5};
    return allocation;
  };
  allocate(units[0]!);
  const before = measureHeap();
  const allocations = units.map(allocate);
  const bytes = (measureHeap() - before) / allocations.length;
  t.ok(bytes < MAX_ALLOCATION_BYTES, `${Math.round(bytes)} bytes`);
  t.end();
});
