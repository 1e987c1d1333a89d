import t from 'tap';
import {explore} from '../src/index.js';

/** Seeds that broke a promise once, with what was found. */
const FIXED_SEEDS: readonly [number, string][] = [
  [1, 'a failing gang as large as its domain never ended'],
  [6, 'a failing gang moved between two targets for ever'],
  [27, 'a crashed target came back, and its job ran for ever'],
  [30, 'routing rested on what an earlier scheduler had seen of targets'],
  [38, 'a target found silent at a takeover stayed out of use'],
  [10_115, 'a late end of one attempt left the next one without a keeper'],
  [20_055, 'a restarted target did not know that it had run a job'],
  [70_029, 'a job was queued again while its lost start still ran'],
];

/** Seeds that CI explores besides. */
const FIRST_SEED = 100;
const RUNS = 6;

t.setTimeout(0);

t.test('every promise holds', async t => {
  for (const [seed, fault] of FIXED_SEEDS) {
    t.test(`with seed ${seed}: ${fault}`, async t => {
      t.same((await explore(seed)).violations, []);
    });
  }

  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
    t.test(`with seed ${seed}`, async t => {
      t.same((await explore(seed)).violations, []);
    });
  }
});
