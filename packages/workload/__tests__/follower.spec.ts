import t from 'tap';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {Follower, type StoredRecord} from '@galenavalve/workload';

/** A follower that gathers for `pause`, over a log that grows by `push`. */
function createFollower(pause: number) {
  const clock = new ManualClock(1000);
  const records: StoredRecord[] = [];
  const taken: string[] = [];
  const faults = {isSilent: false};
  let reads = 0;
  const log = {
    readNewest: async () => ({records: [], end: 0}),
    readTail: async (offset: number, wait: number) => {
      reads++;
      if (faults.isSilent) {
        await new Promise(() => undefined);
      }
      const until = clock.now() + wait;
      while (records.length <= offset && clock.now() < until) {
        await clock.sleep(10);
      }
      return {
        kind: 'records' as const,
        records: records.slice(offset),
        next: records.length,
        end: records.length,
      };
    },
  };
  const follower = new Follower(
    'jobs',
    log,
    {
      onRecord: ({key}) => taken.push(key),
      readDelay: () => pause,
    },
    500,
    clock,
    new SeededRandom(1),
    new SilentLogger(),
  );
  const push = (key: string) =>
    records.push({key, value: 'v', offset: records.length});
  return {clock, follower, faults, taken, push, countReads: () => reads};
}

t.test('records gather while nobody asks', async t => {
  const {clock, follower, taken, push, countReads} = createFollower(400);
  void follower.run();
  await clock.advance(50);
  const before = countReads();
  for (let index = 0; index < 40; index++) {
    push(`k${index}`);
    await clock.advance(50);
  }
  await clock.advance(500);
  t.equal(taken.length, 40);
  t.ok(countReads() - before <= 8, `${countReads() - before} reads`);
  follower.close();
});

t.test('who asks gets what was gathered, each record once', async t => {
  const {clock, follower, taken, push} = createFollower(400);
  void follower.run();
  await clock.advance(50);
  push('a');
  await clock.advance(20);
  push('b');
  const asked = Promise.all([
    follower.readPending(100),
    follower.readPending(100),
  ]);
  await clock.advance(20);
  await asked;
  t.same(taken, ['a', 'b']);
  await clock.advance(1000);
  t.same(taken, ['a', 'b']);
  follower.close();
});

t.test('a log that does not answer holds nobody up', async t => {
  const {clock, follower, faults, push} = createFollower(400);
  void follower.run();
  await clock.advance(50);
  push('a');
  await clock.advance(20);
  faults.isSilent = true;
  let isDone = false;
  void follower.readPending(100).then(() => (isDone = true));
  await clock.advance(110);
  t.ok(isDone);
  follower.close();
});
