import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

const ID = createId(1);

async function boot(seed = 1): Promise<EmulatedCluster> {
  const installation = new EmulatedCluster({seed});
  await installation.waitUntil(
    () => installation.findLeader() !== undefined,
    5000,
  );
  await installation.advance(1000);
  return installation;
}

function runOf(installation: EmulatedCluster, id: string): number | undefined {
  const [instance] = installation.instances.values();
  const progress = instance!.table.find(id)?.progress?.read();
  return progress?.occurrences[0]?.steps[0]?.[0]?.run;
}

/** A target that runs tasks of all these jobs. */
function findTargetOf(installation: EmulatedCluster, ...ids: string[]) {
  return [...installation.fleet.targets.values()].find(({runs}) =>
    ids.every(id => [...runs.keys()].some(task => task.startsWith(id))),
  )!;
}

t.test(
  'a gang that ran on behind a cut is not taken for one that stands still',
  async t => {
    const installation = await boot();
    const demand = {cpu: 4000, memoryMb: 8000, accelerators: 4};
    const gang = createStep({
      count: 3,
      isGang: true,
      estimateMs: 14_000,
      demand,
    });
    void installation.submit(ID, createSpec([gang]));
    await installation.advance(300);
    const other = createStep({count: 9, estimateMs: 60_000, demand});
    void installation.submit(createId(2), createSpec([other]));
    await installation.advance(700);
    const {info} = findTargetOf(installation, ID, createId(2));
    installation.fleet.faults.unreachableTargets.add(info.id);
    await installation.advance(500);
    // The stop is repeated, and answered before the first listing after the cut.
    void installation.cancel(createId(2));
    await installation.advance(5200);
    installation.fleet.faults.unreachableTargets.clear();
    await installation.advance(2000);
    t.equal(runOf(installation, ID), 1);
    const isComplete = () => installation.getJobState(ID) === 'complete';
    t.ok(await installation.waitUntil(isComplete, 8000));
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);

t.test(
  'urgent work leaves a target that becomes slow, though nothing of it is saved',
  async t => {
    const installation = await boot();
    const spec = createSpec([createStep({count: 1, estimateMs: 3000})]);
    void installation.submit(ID, spec, 0);
    await installation.advance(1700);
    findTargetOf(installation, ID).faults.slowness = 10;
    const isComplete = () => installation.getJobState(ID) === 'complete';
    t.ok(await installation.waitUntil(isComplete, 8000), 'it would take 13 s');
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);

t.test('urgent work that stands still is moved within two seconds', async t => {
  const installation = await boot();
  for (const {faults, info} of installation.fleet.targets.values()) {
    faults.hangs = info.domain === 'd0';
  }
  const spec = createSpec([createStep({count: 1, estimateMs: 3000})]);
  const ids = [1, 2, 3, 4, 5, 6].map(createId);
  ids.forEach(id => void installation.submit(id, spec, 0));
  const isComplete = () =>
    ids.every(id => installation.getJobState(id) === 'complete');
  t.ok(await installation.waitUntil(isComplete, 6500));
  t.same(installation.auditor.violations, []);
  installation.close();
});

t.test(
  'an instance that comes back takes up the office of its former life at once',
  async t => {
    const installation = await boot();
    const names = [...installation.instances.keys()];
    names.forEach(name => installation.killInstance(name));
    await installation.advance(300);
    names.forEach(name => installation.startInstance(name));
    const isHeld = () => installation.findLeader() !== undefined;
    t.ok(await installation.waitUntil(isHeld, 250));
    installation.close();
  },
);
