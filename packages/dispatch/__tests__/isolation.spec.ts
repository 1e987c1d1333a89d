import t from 'tap';
import {type ActiveJob, type TargetState, decide} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

const NOW = 20_000;

/** Creates a job of one task under which a target crashed at `crashedAt`, when the task started. */
function createSuspect(id: string, crashedAt: number, count = 1): ActiveJob {
  const job = createJob(id, createStep({isGang: false, count: 1}));
  const unit = job.units[0]!;
  unit.lastCrashAt = crashedAt;
  unit.progress.run = count;
  unit.progress.crashes = [
    {member: 0, count, total: count, minAge: 0, maxAge: 3000, incarnations: []},
  ];
  return job;
}

/** Creates a target with a listed run of another job. */
function createBusyTarget(id: string): TargetState {
  const target = createTarget(id, 'r', NOW);
  const {units} = createJob(`${id}-job`, createStep({isGang: false, count: 1}));
  addRun(units[0]!, target, NOW - 5000);
  units[0]!.allocations[0]!.isListed = true;
  return target;
}

function listStarts(jobs: ActiveJob[], targets: TargetState[]) {
  return decide(createSnapshot(jobs, targets), NOW).starts.map(
    ({unit, placement}) =>
      `${unit.job.id} on ${placement.shares[0]!.candidate.target.info.id}`,
  );
}

// Guards against jobs that are placed beside a crashing task again and again and are blamed for its crashes.
t.test('tasks that a crash has made suspects start apart', async t => {
  const jobs = ['1', '2', '3'].map(id => createSuspect(id, NOW));
  const targets = ['a', 'b', 'c'].map(id => createTarget(id, 'r', NOW));
  t.same(listStarts(jobs, targets), ['1 on a', '2 on b', '3 on c']);
});

// Guards against a pool that is closed as a whole after many crashes at once.
t.test('suspects close at most half of the targets of a pool', async t => {
  const targets = Array.from('abcd', id => createTarget(id, 'r', NOW));
  const suspects = ['1', '2', '3', '4'].map(id => createSuspect(id, NOW));
  const others = ['x', 'y'].map(id =>
    createJob(id, createStep({isGang: false, count: 1})),
  );
  t.same(listStarts([...suspects, ...others], targets), [
    '1 on a',
    '2 on b',
    '3 on c',
    '4 on c',
    'x on d',
    'y on d',
  ]);
});

// Guards against targets that are closed by suspects for which the share was used up.
t.test('a suspect that was not isolated closes no target', async t => {
  const target = createTarget('a', 'r', NOW);
  const suspect = createSuspect('1', NOW - 500).units[0]!;
  addRun(suspect, target, NOW - 100);
  suspect.allocations[0]!.isIsolated = false;
  const other = createJob('2', createStep({isGang: false, count: 1}));
  t.same(listStarts([other], [target]), ['2 on a']);
});

t.test('no other work starts beside a suspect', async t => {
  const target = createTarget('a', 'r', NOW);
  addRun(createSuspect('1', NOW - 500).units[0]!, target, NOW - 100);
  const other = createJob('2', createStep({isGang: false, count: 1}));
  t.same(listStarts([other], [target]), []);
});

t.test(
  'a suspect waits two seconds for an empty target, and then starts beside other work',
  async t => {
    const busy = createBusyTarget('a');
    t.same(listStarts([createSuspect('1', NOW - 1999)], [busy]), []);
    t.same(listStarts([createSuspect('1', NOW - 2001)], [busy]), ['1 on a']);
  },
);

// Guards against urgent work that stops others for a run that will crash its target.
t.test(
  'nothing is stopped for a task under which targets crashed twice',
  async t => {
    const suspect = createSuspect('1', NOW - 3000, 2);
    suspect.accepted.terms.priority = 0;
    const target = createTarget('a', 'r', NOW);
    const step = createStep({isGang: false, count: 1});
    const whole = {cpu: 64_000, memoryMb: 8000, accelerators: 8};
    const running = createJob('2', {...step, demand: whole});
    addRun(running.units[0]!, target, NOW - 5000);
    running.units[0]!.allocations[0]!.isListed = true;
    const {stops, starts} = decide(
      createSnapshot([suspect, running], [target]),
      NOW,
    );
    t.same([stops, starts], [[], []]);
  },
);

t.test('a gang starts on targets without unlisted runs', async t => {
  const gang = createJob('1', createStep({count: 2}));
  gang.units[0]!.lastCrashAt = NOW;
  gang.units[0]!.progress.crashes = [
    {member: 1, count: 1, total: 1, minAge: 0, maxAge: 3000, incarnations: []},
  ];
  const fresh = createTarget('a', 'r', NOW);
  addRun(createJob('2', createStep()).units[0]!, fresh, NOW - 100);
  t.same(listStarts([gang], [fresh, createBusyTarget('b')]), []);
  t.same(listStarts([gang], [fresh, createTarget('c', 'r', NOW)]), ['1 on c']);
});
