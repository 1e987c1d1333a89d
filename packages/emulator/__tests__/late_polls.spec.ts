import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Time within which late polls are carried out and the leases that they extend have expired. */
const LATE_MS = 25_000;

const FINISH_MS = 90_000;

/** Returns the id of the target of the latest placement of the job's task. */
function findTarget(cluster: EmulatedCluster): string | undefined {
  return cluster
    .findLeader()
    ?.table.find(ID)
    ?.progress?.read()
    .occurrences[0]?.steps[0]?.[0]?.placedOn?.[0]?.incarnation.split('@')[0];
}

/** Starts the next incarnation of each target, with the given start time by the clock of its machine. */
function restartAll({fleet}: EmulatedCluster, born: number): void {
  for (const target of [...fleet.targets.values()]) {
    target.crash();
    fleet.addTarget({...target.info, born});
  }
}

// Guards against two runs of a task because a late poll, meant for the former incarnation of a target, extends the lease of the next one beyond what the leader waits for.
for (const [name, born] of [
  ['later', 200_000],
  ['earlier', 50_000],
] as const) {
  t.test(
    `a late poll extends no lease of an incarnation that has responded, with a start time that is ${name}`,
    async t => {
      for (const seed of SEEDS) {
        const cluster = new EmulatedCluster({seed});
        const {fleet} = cluster;
        await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
        restartAll(cluster, 100_000);
        await cluster.advance(20_000);
        fleet.faults.delayedPolls = 1;
        await cluster.advance(1100);
        fleet.faults.delayedPolls = 0;
        restartAll(cluster, born);
        await cluster.advance(1500);
        fleet.targets.forEach(({info}) => fleet.sendRegistration(info, 0));
        await cluster.advance(400);
        const step = createStep({count: 1, estimateMs: 20_000});
        void cluster.submit(ID, createSpec([step]));
        const hasRun = () =>
          [...fleet.targets.values()].some(({runs}) => runs.size > 0);
        t.ok(await cluster.waitUntil(hasRun, 3000), `seed ${seed}: starts`);
        await cluster.advance(100);
        fleet.faults.unreachableTargets.add(findTarget(cluster)!);
        await cluster.advance(LATE_MS);
        fleet.faults.unreachableTargets.clear();
        const isDone = () => cluster.getJobState(ID) === 'complete';
        t.ok(await cluster.waitUntil(isDone, FINISH_MS), `seed ${seed}`);
        t.same(cluster.auditor.violations, [], `seed ${seed}`);
        cluster.close();
      }
    },
  );
}
