import t from 'tap';
import type {Configuration} from '@galenavalve/model';
import {Cells, GuaranteePolicy} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

const policy = new GuaranteePolicy();
const initialConfiguration = createConfiguration(
  [
    {id: 'jnb', racks: 1, targetsPerRack: 2},
    {id: 'cpt', racks: 1, targetsPerRack: 1},
  ],
  {w: [{level: 'target', count: 1, domain: 'jnb'}]},
);

/** Returns a copy of the map in which the fields of one entity are replaced. */
function replaceFields<T extends object>(
  values: ReadonlyMap<string, T>,
  id: string,
  fields: Partial<T>,
): Map<string, T> {
  const value = values.get(id) as T;
  return new Map(values).set(id, {...value, ...fields});
}

/** Creates cells with `initialConfiguration`, runs a pass, and applies a changed configuration. */
function createReconfiguredCells(next: Partial<Configuration>): Cells {
  const cells = new Cells('jnb', initialConfiguration);
  policy.decide(cells, [createJob('first', {accelerators: 8})], 0);
  cells.configure({...initialConfiguration, ...next});
  return cells;
}

t.test('applying a new configuration', async t => {
  t.test('keeps the cells if the domain is unchanged', async t => {
    const cells = new Cells('jnb', initialConfiguration);
    const {targets} = cells;
    cells.configure({
      ...initialConfiguration,
      workspaces: replaceFields(initialConfiguration.workspaces, 'w', {
        weight: 5,
      }),
      domains: replaceFields(initialConfiguration.domains, 'cpt', {
        state: 'out',
      }),
      rules: {...initialConfiguration.rules, borrowing: false},
    });
    t.equal(cells.targets, targets);
    t.equal(cells.rules.borrowing, false);
    t.equal(cells.configuration.workspaces.get('w')?.weight, 5);
  });

  t.test('places nothing on targets that it takes out of service', async t => {
    const states = replaceFields(initialConfiguration.targets, 'jnb-r0-t0', {
      state: 'out',
    });
    const targets = replaceFields(states, 'jnb-r0-t1', {state: 'out'});
    const cells = createReconfiguredCells({targets});
    const job = createJob('j', {accelerators: 8});
    t.same(policy.decide(cells, [job], 0).placements, []);
  });

  t.test('takes the domain out of service', async t => {
    const domains = replaceFields(initialConfiguration.domains, 'jnb', {
      state: 'out',
    });
    t.notOk(createReconfiguredCells({domains}).isInService);
  });

  t.test('updates the guarantees of the domain', async t => {
    const guarantees = [{level: 'half' as const, count: 3, domain: 'jnb'}];
    const workspaces = replaceFields(initialConfiguration.workspaces, 'w', {
      guarantees,
    });
    t.match(createReconfiguredCells({workspaces}).guarantees, [
      {level: 'half', count: 3},
    ]);
  });
});
