import t from 'tap';
import {decide} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

const NOW = 20_000;

// Guards against starts on a target that is over its capacity because it has shrunk.
t.test(
  'a target that has shrunk below its runs takes no run, not even one that needs nothing of what it lacks',
  async t => {
    const target = createTarget('a', 'r', NOW);
    const running = createJob('1', createStep({count: 1}));
    addRun(running.units[0]!, target, 0);
    const {capacity} = target.info;
    target.info = {...target.info, capacity: {...capacity, accelerators: 2}};
    const demand = {cpu: 1000, memoryMb: 1000, accelerators: 0};
    const waiting = createJob('2', createStep({count: 1, demand}));
    const list = () => decide(createSnapshot([waiting], [target]), NOW).starts;
    t.same(list(), []);
    target.info = {...target.info, capacity};
    t.equal(list().length, 1);
  },
);
