import t from 'tap';
import {DEFAULT_SETTINGS} from '@galenavalve/dispatch';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

async function startCluster(): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed: 1, instances: 3});
  const hasLeader = () => cluster.findLeader() !== undefined;
  await cluster.waitUntil(hasLeader, 5000);
  return cluster;
}

/** Submits a job and returns whether it is complete within ten seconds. */
async function completesJob(
  cluster: EmulatedCluster,
  id = createId(1),
): Promise<boolean> {
  const spec = createSpec([createStep({estimateMs: 300})]);
  void cluster.submit(id, spec);
  const isComplete = () => cluster.getJobState(id) === 'complete';
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

// Guards against a single record that no leader survives: each of them stops at it when it takes the jobs over.
for (const [kind, value] of [
  ['cannot be parsed', '{"outcome":"active","hasBegun":true}\nnonsense'],
  [
    'names other steps than the job has',
    '{"outcome":"active","hasBegun":true}\n{"done":0,"targets":[],"occurrences":[[0,[[0],[0]]]]}',
  ],
]) {
  t.test(
    `a new leader runs all other jobs although the progress record of one ${kind}`,
    async t => {
      const cluster = await startCluster();
      const spec = createSpec([createStep({estimateMs: 60_000})]);
      void cluster.submit(createId(2), spec);
      await cluster.advance(1000);
      cluster.killInstance(cluster.findLeader()!.name);
      cluster.log.put({key: `s/${createId(2)}`, value: value!});
      await cluster.advance(3000);
      const leader = cluster.findLeader()?.name;
      t.ok(await completesJob(cluster));
      await cluster.advance(4000);
      t.equal(cluster.findLeader()?.name, leader);
      t.ok(await completesJob(cluster, createId(3)));
      cluster.close();
    },
  );
}

// Guards against a leader that stays leader by no heartbeat because an earlier part of its periodic work fails.
t.test(
  'an unexpected error in periodic work aborts only its part and the leader stays leader',
  async t => {
    let errors = 0;
    const settings = {
      ...DEFAULT_SETTINGS,
      get earlyTime(): number {
        errors++;
        throw new Error('unexpected');
      },
    };
    const cluster = new EmulatedCluster({seed: 1, settings});
    const hasLeader = () => cluster.findLeader() !== undefined;
    await cluster.waitUntil(hasLeader, 5000);
    const leader = cluster.findLeader()!.name;
    const long = createSpec([createStep({estimateMs: 60_000})]);
    void cluster.submit(createId(2), long);
    await cluster.advance(5000);
    t.equal(cluster.findLeader()?.name, leader);
    t.ok(await completesJob(cluster));
    t.ok(errors > 5);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);
