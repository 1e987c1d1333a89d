import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const STARVED = createId(1);
const FULL = {cpu: 64_000, memoryMb: 131_072, accelerators: 8};

type ClusterOptions = ConstructorParameters<typeof EmulatedCluster>[0];

async function startCluster(options: ClusterOptions): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({targetsPerRack: 4, ...options});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

/** Lists the idle jobs of the next `duration` milliseconds, judged as at the end of a day. */
async function listIdleJobs(
  cluster: EmulatedCluster,
  duration: number,
): Promise<string[]> {
  cluster.isEndDue = true;
  await cluster.advance(duration);
  cluster.isEndDue = false;
  return cluster.auditor.violations.map(
    ({rule, detail}) => `${rule} ${detail}`,
  );
}

// Guards against a wide step under suspicion that is isolated task by task until every target is closed to others.
t.test(
  'a job starts although every task of a wide step is suspected of a crash',
  async t => {
    const cluster = await startCluster({targets: 12});
    const wide = createStep({count: 60, estimateMs: 20_000});
    void cluster.submit(createId(2), createSpec([wide]), 1);
    const targets = [...cluster.fleet.targets.values()];
    const countBusy = () => targets.filter(({runs}) => runs.size > 0).length;
    t.ok(await cluster.waitUntil(() => countBusy() === 8, 1000));
    targets
      .filter(({runs}) => runs.size > 0)
      .forEach(target => cluster.fleet.onTargetCrash(target));
    await cluster.advance(3500);
    void cluster.submit(STARVED, createSpec(), 2);
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against hopeless units that take all places of a scheduling pass.
t.test(
  'a job starts although thousands of units wait before it that no target can run',
  async t => {
    const cluster = await startCluster({targets: 12});
    for (const [index, values] of [
      {requiredLabel: 'unknown'},
      {demand: {...FULL, cpu: 100_000}},
    ].entries()) {
      const step = createStep({count: 1600, estimateMs: 20_000, ...values});
      void cluster.submit(createId(10 + index), createSpec([step]), 0);
    }
    await cluster.advance(1000);
    void cluster.submit(STARVED, createSpec(), 2);
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against a rack-sensitive gang that waits for long-running tasks to leave a rack.
t.test(
  'a gang starts across racks if long-running tasks keep it out of each rack',
  async t => {
    const cluster = await startCluster({targets: 12, targetsPerRack: 4});
    const racks = ['r0', 'r1', 'r2'].map(requiredLabel =>
      createStep({count: 1, isLongRunning: true, requiredLabel}),
    );
    void cluster.submit(createId(2), createSpec(racks));
    await cluster.advance(2000);
    const gang = createStep({
      count: 4,
      isGang: true,
      isRackSensitive: true,
      demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
    });
    void cluster.submit(STARVED, createSpec([gang]));
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against a task that waits for the rack of its data, which long-running tasks fill.
t.test(
  'a task starts away from its data if long-running tasks fill the rack of the data',
  async t => {
    const cluster = await startCluster({targets: 12, targetsPerRack: 2});
    const filling = createStep({
      count: 16,
      isLongRunning: true,
      requiredLabel: 'r0',
    });
    void cluster.submit(createId(2), createSpec([filling]));
    await cluster.advance(2000);
    const task = createStep({count: 1, dataRack: 'r0'});
    void cluster.submit(STARVED, createSpec([task]));
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against a step of failing tasks that has all targets avoided, as if each were at fault.
t.test(
  'a job starts although the tasks of a wide step fail on every target',
  async t => {
    const wide = createId(2);
    const cluster = await startCluster({
      targets: 12,
      getTaskBehavior: task => ({
        work: 1000,
        failsAt: task.startsWith(wide) ? 0.5 : undefined,
        savesProgress: false,
        gangSize: 1,
      }),
    });
    void cluster.submit(wide, createSpec([createStep({count: 96})]), 1);
    await cluster.advance(1000);
    void cluster.submit(STARVED, createSpec(), 2);
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against starts that are refused for want of room and have all targets avoided.
t.test(
  'a job starts although starts were refused on every target that has shrunk',
  async t => {
    const cluster = await startCluster({targets: 12, guardsCapacity: true});
    const wide = createStep({count: 96, estimateMs: 300});
    for (const id of cluster.fleet.targets.keys()) {
      cluster.fleet.resizeTarget(id, {...FULL, accelerators: 3});
    }
    void cluster.submit(createId(2), createSpec([wide]), 1);
    await cluster.advance(1000);
    for (const id of cluster.fleet.targets.keys()) {
      cluster.fleet.resizeTarget(id, FULL);
    }
    void cluster.submit(STARVED, createSpec(), 2);
    t.same(await listIdleJobs(cluster, 8000), []);
    cluster.close();
  },
);

// Guards against a task that has failed on each target that may run it, and avoids them all for good.
t.test(
  'a task that has failed on every target with its label is tried again',
  async t => {
    const cluster = await startCluster({
      targets: 12,
      targetsPerRack: 2,
      getTaskBehavior: () => ({
        work: 500,
        failsAt: 0.5,
        savesProgress: false,
        gangSize: 1,
      }),
    });
    const task = createStep({count: 1, requiredLabel: 'r0'});
    void cluster.submit(STARVED, createSpec([task]));
    t.same(await listIdleJobs(cluster, 12_000), []);
    t.equal(cluster.getJobState(STARVED), 'failed');
    cluster.close();
  },
);
