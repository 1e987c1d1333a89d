import fc from 'fast-check';
import t from 'tap';
import {
  type Configuration,
  DEFAULT_RULES,
  type Target,
  type Workspace,
} from '@galenavalve/model';
import {findGuaranteeFailure} from '../src/index.js';

const DOMAINS = ['jnb', 'cpt'];

interface Draft {
  domains: {id: string; isOut: boolean}[];
  targets: {domain: string; accelerators: number; isOut: boolean}[];
  workspaces: {count: number; weight: number; permitted?: string[]}[];
}

function createConfiguration(draft: Draft): Configuration {
  const stateOf = (isOut: boolean) => (isOut ? 'out' : 'in-service');
  const domains = draft.domains.map(({id, isOut}) => ({
    kind: 'domain' as const,
    id,
    region: 'za',
    state: stateOf(isOut) as 'out',
  }));
  const targets = draft.targets.map(
    ({domain, accelerators, isOut}, index): Target => ({
      kind: 'target',
      id: `t${index}`,
      domain,
      rack: `${domain}-r1`,
      endpoint: 'http://127.0.0.1:1',
      accelerators,
      processors: 64,
      memoryMb: 1024,
      slots: 8,
      state: stateOf(isOut) as 'out',
    }),
  );
  const workspaces = draft.workspaces.map(
    ({count, weight, permitted}, index): Workspace => ({
      kind: 'workspace',
      id: `w${index}`,
      weight,
      guarantees: [{level: 'half', count}],
      queueLimit: 10,
      requiresApproval: false,
      permittedDomains: permitted,
    }),
  );
  return {
    domains: new Map(domains.map(value => [value.id, value])),
    targets: new Map(targets.map(value => [value.id, value])),
    workspaces: new Map(workspaces.map(value => [value.id, value])),
    rules: DEFAULT_RULES,
  };
}

const draftArbitrary = fc.record({
  domains: fc.uniqueArray(
    fc.record({id: fc.constantFrom(...DOMAINS), isOut: fc.boolean()}),
    {minLength: 1, selector: ({id}) => id},
  ),
  targets: fc.array(
    fc.record({
      domain: fc.constantFrom(...DOMAINS),
      accelerators: fc.constantFrom(4, 8),
      isOut: fc.boolean(),
    }),
    {maxLength: 3},
  ),
  workspaces: fc.array(
    fc.record(
      {
        count: fc.integer({min: 1, max: 3}),
        weight: fc.constantFrom(1, 2),
        permitted: fc.subarray(DOMAINS),
      },
      {requiredKeys: ['count', 'weight']},
    ),
    {maxLength: 2},
  ),
});

t.test('a skipped search does not change the result of the check', async t => {
  let accepted = 0;
  const property = fc.property(
    draftArbitrary,
    draftArbitrary,
    (before, after) => {
      // Each change replaces one part of the configuration, as changes by operators do.
      const previous = createConfiguration(before);
      for (const part of ['domains', 'targets', 'workspaces'] as const) {
        const next = createConfiguration({...before, [part]: after[part]});
        if (findGuaranteeFailure(previous)) {
          return;
        }
        accepted++;
        t.same(
          findGuaranteeFailure(next, previous),
          findGuaranteeFailure(next),
        );
      }
    },
  );
  fc.assert(property, {numRuns: 500, seed: 41});
  t.ok(
    accepted > 100,
    `${accepted} changes started from an accepted configuration`,
  );
});
