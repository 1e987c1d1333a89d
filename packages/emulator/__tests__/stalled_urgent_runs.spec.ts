/** Load: a tenth of the targets stops working while short urgent gangs arrive (menon-terrain scale-1). */
import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

t.test(
  'a short urgent gang with a stalled member is restarted in time to end within one and a half times its duration',
  async t => {
    const cluster = new EmulatedCluster({targets: 4, targetsPerRack: 4});
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(2000);
    const gang = createStep({
      count: 2,
      isGang: true,
      estimateMs: 2500,
      demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
    });
    const startedAt = cluster.clock.now();
    void cluster.submit(createId(1), createSpec([gang]), 0);
    await cluster.advance(50);
    const stalled = [...cluster.fleet.targets.values()].find(
      ({runs}) => runs.size > 0,
    )!;
    stalled.faults.hangs = true;
    const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 10_000));
    const duration = cluster.clock.now() - startedAt;
    t.ok(duration > 2600, 'the gang was restarted');
    t.ok(duration <= 1.5 * 2500 + 250, `it took ${duration} ms`);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);
