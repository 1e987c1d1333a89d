import {Failure, isFailure} from '@galenavalve/shared';
import t from 'tap';
import {cancel, createInstance, submit} from './fixtures.js';

t.test('queued records share one append', async t => {
  const {clock, writer, log} = await createInstance();
  const before = log.appendCount;
  const deadline = clock.now() + 5000;
  const bodies = Array.from({length: 5000}, (_, i) => cancel(`j${i}`));
  const done = writer.appendAll(bodies, {deadline});
  await clock.advance(1000);
  t.equal((await done).length, 5000);
  t.equal(log.appendCount - before, 5);
});

t.test('an append whose response was lost is found in the log', async t => {
  const {clock, writer, log, state} = await createInstance({lostAnswers: 1});
  const done = writer.append(submit(), {deadline: clock.now() + 5000});
  await clock.advance(2000);
  t.equal((await done).accepted, true);
  t.equal(log.entries().length, 3);
  t.ok(state.getJob('j1'));
});

t.test(
  'an uncertain append is repeated, and its late copy changes nothing',
  async t => {
    const faults = {lateAppends: 1, lateBy: 10_000};
    const {clock, writer, log, state} = await createInstance(faults);
    const done = writer.append(submit(), {deadline: clock.now() + 5000});
    await clock.advance(4000);
    t.equal((await done).accepted, true);
    const job = structuredClone(state.getJob('j1'));
    await clock.advance(10_000);
    t.equal(log.entries().length, 4);
    t.strictSame(state.getJob('j1'), job);
  },
);

t.test('"log-unavailable" is returned only if nothing was written', async t => {
  const {clock, writer, log} = await createInstance();
  log.faults.outage = 'refused';
  const rejected = writer.append(submit(), {deadline: clock.now() + 3000});
  t.rejects(rejected, {code: 'log-unavailable'});
  await clock.advance(4000);
  log.faults.outage = 'silent';
  const unknown = writer.append(submit(), {deadline: clock.now() + 3000});
  t.rejects(unknown, {code: 'append-uncertain'});
  await clock.advance(4000);
});

t.test('a full queue rejects a record at once and writes nothing', async t => {
  const {clock, writer} = await createInstance({}, {queueRecords: 1});
  const options = {deadline: clock.now() + 1000};
  const first = writer.append(submit(), options);
  const error: unknown = await writer.append(submit(), options).catch(e => e);
  t.ok(isFailure(error, 'overloaded'));
  await clock.advance(1000);
  t.equal((await first).accepted, true);
});

t.test('a record without a deadline waits for the log', async t => {
  const {clock, writer, log} = await createInstance({outage: 'refused'});
  const controller = new AbortController();
  const {signal} = controller;
  const pending = writer.append(submit(), {deadline: Infinity, signal});
  await clock.advance(60_000);
  t.equal(writer.pendingCount, 1);
  log.faults.outage = 'none';
  await clock.advance(3000);
  t.equal((await pending).accepted, true);
  log.faults.outage = 'refused';
  const aborted = writer.append(cancel(), {deadline: Infinity, signal});
  t.rejects(aborted, {code: 'log-unavailable'});
  controller.abort();
  await clock.advance(10);
});

t.test('a record that the log rejects does not block others', async t => {
  const {clock, writer, log} = await createInstance();
  const append = log.append.bind(log);
  log.append = async (values, timeout) => {
    if (JSON.stringify(values).includes('too-large')) {
      throw new Failure('append-rejected', {problem: 'too large'});
    }
    return append(values, timeout);
  };
  const controller = new AbortController();
  const {signal} = controller;
  const bad = writer.append(cancel('too-large'), {deadline: Infinity, signal});
  t.rejects(bad, {code: 'log-unavailable'});
  const deadline = clock.now() + 10_000;
  const bodies = Array.from({length: 40}, (_, i) => submit(`j${i}`));
  const others = writer.appendAll(bodies, {deadline});
  await clock.advance(10_000);
  t.ok((await others).every(result => result.accepted));
  controller.abort();
  await clock.advance(10);
});

t.test('appends stay within the rate limit', async t => {
  const {clock, writer, log} = await createInstance({}, {appendsPerSecond: 10});
  const before = log.appendCount;
  for (let i = 0; i < 500; i++) {
    void writer.append(cancel(`j${i}`), {deadline: Infinity});
    await clock.advance(10);
  }
  const appends = log.appendCount - before;
  t.ok(appends > 45 && appends <= 56, `${appends} appends in 5 s`);
});
