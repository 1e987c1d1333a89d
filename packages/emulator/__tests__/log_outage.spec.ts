import t from 'tap';
import {EmulatedCluster, type EmulatedInstance} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

/** Starts a cluster in which job 1, a gang of 2 s, runs and the log then stops responding to all instances. */
async function startOutage(): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster();
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  const gang = createStep({isGang: true, estimateMs: 2000});
  void cluster.submit(createId(1), createSpec([gang]));
  await cluster.advance(1000);
  cluster.log.faults.silentTo.add('all');
  await cluster.advance(1500);
  return cluster;
}

/** Asks an instance for the state of job 1. */
async function askState(cluster: EmulatedCluster, instance: EmulatedInstance) {
  let state: string | undefined;
  void cluster.readState(createId(1), instance).then(found => {
    state = found;
  });
  await cluster.waitUntil(() => state !== undefined, 3000);
  return state;
}

t.test(
  'a job that ended in an outage of the log is reported as complete once the log has it',
  async t => {
    const cluster = await startOutage();
    for (const instance of cluster.instances.values()) {
      t.equal(await askState(cluster, instance), 'running');
    }
    cluster.log.faults.silentTo.clear();
    for (const instance of cluster.instances.values()) {
      const isComplete = () =>
        instance.table.find(createId(1))?.progress?.outcome === 'complete';
      t.ok(await cluster.waitUntil(isComplete, 1500));
      t.equal(await askState(cluster, instance), 'complete');
    }
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

// Guards against a job that runs again after a caller was told of its completion, which only lost processes knew.
t.test(
  'a job that was reported as complete does not run again although the leader, the instance that answered and the targets are lost in an outage',
  async t => {
    for (const isLeaderAsked of [true, false]) {
      const cluster = await startOutage();
      const leader = cluster.findLeader()!;
      const asked = isLeaderAsked
        ? leader
        : [...cluster.instances.values()].find(other => other !== leader)!;
      const state = await askState(cluster, asked);
      cluster.killInstance(leader.name);
      cluster.killInstance(asked.name);
      for (const id of [...cluster.fleet.targets.keys()]) {
        await cluster.restartTarget(id);
      }
      cluster.log.faults.silentTo.clear();
      const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
      t.ok(await cluster.waitUntil(isComplete, 30_000));
      t.not(state, 'complete', 'nobody was told of an end that is lost');
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);

t.test(
  'a job that still runs is not reported as complete in an outage of the log',
  async t => {
    const cluster = new EmulatedCluster();
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    const gang = createStep({isGang: true, estimateMs: 6000});
    void cluster.submit(createId(1), createSpec([gang]));
    await cluster.advance(500);
    cluster.log.faults.silentTo.add('all');
    await cluster.advance(2000);
    for (const instance of cluster.instances.values()) {
      t.equal(await askState(cluster, instance), 'running');
    }
    cluster.close();
  },
);

t.test(
  'callers are accepted within half a second of the end of an outage in which calls got no response',
  async t => {
    for (const duration of [4200, 4700, 5300, 7000]) {
      const cluster = new EmulatedCluster({instances: 4});
      await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
      await cluster.advance(1500);
      cluster.log.faults.silentTo.add('all');
      await cluster.advance(duration);
      cluster.log.faults.silentTo.clear();
      await cluster.advance(500);
      const accepted: string[] = [];
      let index = 0;
      for (const instance of cluster.instances.values()) {
        void cluster
          .submit(createId(++index), createSpec(), 1, instance)
          .then(({kind}) => accepted.push(kind));
      }
      await cluster.advance(100);
      t.same(
        accepted,
        ['accepted', 'accepted', 'accepted', 'accepted'],
        `after ${duration} ms`,
      );
      const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
      t.ok(await cluster.waitUntil(isComplete, 2500));
      t.same(cluster.auditor.violations, []);
      cluster.close();
    }
  },
);

// Guards against an instance that waits for the timeout of a read that began just before the end of an outage.
t.test(
  'callers are accepted within half a second of the end of an outage, whenever it ends',
  async t => {
    for (const seed of [1, 2]) {
      for (let duration = 5000; duration <= 7800; duration += 200) {
        const cluster = new EmulatedCluster({seed, instances: 4});
        await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
        await cluster.advance(1500);
        cluster.log.faults.silentTo.add('all');
        await cluster.advance(duration);
        cluster.log.faults.silentTo.clear();
        await cluster.advance(500);
        const responses: string[] = [];
        for (const [index, instance] of cluster
          .listRunningInstances()
          .entries()) {
          void cluster
            .submit(createId(index + 1), createSpec(), 1, instance)
            .then(({kind}) => responses.push(kind));
        }
        await cluster.advance(100);
        t.same(
          responses,
          Array(4).fill('accepted'),
          `seed ${seed}, after ${duration} ms`,
        );
        cluster.close();
      }
    }
  },
);
