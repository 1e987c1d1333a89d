import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

// Guards against a task that runs again since its target, after a restart, forgets an end that no leader has read.
t.test(
  'an end of a new incarnation is not acknowledged with the number of an end of the former one',
  async t => {
    for (let away = 400; away <= 1600; away += 100) {
      const cluster = new EmulatedCluster({targets: 1});
      await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
      await cluster.advance(1000);
      const short = createStep({count: 4, estimateMs: 150});
      void cluster.submit(createId(1), createSpec([short]));
      const isFirstDone = () => cluster.getJobState(createId(1)) === 'complete';
      t.ok(await cluster.waitUntil(isFirstDone, 5000));
      const {fleet} = cluster;
      const {info} = fleet.targets.get('t0')!;
      await cluster.advance(1200);
      // The target is out of reach, and its entry in the registry stays the same.
      fleet.targets.get('t0')!.crash();
      await cluster.advance(100);
      void cluster.submit(createId(2), createSpec([short]));
      await cluster.advance(away - 100);
      const born = cluster.clock.wallTime();
      fleet.addTarget({...info, born}, false);
      await cluster.advance(800);
      fleet.sendRegistration({...info, born});
      const isDone = () => cluster.getJobState(createId(2)) === 'complete';
      t.ok(await cluster.waitUntil(isDone, 30_000), `away for ${away} ms`);
      t.same(cluster.auditor.violations, [], `away for ${away} ms`);
      cluster.close();
    }
  },
);
