import t from 'tap';
import {EmulatedCluster, type TaskBehavior} from '@galenavalve/emulator';
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import type {JobSpec} from '@galenavalve/workload';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

/** Age of a run at which it crashes its target. */
const CRASH_AGE_MS = 10;

interface CrashingClusterOptions {
  seed: number;
  /** Tasks that crash each target that starts them. */
  crashingTasks: ReadonlySet<string>;
  /** Age of a run at which it crashes its target. */
  crashAge?: number;
  newIdAfterCrash?: boolean;
  targets?: number;
}

async function startCluster({
  seed,
  crashingTasks,
  crashAge = CRASH_AGE_MS,
  newIdAfterCrash = true,
  targets = 12,
}: CrashingClusterOptions): Promise<EmulatedCluster> {
  const cluster: EmulatedCluster = new EmulatedCluster({
    seed,
    targets,
    getTaskBehavior: task => {
      const [id, , step] = task.split('.');
      const spec = cluster.jobs.get(id!)!.spec.steps[Number(step)]!;
      const behavior: TaskBehavior = {
        work: spec.isLongRunning ? Infinity : spec.estimateMs,
        savesProgress: spec.savesProgress,
        gangSize: spec.isGang ? spec.count : 1,
      };
      return crashingTasks.has(task)
        ? {...behavior, crashesTargetAt: crashAge}
        : behavior;
    },
  });
  cluster.fleet.faults.newIdAfterCrash = newIdAfterCrash;
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

function formatTask(id: string, index = 0): string {
  return `${id}.0.0.${index}`;
}

/** Submits a job and returns whether it ends as `outcome` within a minute. */
async function hasOutcome(
  cluster: EmulatedCluster,
  id: string,
  outcome: string,
): Promise<boolean> {
  const isReached = () => cluster.getJobState(id) === outcome;
  return cluster.waitUntil(isReached, 60_000);
}

/** Kills the leader and starts its instance again 500 ms later. */
function restartLeader(cluster: EmulatedCluster): void {
  const leader = cluster.findLeader();
  if (leader) {
    cluster.killInstance(leader.name);
    void cluster.clock
      .sleep(500)
      .then(() => cluster.startInstance(leader.name));
  }
}

const SINGLE = createSpec([createStep({count: 3, estimateMs: 3000})]);
const GANG = createSpec([
  createStep({count: 5, isGang: true, isRackSensitive: true, estimateMs: 3000}),
]);
const LONG_RUNNING = createSpec([createStep({isLongRunning: true})]);

// Guards against one task that crashes its targets taking down target after target.
t.test('a task that crashes its targets is given up', async t => {
  const specs: Array<[string, JobSpec]> = [
    ['single tasks', SINGLE],
    ['a gang', GANG],
    ['a long-running step', LONG_RUNNING],
  ];
  for (const [name, spec] of specs) {
    for (const newIdAfterCrash of [true, false]) {
      const id = createId(1);
      const crashingTasks = new Set([formatTask(id)]);
      const cluster = await startCluster({
        seed: 1,
        crashingTasks,
        newIdAfterCrash,
      });
      void cluster.submit(id, spec);
      t.ok(await hasOutcome(cluster, id, 'failed'), `${name} ends as failed`);
      t.ok(cluster.auditor.crashes.get(formatTask(id))! >= 2, name);
      t.same(cluster.auditor.violations, [], name);
      cluster.close();
    }
  }
});

// Guards against a crash that nobody counts because the leader is lost before its record.
t.test(
  'a task that crashes its targets is given up although a leader is lost at each crash',
  async t => {
    for (const newIdAfterCrash of [true, false]) {
      for (const seed of [1, 2, 3, 4]) {
        const id = createId(1);
        const task = formatTask(id);
        const cluster = await startCluster({
          seed,
          crashingTasks: new Set([task]),
          newIdAfterCrash,
        });
        void cluster.submit(id, SINGLE);
        let seen = 0;
        const random = new SeededRandom(seed);
        const hasFailed = () => cluster.getJobState(id) === 'failed';
        for (let round = 0; round < 12 && !hasFailed(); round++) {
          const hasCrashed = () =>
            (cluster.auditor.crashes.get(task) ?? 0) > seen || hasFailed();
          await cluster.waitUntil(hasCrashed, 30_000);
          seen = cluster.auditor.crashes.get(task) ?? 0;
          await cluster.advance(nextInteger(random, 3500));
          restartLeader(cluster);
        }
        t.ok(await hasOutcome(cluster, id, 'failed'), `seed ${seed}`);
        t.same(cluster.auditor.violations, [], `seed ${seed}`);
        cluster.close();
      }
    }
  },
);

// Guards against jobs that fail because their tasks were on the targets that another task crashed.
t.test('jobs that share targets with a crashing task complete', async t => {
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const stream = createStream(seed, 30);
    const crashing = stream.filter((_, index) => index % 6 === 2);
    const cluster = await startCluster({
      seed,
      crashingTasks: new Set(crashing.map(({id}) => formatTask(id))),
      newIdAfterCrash: seed % 2 === 0,
    });
    for (const [index, {id, spec, priority, gap}] of stream.entries()) {
      void cluster.submit(id, spec, priority);
      await cluster.advance(gap);
      if (index % 10 === 9) {
        restartLeader(cluster);
      }
    }
    const haveEnded = () =>
      stream.every(({id}) => cluster.getJobState(id) !== 'active');
    t.ok(await cluster.waitUntil(haveEnded, 180_000), `seed ${seed}: all end`);
    const failed = stream
      .map(({id}) => id)
      .filter(id => cluster.getJobState(id) === 'failed');
    const expected = crashing.map(({id}) => id);
    t.same(failed, expected, `seed ${seed}: only the crashing jobs fail`);
    t.same(cluster.auditor.violations, [], `seed ${seed}`);
    cluster.close();
  }
});

