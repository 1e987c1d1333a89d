import t from 'tap';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {Follower, type StoredRecord} from '@galenavalve/workload';

/** Creates a follower with a read delay of `readDelay` milliseconds, over a log to which `push` appends. */
function createFollower(readDelay: number) {
  const clock = new ManualClock(1000);
  const records: StoredRecord[] = [];
  const receivedKeys: string[] = [];
  const faults = {isSilent: false};
  let readCount = 0;
  const log = {
    readNewest: async () => ({records: [], end: 0}),
    readTail: async (offset: number, wait: number) => {
      readCount++;
      if (faults.isSilent) {
        await new Promise(() => undefined);
      }
      const deadline = clock.now() + wait;
      while (records.length <= offset && clock.now() < deadline) {
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
      onRecord: ({key}) => receivedKeys.push(key),
      readDelay: () => readDelay,
    },
    500,
    clock,
    new SeededRandom(1),
    new SilentLogger(),
  );
  const push = (key: string) =>
    records.push({key, value: 'v', offset: records.length});
  return {
    clock,
    follower,
    faults,
    receivedKeys,
    push,
    countReads: () => readCount,
  };
}

t.test(
  'records are read in batches while no caller waits for them',
  async t => {
    const {clock, follower, receivedKeys, push, countReads} =
      createFollower(400);
    void follower.run();
    await clock.advance(50);
    const readsBefore = countReads();
    for (let index = 0; index < 40; index++) {
      push(`k${index}`);
      await clock.advance(50);
    }
    await clock.advance(500);
    t.equal(receivedKeys.length, 40);
    t.ok(
      countReads() - readsBefore <= 8,
      `${countReads() - readsBefore} reads`,
    );
    follower.close();
  },
);

t.test(
  'callers that ask during a read delay get the pending records, each once',
  async t => {
    const {clock, follower, receivedKeys, push} = createFollower(400);
    void follower.run();
    await clock.advance(50);
    push('a');
    await clock.advance(20);
    push('b');
    const pendingReads = Promise.all([
      follower.readPending(100),
      follower.readPending(100),
    ]);
    await clock.advance(20);
    await pendingReads;
    t.same(receivedKeys, ['a', 'b']);
    await clock.advance(1000);
    t.same(receivedKeys, ['a', 'b']);
    follower.close();
  },
);

t.test(
  'reading pending records ends after its timeout when the log does not respond',
  async t => {
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
  },
);
