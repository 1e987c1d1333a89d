/** What reading the log over HTTP costs, and how long news take to every reader. */
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
const PAGE_RECORDS = [0, 8, 32, 128, 512];
const READER_COUNTS = [1, 4, 8, 16];
const READS = 50;
const CHANGES = 20;
const TIMEOUT_MS = 5000;

const clock = new SystemClock();
const logger = new SilentLogger();

const readTitles = {
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

/** All slopes of reading the log. */
export async function measureLogReads(): Promise<Slope[]> {
  const catchUp = {
    id: 'catch-up',
    over: 'records of the log',
    measured: 'ms until a new follower is fresh',
  };
  const spread = {
    id: 'change-spread',
    over: 'followers of the log',
    measured: 'ms from the append of a change until all have folded it',
  };
  return [
    await measureSlope(catchUp, RECORD_COUNTS, timeCatchUp),
    ...(await measureSlopes(readTitles, PAGE_RECORDS, measureReads)),
    await measureSlope(spread, READER_COUNTS, timeSpread),
  ];
}

async function timeCatchUp(records: number): Promise<number> {
  const platform = await PlatformThread.start({records});
  const follower = createFollower(platform);
  const startedAt = clock.now();
  while (!follower.isCaughtUp) {
    await follower.readOnce();
  }
  const duration = clock.now() - startedAt;
  await platform.stop();
  return duration;
}

async function measureReads(
  records: number,
): Promise<Record<keyof typeof readTitles, number>> {
  const platform = await PlatformThread.start({records: records + 1});
  const log = new HttpLog({baseUrl: platform.urls.log});
  // The first record is the configuration, which is larger than the others.
  const from = 1;
  const options = {limit: Math.max(1, records), wait: 0, timeout: TIMEOUT_MS};
  await log.read(from, options);
  const before = await platform.countBytes();
  const busyMs = await measureBusyTimeMs(async () => {
    for (let count = 0; count < READS; count++) {
      await log.read(from, options);
    }
  });
  const after = await platform.countBytes();
  await platform.stop();
  const sent = after.toLog - before.toLog;
  const received = after.fromLog - before.fromLog;
  return {bytes: (sent + received) / READS, busyMs: busyMs / READS};
}

/** Mean over a few changes. */
async function timeSpread(readers: number): Promise<number> {
  const platform = await PlatformThread.start({records: 1});
  const followers = Array.from({length: readers}, () =>
    createFollower(platform),
  );
  const stopping = new AbortController();
  const running = followers.map(follower => follower.run(stopping.signal));
  const log = new HttpLog({baseUrl: platform.urls.log});
  let total = 0;
  for (let change = 0; change < CHANGES; change++) {
    total += await timeChange(log, followers, change);
  }
  stopping.abort();
  await Promise.all(running);
  await platform.stop();
  return total / CHANGES;
}

async function timeChange(
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
    throw new Error('a follower did not fold the change in time');
  }
  return clock.now() - startedAt;
}

function createFollower(platform: PlatformThread): LogFollower {
  const log = new HttpLog({baseUrl: platform.urls.log});
  return new LogFollower({log, state: new LedgerState(), clock, logger});
}
