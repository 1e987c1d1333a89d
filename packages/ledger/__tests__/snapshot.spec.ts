import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import t from 'tap';
import {
  LedgerState,
  LogFollower,
  MemoryLog,
  type Snapshot,
  SnapshotWriter,
  type StateSource,
  StateRestorer,
  createChunks,
  decodeState,
  encodeState,
  isSnapshotDue,
} from '../src/index.js';
import {
  START_TIME_MS,
  TERM,
  createInstance,
  createRecord,
  createState,
  fold,
  place,
  submit,
} from './fixtures.js';

const logger = new SilentLogger();

function createRestorer(log: MemoryLog, sources: StateSource[] = []) {
  return new StateRestorer({
    log,
    logger,
    listSources: () => sources,
    ledgerOptions: {},
    options: {pageLimit: 3},
  });
}

function writeSnapshot(log: MemoryLog, snapshot: Snapshot): void {
  log.write(...createChunks(snapshot).map(chunk => createRecord(chunk)));
}

/** Creates a log whose first records have expired, with two snapshots. */
function createExpiredLog(
  damage?: (latest: Snapshot) => void,
  clock = new ManualClock(START_TIME_MS),
) {
  const state = createState();
  const log = new MemoryLog(clock);
  log.write({}, {});
  writeSnapshot(log, encodeState(state, 'early'));
  state.nextOffset = log.endOffset;
  const record = createRecord(submit());
  log.write(record);
  fold(state, record);
  const latest = encodeState(state, 'late');
  damage?.(latest);
  writeSnapshot(log, latest);
  log.write(createRecord(place()));
  log.faults.retention = log.endOffset - 1;
  log.write(createRecord(submit('j2')));
  return log;
}

t.test('a new process starts from the latest complete snapshot', async t => {
  const clock = new ManualClock(START_TIME_MS);
  const log = createExpiredLog(undefined, clock);
  const state = new LedgerState();
  const restorer = createRestorer(log);
  const follower = new LogFollower({log, state, clock, logger, restorer});
  const controller = new AbortController();
  const run = follower.run(controller.signal);
  await clock.advance(1000);
  controller.abort();
  await Promise.all([run, clock.advance(2000)]);
  t.equal(follower.isCaughtUp, true);
  t.equal(state.getJob('j1')?.phase, 'placed');
  t.equal(state.getJob('j2')?.phase, 'queued');
});

t.test('an older snapshot is used when the latest one is damaged', async t => {
  const log = createExpiredLog(latest => {
    latest.sections[0] = `${latest.sections[0]!.slice(0, -4)}AAA=`;
  });
  const state = await createRestorer(log).restore();
  t.equal(state?.nextOffset, 2);
});

t.test('an incomplete snapshot, whose writer crashed, is not used', async t => {
  const log = createExpiredLog();
  const incomplete = new MemoryLog(new ManualClock(START_TIME_MS));
  const isLast = (value: unknown) => (value as {index?: number}).index === 3;
  const values = log.entries().map(entry => entry.value);
  incomplete.write({}, {}, ...values.filter(value => !isLast(value)));
  const state = await createRestorer(incomplete).restore();
  t.equal(state?.nextOffset, 2);
});

t.test('a snapshot with a wrong checksum is rejected', async t => {
  const snapshot = encodeState(createState(), 's');
  t.throws(() => decodeState({...snapshot, hash: ''}), {
    code: 'snapshot-invalid',
  });
});

t.test('the peer with the highest offset is preferred to the log', async t => {
  const newest = createState();
  newest.nextOffset = 100;
  const sources = [
    createSource('older', createState()),
    createSource('newest', newest),
    createSource('unreachable', undefined),
  ];
  const log = createExpiredLog();
  const state = await createRestorer(log, sources).restore();
  t.equal(state?.nextOffset, 100);
  log.faults.outage = 'refused';
  const duringOutage = await createRestorer(log, sources).restore();
  t.equal(duringOutage?.nextOffset, 100);

  function createSource(name: string, state?: LedgerState): StateSource {
    const fail = () => Promise.reject(new Error('no response'));
    return {
      name,
      fetchNextOffset: state ? async () => state.nextOffset : fail,
      fetchSnapshot: state ? async () => encodeState(state, name) : fail,
    };
  }
});

t.test('the scheduler of the first domain records a snapshot', async t => {
  const {clock, follower, writer, state, log} = await createInstance();
  const snapshots = new SnapshotWriter({
    follower,
    writer,
    clock,
    random: new SeededRandom(1),
    logger,
    instance: 'i1',
  });
  const controller = new AbortController();
  void snapshots.run(controller.signal);
  for (let i = 0; i < 20; i++) {
    await clock.advance(1000);
  }
  controller.abort();
  t.ok(state.snapshotTracker.latest, 'the snapshot is complete in the log');
  const count = log.entries().length - 2;
  t.equal(
    count,
    state.snapshotTracker.latest?.chunks,
    'only one snapshot was due',
  );
  const restored = await createRestorer(log).restore();
  t.equal(restored?.getSchedulerTerm('d1')?.instance, 'i1');
});

t.test('the snapshot schedule', async t => {
  const schedule = {interval: 1000, maxNewRecords: 100, maxNewerShare: 0.4};
  const fullRange = {oldestOffset: 0, endOffset: 10};
  const state = createState();
  fold(state, {type: 'claimed', domain: 'd2', term: {...TERM, instance: 'i2'}});
  state.snapshotTracker.restore({
    partial: [],
    latest: {
      snapshotId: 's',
      nextOffset: 0,
      firstOffset: 0,
      completedAt: START_TIME_MS,
      bytes: 1,
      chunks: 1,
    },
  });
  const isDue = (instance: string, now: number, logRange = fullRange) =>
    isSnapshotDue(state, instance, now, logRange, schedule);

  t.equal(
    isDue('i1', START_TIME_MS + 999),
    false,
    'is not due before the interval has passed',
  );
  t.equal(isDue('i1', START_TIME_MS + 1000), true);
  t.equal(
    isDue('i2', START_TIME_MS + 1000),
    false,
    'is due for the scheduler of the first domain first',
  );
  t.equal(
    isDue('i2', START_TIME_MS + 1250),
    true,
    'is due for the scheduler of the next domain after a delay',
  );
  t.equal(
    isDue('i3', START_TIME_MS + 9000),
    false,
    'is due for schedulers only',
  );
  t.equal(
    isDue('i1', START_TIME_MS, {oldestOffset: 5, endOffset: 10}),
    true,
    'is due early when the latest snapshot is about to expire',
  );
});
