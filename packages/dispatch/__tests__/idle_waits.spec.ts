import t from 'tap';
import {type ActiveJob, type TargetState, decide} from '@galenavalve/dispatch';
import type {Step} from '@galenavalve/workload';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTargets,
} from './fixtures.js';

const NOW = 20_000;
const WHOLE = {cpu: 64_000, memoryMb: 131_072, accelerators: 8};
const SMALL = {cpu: 1000, memoryMb: 1000, accelerators: 1};

/** Creates a job of single tasks that have waited for 10 s. */
function createWaitingJob(values: Partial<Step>): ActiveJob {
  const step = createStep({
    count: 1,
    isGang: false,
    demand: SMALL,
    estimateMs: 600_000,
    ...values,
  });
  const job = createJob('waiting', step, {acceptedAt: NOW - 15_000});
  job.units.forEach(unit => {
    unit.waitingSince = NOW - 10_000;
  });
  return job;
}

/** Fills `target` with a long run. */
function occupy(target: TargetState): ActiveJob {
  const step = createStep({
    count: 1,
    isGang: false,
    demand: WHOLE,
    estimateMs: 600_000,
  });
  const job = createJob(`on-${target.info.id}`, step);
  addRun(job.units[0]!, target, 0);
  job.units[0]!.allocations[0]!.isListed = true;
  return job;
}

function countStarts(jobs: ActiveJob[], targets: TargetState[]): number {
  return decide(createSnapshot(jobs, targets), NOW).starts.length;
}

// Guards against a long-running task that waits near its data because most of the pool is in use.
t.test(
  'a long-running task gives up its data rack however full the pool is',
  async t => {
    for (const full of [4, 6, 8]) {
      const targets = createTargets(10, 2, NOW);
      const running = targets.slice(0, full).map(occupy);
      const job = createWaitingJob({isLongRunning: true, dataRack: 'r0'});
      t.equal(countStarts([...running, job], targets), 1, `${full} of 10`);
    }
  },
);

// Guards against waits without an end while a run of the same job is being stopped on a target that does not respond.
t.test('a task gives up its data rack while a sibling is stopped', async t => {
  const targets = createTargets(20, 2, NOW);
  const running = targets.slice(0, 2).map(occupy);
  const job = createWaitingJob({count: 2, dataRack: 'r0'});
  const sibling = job.units[1]!;
  addRun(sibling, targets[19]!, NOW - 11_000);
  sibling.phase = 'stopping';
  targets[19]!.lastResponseAt = NOW - 10_000;
  t.equal(countStarts([...running, job], targets), 1);
});

// Guards against waits without an end after the loss of many targets, whose runs are believed alive until their leases end.
t.test('runs on silent targets do not make the pool full', async t => {
  const targets = createTargets(24, 4, NOW);
  const lost = targets.slice(0, 12);
  const running = [...lost, ...targets.slice(12, 16)].map(occupy);
  for (const target of lost) {
    target.lastResponseAt = NOW - 6000;
    target.unresponsiveSince = NOW - 6000;
    target.info.domain = 'lost';
  }
  const job = createWaitingJob({dataRack: 'r3', demand: WHOLE});
  t.equal(countStarts([...running, job], targets), 1);
});
