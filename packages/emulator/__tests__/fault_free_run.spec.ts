import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

t.test('a calm day keeps every promise and completes every job', async t => {
  const installation = new EmulatedCluster({seed: 7});
  await installation.waitUntil(
    () => installation.findLeader() !== undefined,
    5000,
  );
  const stream = createStream(7, 40);
  for (const {id, spec, priority, gap} of stream) {
    const answer = installation.submit(id, spec, priority);
    await installation.advance(gap);
    t.equal((await answer).kind, 'accepted');
  }
  const isComplete = () =>
    stream.every(({id}) => installation.getJobState(id) === 'complete');
  t.ok(await installation.waitUntil(isComplete, 120_000), 'all are complete');
  t.same(installation.auditor.violations, []);
  installation.close();
});

t.test('an urgent job starts at once on an idle installation', async t => {
  const installation = new EmulatedCluster();
  await installation.waitUntil(
    () => installation.findLeader() !== undefined,
    5000,
  );
  await installation.advance(1000);
  const submitted = installation.submit(createId(1), createSpec(), 0);
  const isRunning = () =>
    [...installation.fleet.targets.values()].some(({runs}) => runs.size > 0);
  t.ok(await installation.waitUntil(isRunning, 200), 'it runs within 200 ms');
  t.equal((await submitted).kind, 'accepted');
  installation.close();
});

t.test(
  'a gang that fits no rack now waits, and is not started in part',
  async t => {
    const installation = new EmulatedCluster();
    await installation.waitUntil(
      () => installation.findLeader() !== undefined,
      5000,
    );
    await installation.advance(1000);
    const wide = createStep({
      count: 3,
      isGang: true,
      isRackSensitive: true,
      demand: {cpu: 1000, memoryMb: 1000, accelerators: 8},
    });
    for (let number = 1; number <= 5; number++) {
      void installation.submit(createId(number), createSpec([wide]));
    }
    await installation.advance(600);
    const running = [...installation.fleet.targets.values()].flatMap(
      ({runs}) => [...runs.keys()],
    );
    t.equal(running.length, 9, 'three gangs of three');
    const isComplete = () =>
      installation.getJobState(createId(5)) === 'complete';
    t.ok(await installation.waitUntil(isComplete, 10_000));
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);