// Guards against a job that is given up since each leader counts the same crash while a member of its gang is cut off.
t.test(
  'one crash fails no gang although leaders change while another member is cut off',
  async t => {
    for (const newIdAfterCrash of [true, false]) {
      const cluster = await startCluster({
        seed: 1,
        crashingTasks: new Set(),
        newIdAfterCrash,
      });
      const id = createId(1);
      const gang = createStep({isGang: true, estimateMs: 12_000});
      const demand = {cpu: 13_000, memoryMb: 1024, accelerators: 8};
      void cluster.submit(id, createSpec([{...gang, demand}]));
      await cluster.advance(3000);
      const [first, second] = [...cluster.fleet.targets.values()].filter(
        ({runs}) => runs.size > 0,
      );
      const {unreachableTargets} = cluster.fleet.faults;
      unreachableTargets.add(second!.info.id);
      cluster.fleet.onTargetCrash(first!);
      await cluster.advance(3200);
      for (let stop = 0; stop < 3; stop++) {
        restartLeader(cluster);
        await cluster.advance(1300);
      }
      unreachableTargets.clear();
      t.ok(await hasOutcome(cluster, id, 'complete'));
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);

// Guards against a chain of crashes that nobody counts, since each target is away for longer than its last lease.
t.test(
  'a task that crashes its targets is given up although they are away for longer than their leases',
  async t => {
    for (const newIdAfterCrash of [true, false]) {
      const id = createId(1);
      const cluster = await startCluster({
        seed: 1,
        crashingTasks: new Set([formatTask(id)]),
        newIdAfterCrash,
      });
      cluster.fleet.faults.restartDelay = 18_000;
      void cluster.submit(id, createSpec([createStep({count: 1})]));
      const hasFailed = () => cluster.getJobState(id) === 'failed';
      t.ok(await cluster.waitUntil(hasFailed, 150_000));
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);

// Guards against jobs that fail because targets crashed for reasons of their own.
t.test('targets that crash by themselves fail no job', async t => {
  for (const seed of [1, 2, 3, 4]) {
    const stream = createStream(seed, 25);
    const cluster = await startCluster({seed, crashingTasks: new Set()});
    const random = new SeededRandom(seed);
    for (const {id, spec, priority, gap} of stream) {
      void cluster.submit(id, spec, priority);
      await cluster.advance(gap);
      const running = [...cluster.fleet.targets.values()].filter(
        ({isUp}) => isUp,
      );
      if (random.next() < 0.4) {
        const target = running[nextInteger(random, running.length)]!;
        cluster.fleet.onTargetCrash(target);
      }
    }
    const haveEnded = () =>
      stream.every(({id}) => cluster.getJobState(id) === 'complete');
    t.ok(await cluster.waitUntil(haveEnded, 180_000), `seed ${seed}`);
    t.same(cluster.auditor.violations, [], `seed ${seed}`);
    cluster.close();
  }
});
