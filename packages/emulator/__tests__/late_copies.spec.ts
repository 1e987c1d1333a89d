import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import type {Step} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Time within which commands without a response are carried out. */
const LATE_MS = 13_000;

const FINISH_MS = 60_000;

/** Time after which a target whose starts get no response is given up, with a margin. */
const GIVE_UP_MS = 3500;

/** Returns the target of the latest placement of the job's first task. */
function findTarget(cluster: EmulatedCluster): string | undefined {
  return cluster
    .findLeader()
    ?.table.find(ID)
    ?.progress?.read()
    .occurrences[0]?.steps[0]?.[0]?.placedOn?.[0]?.incarnation.split('@')[0];
}

/** Submits a job whose first start command gets no response; returns the target. */
async function submitWithLateStart(
  cluster: EmulatedCluster,
  step: Partial<Step>,
): Promise<string> {
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(20_000);
  cluster.fleet.faults.delayedCommands = 1;
  void cluster.submit(ID, createSpec([createStep({count: 1, ...step})]));
  await cluster.waitUntil(() => findTarget(cluster) !== undefined, 2000);
  const id = findTarget(cluster)!;
  await cluster.advance(20);
  return id;
}

/** Restarts a target behind a cut, where late commands still reach it. */
async function restartBehindCut(
  cluster: EmulatedCluster,
  id: string,
): Promise<void> {
  const {fleet} = cluster;
  fleet.faults.unreachableTargets.add(id);
  void fleet.restartTarget(id, 100);
  await cluster.advance(200);
}

// Guards against a task that runs again after its end was acknowledged because the next incarnation of its target carries out a late copy of its start (review/6).
t.test(
  'a task that is done does not run again when a late start reaches a restarted target',
  async t => {
    let lateStarts = 0;
    for (const seed of SEEDS) {
      const cluster = new EmulatedCluster({seed});
      const {fleet} = cluster;
      const id = await submitWithLateStart(cluster, {estimateMs: 500});
      fleet.faults.delayedCommands = 0;
      const isDone = () => cluster.getJobState(ID) === 'complete';
      t.ok(await cluster.waitUntil(isDone, 5000), `seed ${seed}`);
      await cluster.advance(200);
      await restartBehindCut(cluster, id);
      const hasRun = () => fleet.targets.get(id)!.runs.size > 0;
      lateStarts += (await cluster.waitUntil(hasRun, LATE_MS)) ? 1 : 0;
      await cluster.advance(LATE_MS);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
    t.ok(lateStarts > 0, 'some late starts are carried out');
  },
);

// Guards against two runs of a task because it starts elsewhere while a late copy of its former start can still be carried out.
t.test(
  'a task that was stopped does not start elsewhere while a late start can reach a restarted target',
  async t => {
    let lateStarts = 0;
    for (const seed of SEEDS) {
      const cluster = new EmulatedCluster({seed});
      const {fleet} = cluster;
      const id = await submitWithLateStart(cluster, {estimateMs: 20_000});
      await cluster.advance(GIVE_UP_MS);
      fleet.faults.delayedCommands = 0;
      await cluster.advance(1500);
      await restartBehindCut(cluster, id);
      const hasRun = () => fleet.targets.get(id)!.runs.size > 0;
      lateStarts += (await cluster.waitUntil(hasRun, LATE_MS)) ? 1 : 0;
      await cluster.advance(LATE_MS);
      fleet.faults.unreachableTargets.clear();
      const isDone = () => cluster.getJobState(ID) === 'complete';
      t.ok(await cluster.waitUntil(isDone, FINISH_MS), `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
    t.ok(lateStarts > 0, 'some late starts are carried out');
  },
);

// Guards against a task that runs again after its end was acknowledged because its target restarted twice and only the first of the next incarnations refuses the late copy of its start.
t.test(
  'a task that is done does not run again when its former target restarts twice',
  async t => {
    let lateStarts = 0;
    for (const seed of SEEDS) {
      const cluster = new EmulatedCluster({seed});
      const {fleet} = cluster;
      const id = await submitWithLateStart(cluster, {estimateMs: 500});
      fleet.faults.delayedCommands = 0;
      void fleet.restartTarget(id, 20);
      const isDone = () => cluster.getJobState(ID) === 'complete';
      t.ok(await cluster.waitUntil(isDone, 8000), `seed ${seed}`);
      await cluster.advance(200);
      await restartBehindCut(cluster, id);
      const hasRun = () => fleet.targets.get(id)!.runs.size > 0;
      lateStarts += (await cluster.waitUntil(hasRun, LATE_MS)) ? 1 : 0;
      await cluster.advance(LATE_MS);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
    t.ok(lateStarts > 0, 'some late starts are carried out');
  },
);

// Guards against a task that runs again after its end was acknowledged by a leader that does not know of the late start of the former one.
t.test(
  'a task that is done does not run again after a takeover when a late start reaches a restarted target',
  async t => {
    let lateStarts = 0;
    for (const seed of SEEDS) {
      const cluster = new EmulatedCluster({seed});
      const {fleet} = cluster;
      const id = await submitWithLateStart(cluster, {estimateMs: 1500});
      fleet.faults.delayedCommands = 0;
      await cluster.advance(600);
      cluster.killInstance(cluster.findLeader()!.name);
      const isDone = () =>
        cluster.findLeader() !== undefined &&
        cluster.getJobState(ID) === 'complete';
      t.ok(await cluster.waitUntil(isDone, 9000), `seed ${seed}`);
      await cluster.advance(200);
      await restartBehindCut(cluster, id);
      const hasRun = () => fleet.targets.get(id)!.runs.size > 0;
      lateStarts += (await cluster.waitUntil(hasRun, LATE_MS)) ? 1 : 0;
      await cluster.advance(LATE_MS);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
    t.ok(lateStarts > 0, 'some late starts are carried out');
  },
);
