import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

t.test(
  'a fault-free run violates no invariant and completes every job',
  async t => {
    const cluster = new EmulatedCluster({seed: 7});
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    const stream = createStream(7, 40);
    for (const {id, spec, priority, gap} of stream) {
      const response = cluster.submit(id, spec, priority);
      await cluster.advance(gap);
      t.equal((await response).kind, 'accepted');
    }
    const isComplete = () =>
      stream.every(({id}) => cluster.getJobState(id) === 'complete');
    t.ok(await cluster.waitUntil(isComplete, 120_000), 'all jobs are complete');
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

t.test('an urgent job starts at once on an idle cluster', async t => {
  const cluster = new EmulatedCluster();
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  const submitted = cluster.submit(createId(1), createSpec(), 0);
  const isRunning = () =>
    [...cluster.fleet.targets.values()].some(({runs}) => runs.size > 0);
  t.ok(await cluster.waitUntil(isRunning, 200), 'the job runs within 200 ms');
  t.equal((await submitted).kind, 'accepted');
  cluster.close();
});

t.test(
  'a gang that does not fit into any rack waits and is not started in part',
  async t => {
    const cluster = new EmulatedCluster();
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    const wide = createStep({
      count: 3,
      isGang: true,
      isRackSensitive: true,
      demand: {cpu: 1000, memoryMb: 1000, accelerators: 8},
    });
    for (let number = 1; number <= 5; number++) {
      void cluster.submit(createId(number), createSpec([wide]));
    }
    await cluster.advance(600);
    const running = [...cluster.fleet.targets.values()].flatMap(({runs}) => [
      ...runs.keys(),
    ]);
    t.equal(running.length, 9, 'three gangs of three');
    const isComplete = () => cluster.getJobState(createId(5)) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 10_000));
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);
