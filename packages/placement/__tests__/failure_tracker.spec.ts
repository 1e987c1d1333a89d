import t from 'tap';
import {
  RunTimeEstimator,
  MAX_REPORT_AGE_MS,
  MEDIAN_QUANTILE,
  FailureTracker,
  UPPER_QUANTILE,
  decideThrottle,
} from '../src/index.js';

const rules = {quarantineFailures: 3, quarantineSeconds: 60, jobFailures: 3};

t.test('a target on which different jobs fail', async t => {
  const tracker = new FailureTracker(rules);
  for (const job of ['a', 'b', 'c']) {
    t.equal(tracker.getQuarantineState('w', 0), 'good');
    tracker.recordFailure(job, 'w', 0);
  }

  t.test('is quarantined, then on probation', async t => {
    t.equal(tracker.getQuarantineState('w', 59_999), 'quarantined');
    t.equal(tracker.getQuarantineState('w', 60_000), 'on-trial');
  });

  t.test(
    'is quarantined twice as long after a failure on probation',
    async t => {
      tracker.recordFailure('d', 'w', 60_000);
      t.equal(tracker.getQuarantineEnd('w'), 180_000);
    },
  );

  t.test('does not count as a failed target of its jobs', async t => {
    tracker.recordFailure('a', 'x', 0);
    tracker.recordFailure('a', 'y', 0);
    t.notOk(tracker.isJobFailing('a'));
  });
});

t.test(
  'a job that fails on different targets, on which no other job failed, is ended',
  async t => {
    const tracker = new FailureTracker(rules);
    for (const target of ['x', 'y', 'z']) {
      t.notOk(tracker.isJobFailing('a'));
      tracker.recordFailure('a', target, 0);
    }
    t.ok(tracker.isJobFailing('a'));
    t.equal(tracker.getQuarantineState('x', 0), 'good');
  },
);

t.test('resource usage', async t => {
  const gang = {
    tasks: 2,
    perTask: {accelerators: 1, processors: 2, memoryMb: 100},
    adjacency: 'rack' as const,
  };
  const report = {
    jobId: 'j',
    target: 'w',
    tasks: 2,
    processors: 9,
    memoryMb: 100,
    measuredAt: 0,
  };

  t.test('above the declared amount is throttled to that amount', async t => {
    t.match(decideThrottle(report, gang, 1), {processors: 4, memoryMb: 200});
    t.equal(decideThrottle({...report, processors: 4}, gang, 1), null);
  });

  t.test('is ignored if the report is outdated', async t => {
    t.equal(decideThrottle(report, gang, MAX_REPORT_AGE_MS + 1), undefined);
  });
});

t.test('estimates follow the quantiles of the observed run times', async t => {
  const estimator = new RunTimeEstimator();
  t.equal(estimator.estimate('w', 'k', 100, MEDIAN_QUANTILE), 100);
  for (let i = 1; i <= 10; i++) {
    estimator.recordRunTime('w', 'k', 100, i * 100);
  }
  t.equal(estimator.estimate('w', 'k', 10, MEDIAN_QUANTILE), 50);
  t.equal(estimator.estimate('w', 'k', 10, UPPER_QUANTILE), 90);
});
