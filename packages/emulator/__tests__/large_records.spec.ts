import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {formatProgress} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

/** Limit of the platform for a record. */
const RECORD_BYTES = 262_144;

// Guards against a record of progress beyond the platform's limit: the append was repeated for ever, and no leader could record anything for any job (issue 47).
t.test(
  'urgent jobs start while overlapping occurrences of a wide job run and save progress, also after a takeover',
  async t => {
    const cluster = new EmulatedCluster({
      seed: 1,
      instances: 3,
      targets: 12,
      openTaskLimit: {total: 40_000, perWorkspace: 20_000},
    });
    const isLed = () => cluster.findLeader() !== undefined;
    t.ok(await cluster.waitUntil(isLed, 5000), 'an instance leads');
    const step = createStep({
      count: 1250,
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
    let size = 0;
    for (let second = 0; second < 15 && size <= RECORD_BYTES; second++) {
      await cluster.advance(1000);
      const wide = cluster.findLeader()!.table.find(createId(1))!;
      const progress = wide.progress!.read(wide.progressParts);
      size = formatProgress(progress).length;
    }
    t.ok(size > RECORD_BYTES, `${size} bytes of progress`);
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
