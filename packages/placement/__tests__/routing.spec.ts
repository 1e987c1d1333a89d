import t from 'tap';
import {
  type DomainSummary,
  GuaranteePolicy,
  chooseDomain,
  decideEvacuation,
  findMove,
} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

function createSummary(
  domain: string,
  overrides: Partial<DomainSummary> = {},
): DomainSummary {
  return {
    domain,
    isInService: true,
    startOption: 'none',
    rackFree: 0,
    backlogSeconds: 10,
    ...overrides,
  };
}

t.test('a new job is routed', async t => {
  t.test('to a domain where it can start, the fullest rack first', async t => {
    const route = chooseDomain([
      createSummary('a', {startOption: 'borrowed', rackFree: 64}),
      createSummary('b', {startOption: 'borrowed', rackFree: 8}),
      createSummary('c', {backlogSeconds: 0}),
    ]);
    t.match(route, {domain: 'b', reason: {code: 'routed-capacity'}});
  });

  t.test(
    'never to a domain that is out while another is in service',
    async t => {
      const out = createSummary('a', {isInService: false, backlogSeconds: 0});
      t.equal(chooseDomain([out, createSummary('b')])?.domain, 'b');
    },
  );
});

t.test('a waiting job', async t => {
  const job = createJob('j', {});
  const free = createSummary('b', {startOption: 'borrowed'});

  t.test('leaves at once a domain that is out', async t => {
    const from = createSummary('a', {isInService: false});
    t.match(findMove(job, from, [createSummary('b')], 0, 1), {
      to: 'b',
      reason: {code: 'moved-domain-out'},
    });
  });

  t.test('moves to free capacity only after the minimum stay', async t => {
    t.equal(findMove(job, createSummary('a'), [free], 0, 9_999), undefined);
    t.equal(findMove(job, createSummary('a'), [free], 0, 10_000)?.to, 'b');
  });
});

t.test('an evacuation checkpoints gangs, or waits for their end', async t => {
  const configuration = createConfiguration([
    {id: 'd', racks: 1, targetsPerRack: 1},
  ]);
  const cells = new GuaranteePolicy().createCells('d', configuration);
  for (const [index, checkpointable] of [true, false].entries()) {
    cells.addGang({
      ...createJob(`j${index}`, {}, {checkpointable, repeatable: false}),
      assignments: [
        {target: 'd-r0-t0', firstTask: 0, tasks: 1, accelerators: 1 << index},
      ],
      guaranteed: false,
      startedAt: 0,
      savedAt: 0,
      stopping: false,
    });
  }
  t.same(decideEvacuation(cells, {}, 1000), []);
  cells.setCondition('d-r0-t0', 'leaving');
  const decisions = decideEvacuation(cells, {deadline: 5000}, 1000);
  t.same(
    decisions.map(({jobId, action}) => [jobId, action]),
    [
      ['j0', 'checkpoint'],
      ['j1', 'wait'],
    ],
  );
});
