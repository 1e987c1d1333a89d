import t from 'tap';
import type {Advice, Advisor} from '@galenavalve/dispatch';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

/** An advisor that allows two targets, for a short time. */
class FakeAdvisor implements Advisor {
  calls = 0;

  async advise(step: string, ids: readonly string[]): Promise<Advice> {
    this.calls++;
    const good = ids.filter(id => id === 't3' || id === 't5');
    return {
      kind: 'advised',
      tickets: new Map(good.map(id => [id, `${step}/${id}`])),
      validFor: 2000,
    };
  }
}

t.test(
  'a step that needs advice runs only where the advisor allows it, with its ticket',
  async t => {
    const advisor = new FakeAdvisor();
    const installation = new EmulatedCluster({advisor});
    await installation.waitUntil(
      () => installation.findLeader() !== undefined,
      5000,
    );
    await installation.advance(1000);
    const spec = createSpec([createStep({count: 4})]);
    void installation.submit(createId(1), spec, 1, undefined, true);
    await installation.advance(400);
    const runs = [...installation.fleet.targets.values()].flatMap(target =>
      [...target.runs.values()].map(({order}) => [
        target.info.id,
        order.ticket,
      ]),
    );
    t.equal(runs.length, 4);
    for (const [id, ticket] of runs) {
      t.ok(['t3', 't5'].includes(id!));
      t.equal(ticket, `${createId(1)}.0.0/${id}`);
    }
    t.equal(advisor.calls, 1);
    const isComplete = () =>
      installation.getJobState(createId(1)) === 'complete';
    t.ok(await installation.waitUntil(isComplete, 10_000));
    installation.close();
  },
);
