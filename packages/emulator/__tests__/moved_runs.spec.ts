import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

// Guards against a task that runs twice because its first start is carried out by the next incarnation of its target, which cannot be reached.
t.test(
  'a run whose start got no response does not start again while the next incarnation of its target may still carry it out',
  async t => {
    for (const seed of [1, 2, 3, 4]) {
      const cluster = new EmulatedCluster({seed});
      await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
      await cluster.advance(20_000);
      const {fleet} = cluster;
      fleet.faults.delayedCommands = 1;
      const spec = createSpec([createStep({count: 1, estimateMs: 20_000})]);
      void cluster.submit(createId(1), spec);
      const findLeaderTarget = () =>
        cluster.findLeader()!.table.find(createId(1))?.progress?.read()
          .occurrences[0]?.steps[0]?.[0]?.placedOn?.[0]?.incarnation;
      await cluster.waitUntil(() => findLeaderTarget() !== undefined, 2000);
      const [id] = findLeaderTarget()!.split('@');
      await cluster.advance(20);
      fleet.faults.delayedCommands = 0;
      const {info} = fleet.targets.get(id!)!;
      fleet.crashTarget(id!);
      fleet.faults.unreachableTargets.add(id!);
      fleet.addTarget({...info, born: info.born + 100});
      await cluster.advance(30_000);
      fleet.faults.unreachableTargets.clear();
      await cluster.advance(30_000);
      t.equal(cluster.getJobState(createId(1)), 'complete');
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);
