/** Jobs are accepted while reads of the log return new records late (load of menon-terrain scale-2). */
import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

t.test(
  'a job starts at once although the leader reads its acceptance a second later',
  async t => {
    const cluster = new EmulatedCluster();
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    cluster.log.faults.hiddenFrom = cluster.log.end;
    const gang = createStep({isGang: true, estimateMs: 3000});
    let index = 0;
    for (const instance of cluster.instances.values()) {
      void cluster.submit(createId(++index), createSpec([gang]), 0, instance);
    }
    await cluster.advance(100);
    const running = new Set(
      [...cluster.fleet.targets.values()].flatMap(({runs}) =>
        [...runs.keys()].map(task => task.split('.')[0]),
      ),
    );
    t.equal(running.size, 3, 'jobs accepted at the leader and at others run');
    cluster.log.faults.hiddenFrom = undefined;
    await cluster.advance(6000);
    for (let id = 1; id <= index; id++) {
      t.equal(cluster.getJobState(createId(id)), 'complete');
    }
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);

// Guards against an instance that accepts a job and then says that it does not exist, since it has not read its own record.
t.test(
  'an instance does not deny a job that it accepted although it reads the acceptance a second later',
  async t => {
    const cluster = new EmulatedCluster();
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    cluster.log.faults.hiddenFrom = cluster.log.end;
    const instances = cluster.listRunningInstances();
    const states: string[] = [];
    const ask = async (index: number) => {
      const id = createId(index + 1);
      states.push(await cluster.readState(id, instances[index]));
    };
    for (const [index, instance] of instances.entries()) {
      void cluster.submit(createId(index + 1), createSpec(), 1, instance);
    }
    await cluster.advance(100);
    t.equal(cluster.listAcceptedJobs().length, instances.length);
    instances.forEach((_, index) => void ask(index));
    await cluster.advance(700);
    t.equal(states.length, instances.length);
    t.notOk(states.includes('unknown-job'), states.join(', '));
    cluster.log.faults.hiddenFrom = undefined;
    await cluster.advance(6000);
    instances.forEach((_, index) => void ask(index));
    await cluster.advance(100);
    t.same(states.slice(instances.length), [
      'complete',
      'complete',
      'complete',
    ]);
    t.same(cluster.auditor.violations, []);
    cluster.close();
  },
);
