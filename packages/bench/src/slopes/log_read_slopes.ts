/** Measures the cost of log reads over HTTP, and the time until all followers have folded a change. */
import {LedgerState, LogFollower} from '@galenavalve/ledger';
import {HttpLog} from '@galenavalve/platform';
import {SilentLogger, SystemClock} from '@galenavalve/shared';
import {
  createConfiguredRecord,
  createEntries,
  createTarget,
} from './fixtures.js';
import {measureBusyTimeMs} from './measurement.js';
import {PlatformThread} from './platform_thread.js';
import {type Slope, measureSlope, measureSlopes} from './slope.js';

const RECORD_COUNTS = [1000, 2000, 4000, 8000];
const PAGE_RECORD_COUNTS = [0, 8, 32, 128, 512];
const READER_COUNTS = [1, 4, 8, 16];
const READ_REPETITIONS = 50;
const CHANGE_REPETITIONS = 20;
const TIMEOUT_MS = 5000;

const clock = new SystemClock();
const logger = new SilentLogger();

const READ_TITLES = {
  bytes: {
    id: 'read-bytes',
    over: 'records in the answer',
    measured: 'bytes sent and received a read of the log',
  },
  busyMs: {
    id: 'read-time',
    over: 'records in the answer',
    measured: 'busy ms a read of the log, without folding',
  },
};

/** Measures all slopes of log reads. */
export async function measureLogReads(): Promise<Slope[]> {
  const catchUp = {
    id: 'catch-up',
    over: 'records of the log',
    measured: 'ms until a new follower is fresh',
  };
  const changeSpread = {
    id: 'change-spread',
    over: 'followers of the log',
    measured: 'ms from the append of a change until all have folded it',
  };
  return [
    await measureSlope(catchUp, RECORD_COUNTS, measureCatchUpMs),
    ...(await measureSlopes(READ_TITLES, PAGE_RECORD_COUNTS, measureReads)),
    await measureSlope(changeSpread, READER_COUNTS, measureSpreadMs),
  ];
}

async function measureCatchUpMs(records: number): Promise<number> {
  const platform = await PlatformThread.start({records});
  const follower = createFollower(platform);
  const startedAt = clock.now();
  while (!follower.isCaughtUp) {
    await follower.readOnce();
  }
  const durationMs = clock.now() - startedAt;
  await platform.stop();
  return durationMs;
}

async function measureReads(
  records: number,
): Promise<Record<keyof typeof READ_TITLES, number>> {
  const platform = await PlatformThread.start({records: records + 1});
  const log = new HttpLog({baseUrl: platform.urls.log});
  // The first record is the configuration, which is larger than the others.
  const from = 1;
  const options = {limit: Math.max(1, records), wait: 0, timeout: TIMEOUT_MS};
  await log.read(from, options);
  const before = await platform.countBytes();
  const busyMs = await measureBusyTimeMs(async () => {
    for (let count = 0; count < READ_REPETITIONS; count++) {
      await log.read(from, options);
    }
  });
  const after = await platform.countBytes();
  await platform.stop();
  const sent = after.toLog - before.toLog;
  const received = after.fromLog - before.fromLog;
  return {
    bytes: (sent + received) / READ_REPETITIONS,
    busyMs: busyMs / READ_REPETITIONS,
  };
}

/** Measures the mean time, in milliseconds, from the append of a change until all followers have folded it. */
async function measureSpreadMs(readers: number): Promise<number> {
  const platform = await PlatformThread.start({records: 1});
  const followers = Array.from({length: readers}, () =>
    createFollower(platform),
  );
  const stopping = new AbortController();
  const running = followers.map(follower => follower.run(stopping.signal));
  const log = new HttpLog({baseUrl: platform.urls.log});
  let totalMs = 0;
  for (let change = 0; change < CHANGE_REPETITIONS; change++) {
    totalMs += await measureChangeMs(log, followers, change);
  }
  stopping.abort();
  await Promise.all(running);
  await platform.stop();
  return totalMs / CHANGE_REPETITIONS;
}

async function measureChangeMs(
  log: HttpLog,
  followers: readonly LogFollower[],
  change: number,
): Promise<number> {
  const body = createConfiguredRecord(
    [createTarget(0)],
    change,
    `change-${change}`,
  );
  const startedAt = clock.now();
  const [entry] = createEntries([body], 1 + change);
  const {firstOffset} = await log.append([entry!.value], TIMEOUT_MS);
  const folded = followers.map(follower =>
    follower.waitForOffset(firstOffset, TIMEOUT_MS),
  );
  if ((await Promise.all(folded)).includes(false)) {
    throw new Error('a follower did not fold the change before the timeout');
  }
  return clock.now() - startedAt;
}

function createFollower(platform: PlatformThread): LogFollower {
  const log = new HttpLog({baseUrl: platform.urls.log});
  return new LogFollower({log, state: new LedgerState(), clock, logger});
}
