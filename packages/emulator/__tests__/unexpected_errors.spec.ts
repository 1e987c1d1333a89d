import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

async function startCluster(): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed: 1, instances: 3});
  const hasLeader = () => cluster.findLeader() !== undefined;
  await cluster.waitUntil(hasLeader, 5000);
  return cluster;
}

/** Submits a job and returns whether it is complete within ten seconds. */
async function completesJob(cluster: EmulatedCluster): Promise<boolean> {
  const spec = createSpec([createStep({estimateMs: 300})]);
  void cluster.submit(createId(1), spec);
  const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
  return cluster.waitUntil(isComplete, 10_000);
}

t.test(
  'an unexpected error aborts only its pass and the leader stays leader',
  async t => {
    const cluster = await startCluster();
    const leader = cluster.findLeader()!.name;
    const {desiredState} = cluster;
    const {guarantees} = desiredState;
    let errors = 0;
    Object.defineProperty(desiredState, 'guarantees', {
      configurable: true,
      get: () => {
        if (errors++ < 5) {
          throw new Error('unexpected');
        }
        return guarantees;
      },
    });
    t.ok(await completesJob(cluster));
    t.ok(errors > 5);
    t.equal(cluster.findLeader()?.name, leader);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test(
  'an unexpected error in a poll aborts only that poll: the target is polled again and continues its runs',
  async t => {
    const cluster = await startCluster();
    const errors = new Map<string, number>();
    for (const target of cluster.fleet.targets.values()) {
      const poll = target.poll.bind(target);
      target.poll = (request, now) => {
        const count = (errors.get(target.info.id) ?? 0) + 1;
        errors.set(target.info.id, count);
        if (count === 3) {
          throw new Error('unexpected');
        }
        return poll(request, now);
      };
    }
    await cluster.advance(4000);
    t.ok(await completesJob(cluster));
    t.ok([...errors.values()].every(count => count > 3));
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);
