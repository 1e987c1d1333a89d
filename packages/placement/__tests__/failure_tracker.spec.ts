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

t.test('a target that fails different jobs', async t => {
  const evidence = new FailureTracker(rules);
  for (const job of ['a', 'b', 'c']) {
    t.equal(evidence.getQuarantineState('w', 0), 'good');
    evidence.recordFailure(job, 'w', 0);
  }

  t.test('is quarantined, then on trial', async t => {
    t.equal(evidence.getQuarantineState('w', 59_999), 'quarantined');
    t.equal(evidence.getQuarantineState('w', 60_000), 'on-trial');
  });

  t.test('is quarantined twice as long after a failed trial', async t => {
    evidence.recordFailure('d', 'w', 60_000);
    t.equal(evidence.getQuarantineEnd('w'), 180_000);
  });

  t.test('does not count against its jobs', async t => {
    evidence.recordFailure('a', 'x', 0);
    evidence.recordFailure('a', 'y', 0);
    t.notOk(evidence.isJobFailing('a'));
  });
});

t.test('a job that fails on different good targets is ended', async t => {
  const evidence = new FailureTracker(rules);
  for (const target of ['x', 'y', 'z']) {
    t.notOk(evidence.isJobFailing('a'));
    evidence.recordFailure('a', target, 0);
  }
  t.ok(evidence.isJobFailing('a'));
  t.equal(evidence.getQuarantineState('x', 0), 'good');
});

t.test('usage', async t => {
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

  t.test('above the declared amount is throttled to it', async t => {
    t.match(decideThrottle(report, gang, 1), {processors: 4, memoryMb: 200});
    t.equal(decideThrottle({...report, processors: 4}, gang, 1), null);
  });

  t.test('is unknown when the report is old', async t => {
    t.equal(decideThrottle(report, gang, MAX_REPORT_AGE_MS + 1), undefined);
  });
});

t.test('estimates follow the quantiles of what was seen', async t => {
  const book = new RunTimeEstimator();
  t.equal(book.estimate('w', 'k', 100, MEDIAN_QUANTILE), 100);
  for (let i = 1; i <= 10; i++) {
    book.recordRunTime('w', 'k', 100, i * 100);
  }
  t.equal(book.estimate('w', 'k', 10, MEDIAN_QUANTILE), 50);
  t.equal(book.estimate('w', 'k', 10, UPPER_QUANTILE), 90);
});
