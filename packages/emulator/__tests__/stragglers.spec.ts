import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);

async function startCluster(seed = 1): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

/** Returns the run number of a job's first unit as the first instance knows it. */
function findRunNumber(
  cluster: EmulatedCluster,
  id: string,
): number | undefined {
  const [instance] = cluster.instances.values();
  const progress = instance!.table.find(id)?.progress?.read();
  return progress?.occurrences[0]?.steps[0]?.[0]?.run;
}

/** Returns a target that runs tasks of all the given jobs. */
function findTargetOf(cluster: EmulatedCluster, ...ids: string[]) {
  return [...cluster.fleet.targets.values()].find(({runs}) =>
    ids.every(id => [...runs.keys()].some(task => task.startsWith(id))),
  )!;
}

t.test(
  'a gang that kept running on an unreachable target is not treated as stalled',
  async t => {
    const cluster = await startCluster();
    const demand = {cpu: 4000, memoryMb: 8000, accelerators: 4};
    const gang = createStep({
      count: 3,
      isGang: true,
      estimateMs: 14_000,
      demand,
    });
    void cluster.submit(ID, createSpec([gang]));
    await cluster.advance(300);
    const other = createStep({count: 9, estimateMs: 60_000, demand});
    void cluster.submit(createId(2), createSpec([other]));
    await cluster.advance(700);
    const {info} = findTargetOf(cluster, ID, createId(2));
    cluster.fleet.faults.unreachableTargets.add(info.id);
    await cluster.advance(500);
    // The stop is retried, and its response comes before the first listing once the target is reachable again.
    void cluster.cancel(createId(2));
    await cluster.advance(5200);
    cluster.fleet.faults.unreachableTargets.clear();
    await cluster.advance(2000);
    t.equal(findRunNumber(cluster, ID), 1);
    const isComplete = () => cluster.getJobState(ID) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 8000));
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test(
  'urgent work is moved off a target that becomes slow, although no checkpoint is saved',
  async t => {
    const cluster = await startCluster();
    const spec = createSpec([createStep({count: 1, estimateMs: 3000})]);
    void cluster.submit(ID, spec, 0);
    await cluster.advance(1700);
    findTargetOf(cluster, ID).faults.slowness = 10;
    const isComplete = () => cluster.getJobState(ID) === 'complete';
    t.ok(
      await cluster.waitUntil(isComplete, 8000),
      'it would take 13 s on the slow target',
    );
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test('stalled urgent work is moved within two seconds', async t => {
  const cluster = await startCluster();
  for (const {faults, info} of cluster.fleet.targets.values()) {
    faults.hangs = info.domain === 'd0';
  }
  const spec = createSpec([createStep({count: 1, estimateMs: 3000})]);
  const ids = [1, 2, 3, 4, 5, 6].map(createId);
  ids.forEach(id => void cluster.submit(id, spec, 0));
  const isComplete = () =>
    ids.every(id => cluster.getJobState(id) === 'complete');
  t.ok(await cluster.waitUntil(isComplete, 6500));
  t.same(cluster.auditor.violations, []);
  cluster.close();
});

t.test(
  'a restarted instance resumes the leadership of its previous incarnation at once',
  async t => {
    const cluster = await startCluster();
    const names = [...cluster.instances.keys()];
    names.forEach(name => cluster.killInstance(name));
    await cluster.advance(300);
    names.forEach(name => cluster.startInstance(name));
    const hasLeader = () => cluster.findLeader() !== undefined;
    t.ok(await cluster.waitUntil(hasLeader, 250));
    cluster.close();
  },
);
