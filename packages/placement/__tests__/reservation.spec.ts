import t from 'tap';
import {GuaranteePolicy, type WaitingJob} from '../src/index.js';
import {createConfiguration, createJob} from './fixtures.js';

const LARGE_WAIT_SECONDS = 3600;
const policy = new GuaranteePolicy();

/**
 * Creates a rack in which one small gang runs until 2,000 s, and a large job
 * that was submitted at 0 s.
 */
function createFixture() {
  const configuration = createConfiguration(
    [{id: 'd', racks: 1, targetsPerRack: 2}],
    {w: []},
    {largeJobWaitSeconds: LARGE_WAIT_SECONDS},
  );
  const cells = policy.createCells('d', configuration);
  for (let i = 0; i < 20; i++) {
    cells.recordRunTime('w', 'k', 100, 100);
  }
  const running = createJob('running', {}, {expectedSeconds: 2000});
  cells.addGang({
    ...running,
    assignments: [{target: 'd-r0-t0', firstTask: 0, tasks: 1, accelerators: 1}],
    guaranteed: false,
    startedAt: 0,
    savedAt: 0,
    stopping: false,
  });
  const large = createJob('large', {tasks: 16, adjacency: 'rack'});
  return {cells, large};
}

/** Returns the jobs that a pass starts `seconds` after the submission of the large job. */
function listStartedJobs(
  {cells, large}: ReturnType<typeof createFixture>,
  small: WaitingJob,
  seconds: number,
): string[] {
  const {placements} = policy.decide(cells, [large, small], seconds * 1000);
  return placements.map(({jobId}) => jobId);
}

t.test('while the oldest large job waits', async t => {
  t.test(
    'a short job backfills its reservation, and a long job does not',
    async t => {
      const fixture = createFixture();
      const short = createJob('small', {}, {expectedSeconds: 500});
      const long = createJob('small', {}, {expectedSeconds: 5000});
      t.same(listStartedJobs(fixture, short, 1000), ['small']);
      t.same(listStartedJobs(fixture, long, 1000), []);
    },
  );

  t.test('no job overtakes it after largeJobWaitSeconds', async t => {
    const fixture = createFixture();
    const short = createJob('small', {}, {expectedSeconds: 1});
    t.same(listStartedJobs(fixture, short, LARGE_WAIT_SECONDS), []);
    fixture.cells.removeGang('running');
    t.same(listStartedJobs(fixture, short, LARGE_WAIT_SECONDS + 1), ['large']);
  });
});
