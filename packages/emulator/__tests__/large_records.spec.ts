import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {formatProgress} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

// Guards against a record of progress beyond the platform's limit: the append was repeated for ever, and no leader could record anything for any job (issue 47).
t.test(
  'urgent jobs start while overlapping occurrences of a wide job run and save progress, also after a takeover',
  async t => {
    const cluster = new EmulatedCluster({
      seed: 1,
      instances: 3,
      targets: 12,
    });
    const isLed = () => cluster.findLeader() !== undefined;
    t.ok(await cluster.waitUntil(isLed, 5000), 'an instance leads');
    const step = createStep({
      count: 1200,
      demand: {cpu: 50, memoryMb: 20, accelerators: 0},
      estimateMs: 60_000,
      savesProgress: true,
    });
    const schedule = {
      times: 14,
      startAt: cluster.clock.wallTime(),
      intervalMs: 100,
    };
    void cluster.submit(createId(1), {...createSpec([step]), schedule}, 2);
    await cluster.advance(8000);
    const wide = cluster.findLeader()!.table.find(createId(1))!;
    const {occurrences} = wide.progress!.read(wide.progressParts);
    t.equal(occurrences.length, 14, 'all occurrences are open');
    const size = formatProgress(wide.progress!.read(wide.progressParts)).length;
    t.ok(size > 262_144, `${size} bytes of progress`);
    for (const number of [2, 3]) {
      const small = createSpec([createStep({count: 1, estimateMs: 300})]);
      void cluster.submit(createId(number), small, 0);
      const isComplete = () =>
        cluster.getJobState(createId(number)) === 'complete';
      t.ok(await cluster.waitUntil(isComplete, 8000), `job ${number} is done`);
      if (number === 2) {
        cluster.killInstance(cluster.findLeader()!.name);
      }
    }
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

// Guards against a refusal of jobs that the platform allows (issue 47).
t.test('a job of more than 4,096 tasks is accepted and done', async t => {
  const cluster = new EmulatedCluster({seed: 1, instances: 3, targets: 9});
  const isLed = () => cluster.findLeader() !== undefined;
  t.ok(await cluster.waitUntil(isLed, 5000), 'an instance leads');
  const step = createStep({
    count: 6000,
    demand: {cpu: 50, memoryMb: 20, accelerators: 0},
    estimateMs: 2000,
  });
  const submission = cluster.submit(createId(1), createSpec([step]), 2);
  await cluster.advance(1000);
  t.equal((await submission).kind, 'accepted');
  const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
  t.ok(await cluster.waitUntil(isComplete, 60_000), 'it is done');
  t.same(cluster.auditor.violations, []);
  cluster.close();
});
