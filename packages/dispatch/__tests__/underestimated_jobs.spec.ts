/** Load: callers of urgent jobs underestimate their duration (menon-terrain trouble-1). */
import t from 'tap';
import {
  DurationEstimator,
  UrgencyTier,
  decide,
  rateUrgency,
} from '@galenavalve/dispatch';
import {
  addRun,
  createJob,
  createSnapshot,
  createStep,
  createTarget,
} from './fixtures.js';

/** Creates an estimator that has seen tasks of the urgent queue take `ratio` times their estimates. */
function createEstimator(ratio: number): DurationEstimator {
  const estimator = new DurationEstimator();
  for (let index = 0; index < 9; index++) {
    estimator.recordDuration('queue-0', 1000, 1000 * ratio);
  }
  return estimator;
}

const urgentStep = createStep({
  count: 1,
  estimateMs: 1600,
  demand: {cpu: 4000, memoryMb: 8000, accelerators: 8},
});

t.test('an underestimated job has slack when it is accepted', t => {
  const job = createJob('1', urgentStep, {priority: 0});
  for (const ratio of [0.7, 1, 1.6]) {
    const {latestStart} = rateUrgency(job, createEstimator(ratio), 0);
    t.ok(latestStart >= 250 + 0.5 * ratio * 1600 - 1, `ratio ${ratio}`);
  }
  t.end();
});

t.test('it still stops what a job in time may stop after a short wait', t => {
  const target = createTarget('a', 'r1', 0);
  const filler = createJob('f', createStep({count: 1, estimateMs: 20_000}), {
    acceptedAt: -500,
  });
  addRun(filler.units[0]!, target, -2000);
  const urgent = createJob('1', urgentStep, {priority: 0});
  const snapshot = createSnapshot([filler, urgent], [target], {
    estimator: createEstimator(1.6),
  });
  const {stops} = decide(snapshot, 300);
  t.equal(stops.length, 1);
  t.end();
});

t.test('a few tasks on slow targets do not change the estimates', t => {
  const estimator = createEstimator(1);
  for (let index = 0; index < 4; index++) {
    estimator.recordDuration('queue-0', 1000, 6000);
  }
  t.equal(estimator.estimateDuration('queue-0', 2000), 2000);
  const job = createJob('1', urgentStep, {priority: 0});
  t.equal(rateUrgency(job, estimator, 0).tier, UrgencyTier.URGENT);
  t.end();
});
