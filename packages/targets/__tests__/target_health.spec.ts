import t from 'tap';
import {TargetHealth} from '../src/index.js';

const SECOND = 1000;
const RULES = {quarantineFailures: 3, quarantineSeconds: 60};

function createHealth(failedJobs: readonly string[]): TargetHealth {
  const health = new TargetHealth(() => RULES);
  for (const job of failedJobs) {
    health.recordFailure('t0', job, 0);
  }
  return health;
}

t.test('a target', async t => {
  t.test('that fails different jobs is quarantined', async t => {
    t.equal(createHealth(['a', 'b']).getCondition('t0', 0), 'well');
    const health = createHealth(['a', 'b', 'c']);
    t.equal(health.getCondition('t0', 59 * SECOND), 'quarantined');
    t.equal(health.getCondition('t0', 60 * SECOND), 'well');
    t.ok(health.isOnProbation('t0', 60 * SECOND));
  });

  t.test('is not quarantined for one job that fails repeatedly', async t => {
    t.equal(createHealth(['a', 'a', 'a', 'a']).getCondition('t0', 0), 'well');
  });

  t.test(
    'is not quarantined for jobs that also fail on other targets',
    async t => {
      const health = new TargetHealth(() => RULES);
      for (const job of ['a', 'b', 'c']) {
        health.recordFailure('t1', job, 0);
        health.recordSuccess('t1', 0);
        health.recordFailure('t0', job, 0);
      }
      t.equal(health.getCondition('t0', 0), 'well');
    },
  );

  t.test('is quarantined for longer when its probation run fails', async t => {
    const health = createHealth(['a', 'b', 'c']);
    health.recordFailure('t0', 'd', 60 * SECOND);
    t.equal(health.getCondition('t0', 179 * SECOND), 'quarantined');
    t.equal(health.getCondition('t0', 180 * SECOND), 'well');
    health.recordSuccess('t0', 180 * SECOND);
    t.notOk(health.isOnProbation('t0', 180 * SECOND));
  });

  t.test('is avoided for a while after a refusal', async t => {
    const health = createHealth([]);
    health.recordRefusal('t0', 0);
    t.equal(health.getCondition('t0', 499), 'quarantined');
    t.equal(health.getCondition('t0', 500), 'well');
  });

  t.test('gets no work while it is unreachable or leaving', async t => {
    const health = createHealth([]);
    health.setUnreachable('t0', true);
    t.equal(health.getCondition('t0', 0), 'unreachable');
    health.setLeaving('t0', true);
    t.equal(health.getCondition('t0', 0), 'leaving');
  });
});
