/** Pattern: most targets have shrunk, so that only one rack can hold a gang whose members need whole targets. */
import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import type {Demand} from '@galenavalve/workload';
import {createId, createSpec, createStep} from './fixtures.js';

const RACKS = 10;
const TARGETS_PER_RACK = 4;
const WHOLE: Demand = {cpu: 32_000, memoryMb: 131_072, accelerators: 8};
const SHRUNK: Demand = {cpu: 28_000, memoryMb: 117_000, accelerators: 7};

/** Bound of the platform for a job that could run while most of the capacity is free. */
const MAX_IDLE_MS = 3000;

async function startCluster(seed: number): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({
    seed,
    targets: RACKS * TARGETS_PER_RACK,
    targetsPerRack: TARGETS_PER_RACK,
    targetCapacity: WHOLE,
  });
  // Every rack but the first keeps half of its targets whole.
  for (
    let index = TARGETS_PER_RACK;
    index < RACKS * TARGETS_PER_RACK;
    index++
  ) {
    if (index % 2 === 0) {
      cluster.fleet.resizeTarget(`t${index}`, SHRUNK);
    }
  }
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

function hasRun(cluster: EmulatedCluster, id: string): boolean {
  return [...cluster.fleet.targets.values()].some(({runs}) =>
    [...runs.keys()].some(task => task.startsWith(id)),
  );
}

// Guards against gangs that wait one after the other for the only rack that can hold them, while most targets are empty.
t.test(
  'gangs that only one rack can hold run across racks while most targets are empty',
  async t => {
    for (const priority of [0, 1, 2]) {
      const cluster = await startCluster(priority + 1);
      const ids = [1, 2, 3].map(createId);
      const gang = createStep({
        count: 4,
        isGang: true,
        isRackSensitive: true,
        estimateMs: 7000,
        demand: WHOLE,
      });
      const accepted = await Promise.all([
        ...ids.map(id => cluster.submit(id, createSpec([gang]), priority)),
        cluster.advance(200),
      ]);
      t.match(accepted[2], {kind: 'accepted'});
      const haveRun = () => ids.every(id => hasRun(cluster, id));
      t.ok(
        await cluster.waitUntil(haveRun, MAX_IDLE_MS),
        `priority ${priority}`,
      );
      cluster.close();
    }
  },
);
