import t from 'tap';
import {type EmulatedInstance, EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

async function startCluster(seed = 1): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed, instances: 4});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1500);
  return cluster;
}

/** Returns an instance that is not the leader. */
function findFollower(cluster: EmulatedCluster): EmulatedInstance {
  return [...cluster.instances.values()].find(
    instance => instance !== cluster.findLeader(),
  )!;
}

t.test(
  'an instance without direct access to the log accepts jobs through a peer',
  async t => {
    for (const fault of ['busyTo', 'silentTo'] as const) {
      const cluster = await startCluster();
      const refused = findFollower(cluster);
      cluster.log.faults[fault].add(refused.name);
      await cluster.advance(1000);
      const responses: string[] = [];
      for (let index = 1; index <= 8; index++) {
        const spec = createSpec([createStep({estimateMs: 300})]);
        void cluster
          .submit(createId(index), spec, 1, refused)
          .then(({kind}) => responses.push(kind));
        await cluster.advance(600);
      }
      t.same(
        responses,
        Array.from({length: 8}, () => 'accepted'),
        fault,
      );
      t.ok(refused.gateway.isReady, fault);
      t.equal(cluster.getJobState(createId(1)), 'complete');
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);

t.test(
  'a leader without direct access to the log continues through a peer',
  async t => {
    const cluster = await startCluster();
    const leader = cluster.findLeader()!;
    cluster.log.faults.busyTo.add(leader.name);
    const spec = createSpec([createStep({estimateMs: 500})]);
    for (let index = 1; index <= 6; index++) {
      void cluster.submit(createId(index), spec, 1, findFollower(cluster));
      await cluster.advance(1000);
    }
    t.equal(cluster.findLeader(), leader);
    t.equal(cluster.getJobState(createId(5)), 'complete');
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test(
  'an instance that can reach neither the log nor a peer refuses a job, which does not run',
  async t => {
    const cluster = await startCluster();
    const isolated = findFollower(cluster);
    cluster.log.faults.busyTo.add(isolated.name);
    cluster.peers.isolatedInstances.add(isolated.name);
    await cluster.advance(3000);
    let kind: string | undefined;
    void cluster
      .submit(createId(1), createSpec(), 1, isolated)
      .then(response => (kind = response.kind));
    await cluster.advance(3000);
    t.equal(kind, 'refused');
    t.equal(cluster.getJobState(createId(1)), undefined);
    t.notOk(isolated.gateway.isReady);
    cluster.close();
  },
);

t.test('the instance with the most cores becomes leader', async t => {
  for (const seed of [1, 2, 3]) {
    const cluster = new EmulatedCluster({
      seed,
      instances: 4,
      getCores: name => (name === 'instance-2' ? 1.35 : 0.3),
    });
    await cluster.advance(3000);
    t.equal(cluster.findLeader()?.name, 'instance-2');
    cluster.close();
  }
});

t.test(
  'the leader stays leader and starts work while the log is slow (kwjt-grid inc-5215)',
  async t => {
    for (const seed of [1, 2, 3, 4]) {
      const cluster = await startCluster(seed);
      const leader = cluster.findLeader()!;
      cluster.log.faults.slowness = 110;
      const spec = createSpec([createStep({estimateMs: 500})]);
      for (let index = 1; index <= 6; index++) {
        void cluster.submit(createId(index), spec, 1);
        await cluster.advance(1000);
        t.equal(cluster.findLeader()?.name, leader.name, `seed ${seed}`);
      }
      t.equal(cluster.getJobState(createId(1)), 'complete');
      cluster.log.faults.slowness = 1;
      await cluster.advance(3000);
      t.equal(cluster.getJobState(createId(6)), 'complete');
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);
