import {Failure, ManualClock, SilentLogger} from '@galenavalve/shared';
import t from 'tap';
import {
  LedgerState,
  type Log,
  LogFollower,
  MemoryLog,
  StateRestorer,
  encodeState,
  readResults,
  withdrawRequest,
} from '../src/index.js';
import {
  START_TIME_MS,
  claim,
  configure,
  createEntities,
  createInstance,
  createRecord,
  finish,
  place,
  submit,
} from './fixtures.js';

const logger = new SilentLogger();

function createFollower(log?: Log) {
  const clock = new ManualClock(START_TIME_MS);
  const memory = new MemoryLog(clock);
  memory.write(createRecord(configure(createEntities())));
  const state = new LedgerState();
  const follower = new LogFollower({log: log ?? memory, state, clock, logger});
  return {clock, memory, state, follower};
}

t.test('freshness is measured from when the read was sent', async t => {
  const {clock, memory, follower} = createFollower();
  memory.faults.readLatency = 300;
  const read = follower.readOnce();
  await clock.advance(1000);
  await read;
  t.equal(follower.getFreshAt(), START_TIME_MS);
});

t.test('only a page up to the end of the log gives freshness', async t => {
  const {memory, clock, state} = createFollower();
  memory.write({}, {});
  const options = {pageLimit: 2};
  const dependencies = {log: memory, state, clock, logger, options};
  const follower = new LogFollower(dependencies);
  await follower.readOnce();
  t.equal(follower.isCaughtUp, false);
  await follower.readOnce();
  t.equal(follower.isCaughtUp, true);
});

t.test('entries relayed by a peer', async t => {
  t.test('are folded once, even if a read also returns them', async t => {
    const {memory, state, follower} = createFollower();
    memory.write(createRecord(claim()));
    const offsets: number[] = [];
    follower.onApplied(({offset}) => offsets.push(offset));
    const read = follower.readOnce();
    const entries = memory.entries();
    t.equal(follower.applyRelayedEntries({entries, nextOffset: 2}), true);
    await read;
    t.strictSame(offsets, [0, 1]);
    t.equal(state.skippedCount, 0);
  });

  t.test('are ignored when entries before them are missing', async t => {
    const {memory, state, follower} = createFollower();
    memory.write(createRecord(claim()));
    const entries = memory.entries().slice(1);
    t.equal(follower.applyRelayedEntries({entries, nextOffset: 2}), false);
    t.equal(state.nextOffset, 0);
  });

  t.test('are not folded while folding is paused', async t => {
    const {memory, state, follower, clock} = createFollower();
    const entries = memory.entries();
    let isRelayed = true;
    const paused = follower.pauseWhile(async () => {
      isRelayed = follower.applyRelayedEntries({entries, nextOffset: 1});
      await clock.sleep(100);
      return state.nextOffset;
    });
    const read = follower.readOnce();
    await clock.advance(0);
    await clock.advance(100);
    t.equal(await paused, 0);
    await read;
    t.equal(isRelayed, false);
    t.equal(state.nextOffset, 1);
  });
});

t.test('freshness of a peer is ignored by a state behind it', async t => {
  const {follower} = createFollower();
  follower.applyRelayedFreshness(1, START_TIME_MS + 5);
  t.equal(follower.getFreshAt(), undefined);
  await follower.readOnce();
  follower.applyRelayedFreshness(1, START_TIME_MS + 5);
  t.equal(follower.getFreshAt(), START_TIME_MS + 5);
  follower.applyRelayedFreshness(1, START_TIME_MS + 3);
  t.equal(follower.getFreshAt(), START_TIME_MS + 5, 'it never decreases');
});

t.test('a wait for an offset ends with its fold or the timeout', async t => {
  const {clock, follower} = createFollower();
  const early = follower.waitForOffset(0, 1000);
  const late = follower.waitForOffset(1, 1000);
  await follower.readOnce();
  t.equal(await early, true);
  await clock.advance(1000);
  t.equal(await late, false);
});

t.test('a process whose next record expired gets a newer state', async t => {
  const instance = await createInstance();
  const {clock, log, state} = instance;
  instance.stop();
  const uncertain = instance.writer.append(submit(), {deadline: Infinity});
  t.rejects(uncertain, Failure);
  await clock.advance(2000);
  const peer = await createInstance();
  log.faults.retention = 1;
  log.write({}, {}, {});
  peer.state.nextOffset = log.endOffset;
  const sources = [
    {
      name: 'peer',
      fetchNextOffset: async () => peer.state.nextOffset,
      fetchSnapshot: async () => encodeState(peer.state, 'peer'),
    },
  ];
  const restorer = new StateRestorer({
    log,
    logger,
    listSources: () => sources,
    ledgerOptions: {},
  });
  const dependencies = {log, state, clock, logger, restorer};
  const follower = new LogFollower(dependencies);
  let isReplaced = false;
  follower.onStateReplaced(() => (isReplaced = true));
  const controller = new AbortController();
  void follower.run(controller.signal);
  await clock.advance(3000);
  controller.abort();
  t.equal(isReplaced, true);
  t.equal(state.nextOffset, log.endOffset);
  t.equal(state.getSchedulerTerm('d1')?.instance, 'i1');
});

t.test('a withdrawn request gets no job from a late record', async t => {
  const {clock, writer, log, state} = await createInstance();
  Object.assign(log.faults, {lateAppends: 1, lateBy: 8000});
  const options = {deadline: clock.now() + 900};
  const unknown = writer.append(submit(), options);
  t.rejects(unknown, {code: 'append-uncertain'});
  await clock.advance(1500);
  const deadline = clock.now() + 3000;
  const withdrawal = withdrawRequest(writer, 'r-j1', deadline);
  await clock.advance(8000);
  t.equal(await withdrawal, 'withdrawn');
  t.equal(log.entries().length, 4, 'the late record was appended');
  t.equal(state.getJob('j1'), undefined);
});

t.test('results dropped from memory are read from the log', async t => {
  const {clock, log, state} = await createInstance();
  const records = [submit(), place(), finish('succeeded')];
  log.write(...records.map(body => createRecord(body)));
  await clock.advance(1000);
  const job = {...state.getJob('j1')!, results: undefined};
  t.strictSame(await readResults(log, job, 100), ['a', {b: 1}]);
  const other = {...job, resultHash: 'other'};
  t.equal(await readResults(log, other, 100), undefined);
});
