import t from 'tap';
import {GuaranteePolicy} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

const policy = new GuaranteePolicy();

t.test('a submitted gang', async t => {
  t.test('is placed completely, within its required adjacency', async t => {
    const cells = policy.createCells(
      'd',
      createConfiguration([{id: 'd', racks: 2, targetsPerRack: 2}]),
    );
    const job = createJob('j', {tasks: 16, adjacency: 'rack'});
    const {placements} = policy.decide(cells, [job], 0);
    const assignments = placements[0]!.assignments;
    t.same(
      assignments.map(({tasks, accelerators}) => [tasks, accelerators]),
      [
        [8, 255],
        [8, 255],
      ],
    );
    const racks = assignments.map(({target}) => target.split('-t')[0]);
    t.equal(new Set(racks).size, 1);
  });

  t.test('is infeasible if no part of the domain can hold it', async t => {
    const cells = policy.createCells(
      'd',
      createConfiguration([{id: 'd', racks: 2, targetsPerRack: 2}]),
    );
    const job = createJob('j', {tasks: 17, adjacency: 'rack'});
    const reason = policy.findInfeasibility(cells, job);
    t.match(reason, {code: 'never-size', details: {level: 'rack'}});
    const foreign = createJob('k', {}, {workspace: 'nobody'});
    t.match(policy.findInfeasibility(cells, foreign), {
      code: 'never-unknown-workspace',
    });
  });
});
