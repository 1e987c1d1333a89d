import t from 'tap';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {Follower, type StoredRecord} from '@galenavalve/workload';

/** Creates a follower with a read delay of `readDelay` milliseconds, over a log to which `push` appends. */
function createFollower(
  readDelay: number,
  onRecord: (key: string) => void = () => undefined,
) {
  const clock = new ManualClock(1000);
  const records: StoredRecord[] = [];
  const receivedKeys: string[] = [];
  const faults = {isSilent: false, isCompacted: false, pageDelay: 0};
  let readCount = 0;
  const log = {
    readNewest: async () =>
      faults.isCompacted
        ? {records: [...records], end: records.length}
        : {records: [], end: 0},
    readTail: async (offset: number, wait: number) => {
      readCount++;
      if (faults.isSilent) {
        await new Promise(() => undefined);
      }
      const deadline = clock.now() + wait;
      while (records.length <= offset && clock.now() < deadline) {
        await clock.sleep(10);
      }
      const page = {
        kind: 'records' as const,
        records: records.slice(offset),
        next: records.length,
        end: records.length,
      };
      if (faults.pageDelay > 0) {
        await clock.sleep(faults.pageDelay);
      }
      return page;
    },
  };
  const follower = new Follower(
    'jobs',
    log,
    {
      onRecord: ({key}) => {
        onRecord(key);
        receivedKeys.push(key);
      },
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

/** Advances virtual time until `promise` has settled. */
async function settle<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
  let isSettled = false;
  void promise.finally(() => (isSettled = true)).catch(() => undefined);
  for (let step = 0; step < 1000 && !isSettled; step++) {
    await clock.advance(10);
  }
  return promise;
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

// Guards against a follower that reads the same page again and again because of one record (issue 33).
t.test(
  'a record at which the sink fails does not stop the follower',
  async t => {
    const {clock, follower, receivedKeys, push} = createFollower(0, key => {
      if (key.startsWith('odd')) {
        throw new TypeError('unexpected');
      }
    });
    ['a', 'odd-1', 'b', 'odd-2'].forEach(push);
    void follower.run();
    await clock.advance(2000);
    t.same(receivedKeys, ['a', 'b']);
    t.ok(follower.isCaughtUp);
    push('odd-3');
    push('c');
    await clock.advance(2000);
    t.same(receivedKeys, ['a', 'b', 'c']);
    push('odd-4');
    push('d');
    t.ok(await settle(clock, follower.readToEnd(1000)));
    t.same(receivedKeys, ['a', 'b', 'c', 'd']);
    follower.close();
  },
);

t.test('a record at which the sink fails does not stop a reload', async t => {
  const isOdd = (key: string) => key.startsWith('odd');
  const {clock, follower, receivedKeys, push, faults} = createFollower(
    0,
    key => {
      if (isOdd(key)) {
        throw new TypeError('unexpected');
      }
    },
  );
  ['odd-1', 'a', 'odd-2', 'b'].forEach(push);
  faults.isCompacted = true;
  void follower.run();
  await clock.advance(2000);
  t.same(receivedKeys, ['a', 'b']);
  t.ok(follower.isCaughtUp);
  follower.close();
});

// Guards against an absence, or a claim of leadership, that rests on a read of the log which began before it was asked for (issue 47).
t.test('a read to the end returns what was written before it', async t => {
  const {clock, follower, receivedKeys, faults, push, countReads} =
    createFollower(400);
  void follower.run();
  await clock.advance(50);
  push('a');
  await clock.advance(30);
  faults.pageDelay = 100;
  const first = follower.readToEnd(1000);
  await clock.advance(20);
  const readsBefore = countReads();
  push('b');
  const others = [1, 2, 3].map(async () => ({
    isAtEnd: await follower.readToEnd(300),
    keys: [...receivedKeys],
  }));
  t.ok(await settle(clock, first));
  t.same(receivedKeys, ['a'], 'the first read began before the second record');
  for (const result of await settle(clock, Promise.all(others))) {
    t.same(result, {isAtEnd: true, keys: ['a', 'b']});
  }
  t.equal(countReads() - readsBefore, 1, 'the later callers share one read');
  follower.close();
});

// Guards against callers who wait twice as long, or are refused, because an earlier read is slow.
t.test('a read to the end is not held up by an earlier one', async t => {
  const {clock, follower, faults, push, countReads} = createFollower(400);
  void follower.run();
  await clock.advance(50);
  push('a');
  await clock.advance(30);
  faults.pageDelay = 400;
  const readsBefore = countReads();
  void follower.readToEnd(600);
  const results: boolean[] = [];
  for (let time = 0; time < 400; time += 20) {
    await clock.advance(20);
    void follower.readToEnd(600).then(result => results.push(result));
  }
  await clock.advance(600);
  t.same(results, Array(20).fill(true));
  t.ok(countReads() - readsBefore <= 5, 'callers share reads');
  follower.close();
});

t.test(
  'a read to the end succeeds although an earlier one gets no response',
  async t => {
    const {clock, follower, faults, push} = createFollower(400);
    void follower.run();
    await clock.advance(50);
    push('a');
    await clock.advance(30);
    faults.isSilent = true;
    t.notOk(await settle(clock, follower.readToEnd(100)));
    faults.isSilent = false;
    t.ok(await settle(clock, follower.readToEnd(300)));
    follower.close();
  },
);

t.test(
  'reads to the end that get no response end after their timeouts',
  async t => {
    const {clock, follower, faults, push} = createFollower(400);
    void follower.run();
    await clock.advance(50);
    push('a');
    await clock.advance(30);
    faults.isSilent = true;
    const results: boolean[] = [];
    for (const timeout of [1000, 100]) {
      void follower.readToEnd(timeout).then(result => results.push(result));
      await clock.advance(20);
    }
    await clock.advance(100);
    t.same(results, [false]);
    await clock.advance(900);
    t.same(results, [false, false]);
    follower.close();
  },
);
