/** Incident LOST: units that wait without an end for a placement near their data or in one rack. */
import t from 'tap';
import {type ActiveJob, type TargetState, decide} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTargets,
} from './fixtures.js';

const NOW = 20_000;

const whole = {cpu: 4000, memoryMb: 8000, accelerators: 8};
const nearData = createStep({
  count: 1,
  isGang: false,
  demand: whole,
  dataRack: 'r0',
});
const gang = createStep({count: 4, demand: whole, isRackSensitive: true});

/** Fills `target` with a run of `step` that started at `startedAt`. */
function occupy(
  target: TargetState,
  values: Parameters<typeof createStep>[0],
  startedAt = 0,
): ActiveJob {
  const step = createStep({count: 1, isGang: false, ...values});
  const job = createJob(`run-on-${target.info.id}`, step, {priority: 2});
  addRun(job.units[0]!, target, startedAt);
  return job;
}

function listRacks(
  job: ActiveJob,
  targets: TargetState[],
  now = NOW,
): string[] {
  const {starts} = decide(createSnapshot([job], targets), now);
  return starts.flatMap(({placement}) =>
    placement.shares.map(({candidate}) => candidate.rack),
  );
}

// Guards against a wait without an end for a rack that long runs fill, while the other racks are empty.
t.test(
  'a task starts away from its data if the runs there end later than a far run would',
  async t => {
    const targets = createTargets(20, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      occupy(target, {demand: whole, estimateMs: 600_000});
    }
    t.equal(listRacks(createJob('1', nearData), targets).length, 1);
  },
);

// Guards against the same wait where the runs have no end to wait for.
t.test(
  'a task starts away from its data if long-running tasks fill its rack',
  async t => {
    const targets = createTargets(20, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      const {units} = occupy(target, {demand: whole, isLongRunning: true});
      const [allocation] = units[0]!.allocations;
      Object.assign(allocation!, {percent: 100, percentAt: 1000});
    }
    t.equal(listRacks(createJob('1', nearData), targets).length, 1);
  },
);

// Guards against a wait that is repeated in each pass for runs that have outlasted their estimates.
t.test(
  'a task starts away from its data if the runs there should have ended long ago',
  async t => {
    const targets = createTargets(20, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      occupy(target, {demand: whole, estimateMs: 1000});
    }
    t.equal(listRacks(createJob('1', nearData), targets).length, 1);
  },
);

// Guards against a far run, which takes three times as long, where the wait is short.
t.test(
  'a task waits for its data if a run there ends before a far run would',
  async t => {
    const targets = createTargets(20, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      occupy(target, {demand: whole, estimateMs: 4000}, NOW - 3500);
    }
    t.same(listRacks(createJob('1', nearData), targets), []);
  },
);

// Guards against a gang that waits without an end because each rack has one small long run.
t.test(
  'a rack-sensitive gang spans racks if no rack is free before it would end',
  async t => {
    for (const isLongRunning of [true, false]) {
      const targets = createTargets(40, 4, NOW);
      for (let index = 0; index < targets.length; index += 4) {
        const demand = {...whole, accelerators: 1};
        occupy(targets[index]!, {demand, estimateMs: 600_000, isLongRunning});
      }
      const job = createJob('1', gang);
      t.equal(listRacks(job, targets).length, 4, `${isLongRunning}`);
    }
  },
);

// Guards against a wait for data in a domain that receives no work.
t.test(
  'a task starts away from data in an evacuated domain or a rack that is gone',
  async t => {
    const targets = createTargets(6, 2, NOW);
    for (const target of targets.slice(0, 2)) {
      target.info = {...target.info, domain: 'out'};
    }
    const snapshot = createSnapshot([createJob('1', nearData)], targets, {
      evacuated: new Set(['out']),
    });
    t.equal(decide(snapshot, NOW).starts.length, 1);
    t.equal(listRacks(createJob('1', nearData), targets.slice(2)).length, 1);
  },
);
