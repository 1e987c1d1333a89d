/** How long a replaced instance takes to catch up from the log, over HTTP. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {LedgerState, LogFollower} from '@galenavalve/ledger';
import {HttpLog} from '@galenavalve/platform';
import {SilentLogger, SystemClock} from '@galenavalve/shared';
import {type Slope, measureSlope} from './slope.js';

const RECORD_COUNTS = [2000, 4000, 8000, 16_000];

/** All slopes of catching up. */
export async function measureCatchUp(): Promise<Slope[]> {
  const title = {
    id: 'catch-up',
    over: 'records of the log',
    measured: 'ms until a new follower is fresh',
  };
  return [await measureSlope(title, RECORD_COUNTS, timeCatchUp)];
}

async function timeCatchUp(records: number): Promise<number> {
  const file = new URL('./log_worker.js', import.meta.url);
  const worker = new Worker(file, {workerData: {jobs: records - 1}});
  const [baseUrl] = (await once(worker, 'message')) as [string];
  const log = new HttpLog({baseUrl});
  const state = new LedgerState();
  const clock = new SystemClock();
  const logger = new SilentLogger();
  const follower = new LogFollower({log, state, clock, logger});
  const startedAt = clock.now();
  while (!follower.isCaughtUp) {
    await follower.readOnce();
  }
  const duration = clock.now() - startedAt;
  await worker.terminate();
  return duration;
}
