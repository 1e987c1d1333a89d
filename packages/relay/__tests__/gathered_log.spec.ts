import t from 'tap';
import type {AppendOutcome} from '@galenavalve/gateway';
import {GatheredLog} from '@galenavalve/relay';
import {ManualClock} from '@galenavalve/shared';
import type {KeyedRecord} from '@galenavalve/workload';
import {createLog} from './fixtures.js';

/** A log whose appends take `took` milliseconds each. */
function createSlowLog(took: number, outcome: AppendOutcome) {
  const clock = new ManualClock(0);
  const appends: Array<readonly KeyedRecord[]> = [];
  const inner = {
    ...createLog({kind: 'fenced'}),
    append: async (records: readonly KeyedRecord[]) => {
      appends.push(records);
      await clock.sleep(took);
      return outcome;
    },
  };
  return {clock, appends, log: new GatheredLog(inner, clock)};
}

function recordOf(index: number): KeyedRecord {
  return {key: `k${index}`, value: 'v'};
}

t.test(
  'acceptances that come while the log is slow share its appends (kwjt-grid-large trouble-2)',
  async t => {
    const {clock, appends, log} = createSlowLog(500, {
      kind: 'appended',
      offset: 10,
    });
    const offsets: number[] = [];
    for (let index = 0; index < 40; index++) {
      void log.append([recordOf(index)], 2000).then(outcome => {
        offsets.push(outcome.kind === 'appended' ? outcome.offset : -1);
      });
      await clock.advance(25);
    }
    await clock.advance(2000);
    t.equal(offsets.length, 40);
    t.ok(appends.length <= 4, `${appends.length} appends`);
    t.same(
      appends.flat().map(({key}) => key),
      Array.from({length: 40}, (_, index) => `k${index}`),
    );
    t.same(offsets.slice(1, 4), [10, 11, 12], 'each knows its own place');
  },
);

t.test('what waited until its time was over was not appended', async t => {
  const {clock, appends, log} = createSlowLog(900, {
    kind: 'appended',
    offset: 0,
  });
  void log.append([recordOf(0)], 2000);
  const late = log.append([recordOf(1)], 300);
  await clock.advance(2000);
  t.equal((await late).kind, 'refused');
  t.equal(appends.length, 1);
});

t.test('an append without an answer is unknown for all of it', async t => {
  const {clock, log} = createSlowLog(100, {
    kind: 'unknown',
    problem: 'no answer',
  });
  const both = [1, 2, 3].map(index => log.append([recordOf(index)], 1000));
  await clock.advance(1000);
  const kinds = (await Promise.all(both)).map(({kind}) => kind);
  t.same(kinds, ['unknown', 'unknown', 'unknown']);
});
