import t from 'tap';
import {ManualClock} from '@galenavalve/shared';
import {CallPacer} from '../src/call_pacer.js';

/**
 * Requests `count` calls at once; returns how many have started initially and
 * after each batch.
 */
async function countStartedCalls(
  count: number,
  batches: number,
): Promise<number[]> {
  const clock = new ManualClock(0);
  const pacer = new CallPacer(clock);
  let started = 0;
  for (let call = 0; call < count; call++) {
    const slot = pacer.waitForSlot();
    if (slot) {
      void slot.then(() => started++);
    } else {
      started++;
    }
  }
  const counts = [started];
  for (let batch = 0; batch < batches; batch++) {
    await clock.advance(1);
    counts.push(started);
  }
  return counts;
}

t.test('a few calls start at once', async t => {
  t.same(await countStartedCalls(5, 0), [5]);
});

t.test(
  'six hundred starts after a takeover leave time to read responses between batches (menon-terrain-grown scale-1)',
  async t => {
    const counts = await countStartedCalls(600, 60);
    t.equal(counts[0], 16);
    t.equal(counts.at(-1), 600);
    const maxPerBatch = Math.max(
      ...counts.slice(1).map((n, i) => n - counts[i]!),
    );
    t.ok(maxPerBatch <= 64, `${maxPerBatch} calls in one batch`);
  },
);

t.test('calls start in the order in which they were requested', async t => {
  const clock = new ManualClock(0);
  const pacer = new CallPacer(clock);
  const order: number[] = [];
  for (let call = 0; call < 40; call++) {
    const slot = pacer.waitForSlot() ?? Promise.resolve();
    void slot.then(() => order.push(call));
  }
  await clock.advance(50);
  t.same(
    order,
    Array.from({length: 40}, (_, call) => call),
  );
});
