import t from 'tap';
import {ManualClock} from '@galenavalve/shared';
import {CallPacer} from '../src/call_pacer.js';

/** Asks for `count` calls together; tells how many began by each turn. */
async function playCalls(count: number, turns: number): Promise<number[]> {
  const clock = new ManualClock(0);
  const pacer = new CallPacer(clock);
  let begun = 0;
  for (let call = 0; call < count; call++) {
    const turn = pacer.waitForSlot();
    if (turn) {
      void turn.then(() => begun++);
    } else {
      begun++;
    }
  }
  const counts = [begun];
  for (let turn = 0; turn < turns; turn++) {
    await clock.advance(1);
    counts.push(begun);
  }
  return counts;
}

t.test('a few calls begin at once', async t => {
  t.same(await playCalls(5, 0), [5]);
});

t.test(
  'six hundred starts after a takeover leave turns in which answers are read (menon-terrain-grown scale-1)',
  async t => {
    const counts = await playCalls(600, 60);
    t.equal(counts[0], 16);
    t.equal(counts.at(-1), 600);
    const most = Math.max(...counts.slice(1).map((n, i) => n - counts[i]!));
    t.ok(most <= 64, `${most} in one turn`);
  },
);

t.test('calls begin in the order of their asking', async t => {
  const clock = new ManualClock(0);
  const pacer = new CallPacer(clock);
  const order: number[] = [];
  for (let call = 0; call < 40; call++) {
    const turn = pacer.waitForSlot() ?? Promise.resolve();
    void turn.then(() => order.push(call));
  }
  await clock.advance(50);
  t.same(
    order,
    Array.from({length: 40}, (_, call) => call),
  );
});
