/** Explores seeds that once violated a promise, and a few more. */
import t from 'tap';
import {explore} from '../src/index.js';

/** Seeds that once violated a promise, with the fault that was found. */
const REGRESSION_SEEDS: readonly [number, string][] = [
  [1, 'a failing gang as large as its domain never ended'],
  [6, 'a failing gang moved between two targets without end'],
  [27, 'a crashed target restarted, and its job never ended'],
  [30, 'routing used target states that an earlier scheduler had seen'],
  [38, 'a target that was silent during a takeover stayed unused'],
  [10_115, 'a late end of one attempt stopped the lease renewal of the next'],
  [20_055, 'a restarted target did not report that it had run a job'],
  [
    70_029,
    'a job was queued again while a start with a lost response still ran',
  ],
];

/** First of the further seeds that CI explores. */
const FIRST_SEED = 100;
const SEED_COUNT = 6;

t.setTimeout(0);

t.test('every promise holds', async t => {
  for (const [seed, fault] of REGRESSION_SEEDS) {
    t.test(`with seed ${seed}: ${fault}`, async t => {
      t.same((await explore(seed)).violations, []);
    });
  }

  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
    t.test(`with seed ${seed}`, async t => {
      t.same((await explore(seed)).violations, []);
    });
  }
});
