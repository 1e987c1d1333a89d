import t from 'tap';
import {playDisturbedDay} from './disturbed_day.js';

/** First seed and number of days; by hand far more are played. */
const FIRST_SEED = Number(process.env['EMULATOR_SEED'] ?? 1);
const DAYS = Number(process.env['EMULATOR_DAYS'] ?? 6);

// Guards against jobs that are left waiting after crashes, changes of capacity and other disturbances.
for (let seed = FIRST_SEED; seed < FIRST_SEED + DAYS; seed++) {
  t.test(`no job is left waiting after the day of seed ${seed}`, async t => {
    const {kinds, violations} = await playDisturbedDay(seed);
    t.same(violations, [], kinds.join(', '));
  });
}
