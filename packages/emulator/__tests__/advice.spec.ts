import t from 'tap';
import type {Advice, Advisor} from '@galenavalve/dispatch';
import {EmulatedCluster} from '@galenavalve/emulator';
import {createId, createSpec, createStep} from './fixtures.js';

/** Allows two targets, for 2 s. */
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
  'a step that needs advice runs only on targets that the advisor allows, with their tickets',
  async t => {
    const advisor = new FakeAdvisor();
    const cluster = new EmulatedCluster({advisor});
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    const spec = createSpec([createStep({count: 4})]);
    void cluster.submit(createId(1), spec, 1, undefined, true);
    await cluster.advance(400);
    const runs = [...cluster.fleet.targets.values()].flatMap(target =>
      [...target.runs.values()].map(({command}) => [
        target.info.id,
        command.ticket,
      ]),
    );
    t.equal(runs.length, 4);
    for (const [id, ticket] of runs) {
      t.ok(['t3', 't5'].includes(id!));
      t.equal(ticket, `${createId(1)}.0.0/${id}`);
    }
    t.equal(advisor.calls, 1);
    const isComplete = () => cluster.getJobState(createId(1)) === 'complete';
    t.ok(await cluster.waitUntil(isComplete, 10_000));
    cluster.close();
  },
);
