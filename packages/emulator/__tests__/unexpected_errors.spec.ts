import t from 'tap';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

async function boot(): Promise<EmulatedCluster> {
  const installation = new EmulatedCluster({seed: 1, instances: 3});
  const isHeld = () => installation.findLeader() !== undefined;
  await installation.waitUntil(isHeld, 5000);
  return installation;
}

/** Hands a job in, and tells whether it is complete within ten seconds. */
async function isServed(installation: EmulatedCluster): Promise<boolean> {
  const spec = createSpec([createStep({estimateMs: 300})]);
  void installation.submit(createId(1), spec);
  const isComplete = () => installation.getJobState(createId(1)) === 'complete';
  return installation.waitUntil(isComplete, 10_000);
}

t.test(
  'an unexpected error in a pass costs that pass, not the dispatcher',
  async t => {
    const installation = await boot();
    const holder = installation.findLeader()!.name;
    const {desired} = installation;
    const {guarantees} = desired;
    let errors = 0;
    Object.defineProperty(desired, 'guarantees', {
      configurable: true,
      get: () => {
        if (errors++ < 5) {
          throw new Error('unexpected');
        }
        return guarantees;
      },
    });
    t.ok(await isServed(installation));
    t.ok(errors > 5);
    t.equal(installation.findLeader()?.name, holder);
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);

t.test(
  'an unexpected error in a listing costs that listing: its target is asked again and goes on with its runs',
  async t => {
    const installation = await boot();
    const errors = new Map<string, number>();
    for (const target of installation.fleet.targets.values()) {
      const hold = target.hold.bind(target);
      target.hold = (order, now) => {
        const count = (errors.get(target.info.id) ?? 0) + 1;
        errors.set(target.info.id, count);
        if (count === 3) {
          throw new Error('unexpected');
        }
        return hold(order, now);
      };
    }
    await installation.advance(4000);
    t.ok(await isServed(installation));
    t.ok([...errors.values()].every(count => count > 3));
    t.same(installation.auditor.violations, []);
    installation.close();
  },
);
