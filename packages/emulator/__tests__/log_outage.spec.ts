import t from 'tap';
import {EmulatedCluster, type EmulatedInstance} from '@galenavalve/emulator';
import {createQueue} from '@galenavalve/emulator';
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
  const response = instance.gateway.getState({
    queue: createQueue(1),
    workspace: 'w',
    jobId: createId(1),
    timeout: 3000,
  });
  let state: string | undefined;
  void response.then(found => {
    state = found.kind === 'state' ? found.state : found.kind;
  });
  await cluster.waitUntil(() => state !== undefined, 3000);
  return state;
}

t.test(
  'every instance reports a job as complete that ended in an outage of the log',
  async t => {
    const cluster = await startOutage();
    for (const instance of cluster.instances.values()) {
      t.equal(await askState(cluster, instance), 'complete');
    }
    cluster.log.faults.silentTo.clear();
    const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 5000));
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test(
  'a job that was reported as complete does not run again although the leader and its targets are lost before the log has it',
  async t => {
    const cluster = await startOutage();
    const leader = cluster.findLeader()!;
    const other = [...cluster.instances.values()].find(
      instance => instance !== leader,
    )!;
    t.equal(await askState(cluster, other), 'complete');
    cluster.killInstance(leader.name);
    for (const id of [...cluster.fleet.targets.keys()]) {
      await cluster.restartTarget(id);
    }
    const starts = () =>
      [...cluster.fleet.targets.values()].flatMap(({runs}) => [...runs.keys()]);
    cluster.log.faults.silentTo.clear();
    const entry = () => other.table.find(createId(1));
    t.ok(await cluster.waitUntil(() => !!entry()?.isKnownComplete, 5000));
    await cluster.advance(20_000);
    t.same(starts(), []);
    t.equal(cluster.getJobState(createId(1)), 'complete');
    t.same(cluster.auditor.violations, []);
    cluster.close();
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
