import t from 'tap';
import {
  FirstFitPolicy,
  GuaranteePolicy,
  QuotaPolicy,
  apportionGuarantees,
  listGuaranteeViews,
  findShortfalls,
} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

const plans = ['d1', 'd2', 'd3'].map(id => ({
  id,
  racks: 1,
  targetsPerRack: 8,
}));

t.test('guarantees of workspaces', async t => {
  t.test('are apportioned over domains without loss', async t => {
    const configuration = createConfiguration(plans, {
      w: [{level: 'target', count: 7}],
    });
    const counts = [...apportionGuarantees(configuration).values()].map(
      guarantees => guarantees.reduce((sum, {count}) => sum + count, 0),
    );
    t.same(counts.sort(), [2, 2, 3]);
    t.same(findShortfalls(configuration), []);
  });

  t.test('beyond the inventory are reported as shortfalls', async t => {
    const configuration = createConfiguration(plans, {
      w: [{level: 'rack', count: 4}],
    });
    t.match(findShortfalls(configuration), [
      {workspace: 'w', level: 'rack', domain: 'd1', satisfiable: 1},
    ]);
  });

  t.test('stay apportioned, and are short, while a domain is out', async t => {
    const configuration = createConfiguration(plans, {
      w: [{level: 'rack', count: 3}],
    });
    const domains = new Map(configuration.domains);
    domains.set('d2', {...domains.get('d2')!, state: 'out'});
    const views = listGuaranteeViews({...configuration, domains}).get('w')!;
    t.same(
      views.map(({domain, promised, satisfiable}) => [
        domain,
        promised,
        satisfiable,
      ]),
      [
        ['d1', 1, 1],
        ['d2', 1, 0],
        ['d3', 1, 1],
      ],
    );
  });
});

t.test('a reclaim for a guaranteed job', async t => {
  const configuration = createConfiguration(
    [{id: 'd', racks: 1, targetsPerRack: 2}],
    {w: [{level: 'target', count: 1}], b: []},
  );
  const policy = new GuaranteePolicy();
  const cells = policy.createCells('d', configuration);
  for (const [i, checkpointable] of [false, true].entries()) {
    cells.addGang({
      ...createJob(`b${i}`, {tasks: 8}, {workspace: 'b', checkpointable}),
      assignments: [
        {target: `d-r0-t${i}`, firstTask: 0, tasks: 8, accelerators: 255},
      ],
      guaranteed: false,
      startedAt: 0,
      savedAt: 0,
      stopping: false,
    });
  }
  const job = createJob('j', {tasks: 8, adjacency: 'target'});

  t.test('stops whole gangs; the job starts once they have ended', async t => {
    const {reclaims, placements} = policy.decide(cells, [job], 100_000);
    t.equal(placements.length, 0);
    t.equal(reclaims[0]?.victims.length, 1);
    reclaims[0]!.victims.forEach(id => cells.removeGang(id));
    const next = policy.decide(cells, [job], 101_000);
    t.match(next.placements, [{jobId: 'j', guaranteed: true}]);
  });
});

t.test('the baseline policies place complete gangs too', async t => {
  const configuration = createConfiguration(plans, {
    w: [{level: 'target', count: 3}],
  });
  for (const policy of [new FirstFitPolicy(), new QuotaPolicy()]) {
    const cells = policy.createCells('d1', configuration);
    const job = createJob('j', {tasks: 12, adjacency: 'rack'});
    const {placements} = policy.decide(cells, [job], 0);
    const tasks = placements[0]!.assignments.map(one => one.tasks);
    t.same(tasks, [8, 4]);
  }
});
