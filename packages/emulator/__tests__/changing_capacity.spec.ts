import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

const FULL = {cpu: 64_000, memoryMb: 131_072, accelerators: 8};

async function startCluster(seed: number): Promise<EmulatedCluster> {
  const cluster = new EmulatedCluster({seed, targetCapacity: FULL});
  await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
  await cluster.advance(1000);
  return cluster;
}

// Guards against starts that exceed a capacity that shrank while runs were on the target.
t.test(
  'a target whose capacity shrinks and grows is never started over it',
  async t => {
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const cluster = await startCluster(seed);
      const random = new SeededRandom(seed);
      const stream = createStream(seed, 40);
      for (const [index, {id, spec, priority, gap}] of stream.entries()) {
        void cluster.submit(id, spec, priority);
        const target = `t${nextInteger(random, 9)}`;
        const share = [0.25, 0.5, 1][nextInteger(random, 3)]!;
        cluster.fleet.resizeTarget(target, {
          cpu: FULL.cpu * share,
          memoryMb: FULL.memoryMb * share,
          accelerators: FULL.accelerators * share,
        });
        await cluster.advance(gap);
        const leader = cluster.findLeader();
        if (index % 13 === 12 && leader) {
          cluster.killInstance(leader.name);
          void cluster.clock
            .sleep(700)
            .then(() => cluster.startInstance(leader.name));
        }
      }
      for (const id of cluster.fleet.targets.keys()) {
        cluster.fleet.resizeTarget(id, FULL);
      }
      const haveEnded = () =>
        stream.every(({id}) => cluster.getJobState(id) === 'complete');
      t.ok(await cluster.waitUntil(haveEnded, 120_000), `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);

// Guards against starts that were decided before a reduction and are sent long after it.
t.test(
  'a placement whose record is delayed is not started on a target that has shrunk meanwhile',
  async t => {
    const cluster = await startCluster(1);
    const id = createId(1);
    const whole = createStep({
      count: 9,
      demand: {...FULL, accelerators: 8},
      estimateMs: 2000,
    });
    const {log} = cluster;
    const append = log.appendFor.bind(log);
    let isOutageDue = true;
    log.appendFor = (instance, records, ...rest) => {
      if (isOutageDue && records.some(({key}) => key === `s/${id}`)) {
        isOutageDue = false;
        log.faults.silentTo.add('all');
      }
      return append(instance, records, ...rest);
    };
    void cluster.submit(id, createSpec([whole]));
    await cluster.advance(200);
    for (const target of cluster.fleet.targets.keys()) {
      cluster.fleet.resizeTarget(target, {...FULL, accelerators: 4});
    }
    await cluster.advance(7000);
    log.faults.silentTo.clear();
    await cluster.advance(3000);
    t.same(cluster.auditor.violations, []);
    for (const target of cluster.fleet.targets.keys()) {
      cluster.fleet.resizeTarget(target, FULL);
    }
    const isComplete = () => cluster.getJobState(id) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 60_000));
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

// Guards against starts on a restarted target of another kind by the capacity of its former incarnation.
t.test(
  'a target that restarts with less capacity is not started by its former capacity',
  async t => {
    for (const seed of [1, 2, 3]) {
      const cluster = await startCluster(seed);
      const stream = createStream(seed, 30);
      for (const [index, {id, spec, priority, gap}] of stream.entries()) {
        void cluster.submit(id, spec, priority);
        await cluster.advance(gap);
        if (index % 4 === 3) {
          const {info} = cluster.fleet.targets.get(`t${index % 9}`)!;
          cluster.fleet.crashTarget(info.id);
          await cluster.advance(50);
          const capacity = {...FULL, accelerators: 2};
          cluster.fleet.addTarget({...info, born: info.born + 50, capacity});
        }
      }
      await cluster.advance(8000);
      for (const target of cluster.fleet.targets.keys()) {
        cluster.fleet.resizeTarget(target, FULL);
      }
      const haveEnded = () =>
        stream.every(({id}) => cluster.getJobState(id) === 'complete');
      t.ok(await cluster.waitUntil(haveEnded, 120_000), `seed ${seed}`);
      t.same(cluster.auditor.violations, [], `seed ${seed}`);
      cluster.close();
    }
  },
);
