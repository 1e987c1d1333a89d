import t from 'tap';
import {type EmulatedInstance, EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

async function boot(seed = 1): Promise<EmulatedCluster> {
  const installation = new EmulatedCluster({seed, instances: 4});
  await installation.waitUntil(
    () => installation.findLeader() !== undefined,
    5000,
  );
  await installation.advance(1500);
  return installation;
}

function findIdle(installation: EmulatedCluster): EmulatedInstance {
  return [...installation.instances.values()].find(
    instance => instance !== installation.findLeader(),
  )!;
}

t.test(
  'an instance that the log turns away accepts through a peer',
  async t => {
    for (const fault of ['busyTo', 'silentTo'] as const) {
      const installation = await boot();
      const turnedAway = findIdle(installation);
      installation.log.faults[fault].add(turnedAway.name);
      await installation.advance(1000);
      const answers: string[] = [];
      for (let index = 1; index <= 8; index++) {
        const spec = createSpec([createStep({estimateMs: 300})]);
        void installation
          .submit(createId(index), spec, 1, turnedAway)
          .then(({kind}) => answers.push(kind));
        await installation.advance(600);
      }
      t.same(
        answers,
        Array.from({length: 8}, () => 'accepted'),
        fault,
      );
      t.ok(turnedAway.gateway.isReady, fault);
      t.equal(installation.getJobState(createId(1)), 'complete');
      t.same(installation.auditor.violations, []);
      installation.close();
    }
  },
);

t.test(
  'a dispatcher that the log turns away goes on through a peer',
  async t => {
    const installation = await boot();
    const dispatcher = installation.findLeader()!;
    installation.log.faults.busyTo.add(dispatcher.name);
    const spec = createSpec([createStep({estimateMs: 500})]);
    for (let index = 1; index <= 6; index++) {
      void installation.submit(
        createId(index),
        spec,
        1,
        findIdle(installation),
      );
      await installation.advance(1000);
    }
    t.equal(installation.findLeader(), dispatcher);
    t.equal(installation.getJobState(createId(5)), 'complete');
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);

t.test(
  'an instance that reaches neither the log nor a peer refuses truly',
  async t => {
    const installation = await boot();
    const alone = findIdle(installation);
    installation.log.faults.busyTo.add(alone.name);
    installation.peers.isolatedInstances.add(alone.name);
    await installation.advance(3000);
    let kind: string | undefined;
    void installation
      .submit(createId(1), createSpec(), 1, alone)
      .then(answer => (kind = answer.kind));
    await installation.advance(3000);
    t.equal(kind, 'refused');
    t.equal(installation.getJobState(createId(1)), undefined);
    t.notOk(alone.gateway.isReady);
    installation.close();
  },
);

t.test('the strongest instance takes the office', async t => {
  for (const seed of [1, 2, 3]) {
    const installation = new EmulatedCluster({
      seed,
      instances: 4,
      getCores: name => (name === 'instance-2' ? 1.35 : 0.3),
    });
    await installation.advance(3000);
    t.equal(installation.findLeader()?.name, 'instance-2');
    installation.close();
  }
});

t.test(
  'a log that is slow keeps its dispatcher, and work starts (kwjt-grid inc-5215)',
  async t => {
    for (const seed of [1, 2, 3, 4]) {
      const installation = await boot(seed);
      const dispatcher = installation.findLeader()!;
      installation.log.faults.slowness = 110;
      const spec = createSpec([createStep({estimateMs: 500})]);
      for (let index = 1; index <= 6; index++) {
        void installation.submit(createId(index), spec, 1);
        await installation.advance(1000);
        t.equal(
          installation.findLeader()?.name,
          dispatcher.name,
          `seed ${seed}`,
        );
      }
      t.equal(installation.getJobState(createId(1)), 'complete');
      installation.log.faults.slowness = 1;
      await installation.advance(3000);
      t.equal(installation.getJobState(createId(6)), 'complete');
      t.same(installation.auditor.violations, []);
      installation.close();
    }
  },
);
