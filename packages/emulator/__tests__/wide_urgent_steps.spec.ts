/** Pattern: an urgent step of many tasks needs whole targets, all of which are full. */
import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const TASKS = 16;
const FULL = {cpu: 64_000, memoryMb: 131_072, accelerators: 1};

/** Bound of the platform for the start of guaranteed urgent work. */
const MAX_RECLAIM_MS = 2900;

function countRunning(cluster: EmulatedCluster, id: string): number {
  const targets = [...cluster.fleet.targets.values()];
  const tasks = targets.flatMap(({runs}) => [...runs.keys()]);
  return tasks.filter(task => task.startsWith(id)).length;
}

// Guards against capacity that is reclaimed for one task of a step after the other.
t.test(
  'capacity is reclaimed for all tasks of an urgent step at once',
  async t => {
    for (const maxPerTarget of [undefined, 1]) {
      const cluster = new EmulatedCluster({targets: TASKS, targetsPerRack: 4});
      await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
      await cluster.advance(1000);
      const [filling, urgent] = [createId(1), createId(2)];
      const low = createStep({count: TASKS, demand: FULL, estimateMs: 60_000});
      void cluster.submit(filling, createSpec([low]), 2);
      await cluster.advance(6000);
      const step = {count: TASKS, demand: FULL, estimateMs: 5000, maxPerTarget};
      void cluster.submit(urgent, createSpec([createStep(step)]), 0);
      const haveStarted = () => countRunning(cluster, urgent) === TASKS;
      t.ok(
        await cluster.waitUntil(haveStarted, MAX_RECLAIM_MS),
        `limit per target ${maxPerTarget}`,
      );
      cluster.close();
    }
  },
);
