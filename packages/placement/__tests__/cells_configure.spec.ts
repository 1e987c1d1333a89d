import t from 'tap';
import type {Configuration} from '@galenavalve/model';
import {Cells, GuaranteePolicy} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

const policy = new GuaranteePolicy();
const before = createConfiguration(
  [
    {id: 'jnb', racks: 1, targetsPerRack: 2},
    {id: 'cpt', racks: 1, targetsPerRack: 1},
  ],
  {w: [{level: 'target', count: 1, domain: 'jnb'}]},
);

function change<T extends object>(
  values: ReadonlyMap<string, T>,
  id: string,
  fields: Partial<T>,
): Map<string, T> {
  const value = values.get(id) as T;
  return new Map(values).set(id, {...value, ...fields});
}

function configure(next: Partial<Configuration>): Cells {
  const cells = new Cells('jnb', before);
  policy.decide(cells, [createJob('first', {accelerators: 8})], 0);
  cells.configure({...before, ...next});
  return cells;
}

t.test('a new configuration', async t => {
  t.test('keeps the cells when the domain holds the same', async t => {
    const kept = new Cells('jnb', before);
    const {targets} = kept;
    kept.configure({
      ...before,
      workspaces: change(before.workspaces, 'w', {weight: 5}),
      domains: change(before.domains, 'cpt', {state: 'out'}),
      rules: {...before.rules, borrowing: false},
    });
    t.equal(kept.targets, targets);
    t.equal(kept.rules.borrowing, false);
    t.equal(kept.configuration.workspaces.get('w')?.weight, 5);
  });

  t.test('takes targets out', async t => {
    const states = change(before.targets, 'jnb-r0-t0', {state: 'out'});
    const targets = change(states, 'jnb-r0-t1', {state: 'out'});
    const cells = configure({targets});
    const job = createJob('j', {accelerators: 8});
    t.same(policy.decide(cells, [job], 0).placements, []);
  });

  t.test('takes the domain out', async t => {
    const domains = change(before.domains, 'jnb', {state: 'out'});
    t.notOk(configure({domains}).isInService);
  });

  t.test('changes what is promised', async t => {
    const guarantees = [{level: 'half' as const, count: 3, domain: 'jnb'}];
    const workspaces = change(before.workspaces, 'w', {guarantees});
    t.match(configure({workspaces}).guarantees, [{level: 'half', count: 3}]);
  });
});
