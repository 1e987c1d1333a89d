import t from 'tap';
import {DEFAULT_SETTINGS} from '@galenavalve/dispatch';
import {
  EmulatedCluster,
  type EmulatedInstance,
  createQueue,
} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);

/** Time in which every late append has been carried out and a job that it creates would have started. */
const LATE_MS = 9000;

/** Starts a cluster and submits job 1 at an instance while each append gets no response and is carried out seconds late. */
async function submitLate(): Promise<{
  cluster: EmulatedCluster;
  leader: EmulatedInstance;
  first: EmulatedInstance;
  second: EmulatedInstance;
}> {
  const cluster = new EmulatedCluster();
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  const leader = cluster.findLeader()!;
  const [first, second] = [...cluster.instances.values()].filter(
    instance => instance !== leader,
  );
  Object.assign(cluster.log.faults, {lostAnswers: 1, lateAppends: 1});
  let outcome: string | undefined;
  const spec = createSpec([createStep({estimateMs: 2000})]);
  void cluster.submit(ID, spec, 1, first).then(({kind}) => {
    outcome = kind;
  });
  await cluster.waitUntil(() => outcome !== undefined, 4000);
  Object.assign(cluster.log.faults, {lostAnswers: 0, lateAppends: 0});
  t.equal(outcome, 'unresolved');
  return {cluster, leader, first: first!, second: second!};
}

// Guards against a job that runs although its cancelling was acknowledged, since its submission was appended late.
t.test('a job that was cancelled after an unresolved submission', async t => {
  const cases = {
    'at the same instance': async () => undefined,
    'at another instance': async () => undefined,
    'at an instance that is lost afterwards': async (
      cluster: EmulatedCluster,
      at: EmulatedInstance,
    ) => cluster.killInstance(at.name),
    'before the leader is lost': async (
      cluster: EmulatedCluster,
      _at: EmulatedInstance,
      leader: EmulatedInstance,
    ) => cluster.killInstance(leader.name),
    'before all instances start anew': async (cluster: EmulatedCluster) => {
      const names = [...cluster.instances.keys()];
      names.forEach(name => cluster.killInstance(name));
      await cluster.advance(200);
      names.forEach(name => cluster.startInstance(name));
    },
  };
  for (const [name, disturb] of Object.entries(cases)) {
    t.test(`${name} never runs`, async t => {
      const {cluster, leader, first, second} = await submitLate();
      const at = name.includes('another') ? second : first;
      let isAcknowledged = false;
      void cluster.cancel(ID, at).then(() => {
        isAcknowledged = true;
      });
      t.ok(await cluster.waitUntil(() => isAcknowledged, 1000));
      t.notOk(at.table.find(ID), 'the submission is still unknown');
      await disturb(cluster, at, leader);
      await cluster.advance(LATE_MS);
      t.equal(cluster.getJobState(ID), 'cancelled');
      t.same(cluster.auditor.violations, []);
      cluster.close();
    });
  }
});

t.test(
  'a cancellation of an unknown job is removed from the log after its retention',
  async t => {
    const settings = {...DEFAULT_SETTINGS, keepEnded: 10_000};
    const cluster = new EmulatedCluster({settings});
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    const spec = createSpec();
    void cluster.submit(ID, spec);
    await cluster.advance(1000);
    const instance = cluster.findLeader()!;
    const queue = createQueue(1);
    const request = {queue, workspace: 'w', jobId: createId(2), timeout: 3000};
    void instance.gateway.cancel(request);
    await cluster.advance(1000);
    t.equal(instance.table.earlyCancellations.size, 1);
    await cluster.advance(30_000);
    t.equal(instance.table.earlyCancellations.size, 0);
    cluster.close();
  },
);
