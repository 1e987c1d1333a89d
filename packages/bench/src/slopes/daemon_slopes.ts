/**
 * What a whole daemon takes at rest, by shares of the two-year size. The daemon
 * is a process of its own, as in service; its domain has no targets, so that
 * only what every entry instance does is measured.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import got from 'got';
import {SystemClock} from '@galenavalve/shared';
import {PlatformThread} from './platform_thread.js';
import {type Slope, createSlope} from './slope.js';

const SHARES = [0.05, 0.25, 0.5, 1];
const HOST = '127.0.0.1';
const START_TIMEOUT_MS = 30_000;

/** Long enough for the takeover. */
const WARM_UP_MS = 6000;

const MEASURED_MS = 8000;

const NANOSECONDS_PER_SECOND = 1e9;
const BYTES_PER_KB = 1024;

const clock = new SystemClock();

interface DaemonCost {
  share: number;
  memoryMb: number;
  peakMemoryMb: number;
  processorPercent: number;
  logBytesPerSecond: number;
}

/** All slopes of a daemon at rest. The points are measured side by side. */
export async function measureDaemons(): Promise<Slope[]> {
  const costs = await Promise.all(SHARES.map(measureDaemon));
  const over = 'share of the two-year size';
  const slopeOf = (
    id: string,
    measured: string,
    valueOf: (cost: DaemonCost) => number,
  ) =>
    createSlope(
      {id, over, measured},
      costs.map(cost => ({x: cost.share, y: valueOf(cost)})),
    );
  return [
    slopeOf(
      'daemon-memory',
      'MB of resident memory of a daemon at rest',
      cost => cost.memoryMb,
    ),
    slopeOf(
      'daemon-memory-peak',
      'MB of resident memory of a daemon at most, from its start',
      cost => cost.peakMemoryMb,
    ),
    slopeOf(
      'daemon-processor',
      'percent of a core of a daemon at rest',
      cost => cost.processorPercent,
    ),
    slopeOf(
      'daemon-log-bytes',
      'bytes a second with the log of a daemon at rest',
      cost => cost.logBytesPerSecond,
    ),
  ];
}

async function measureDaemon(share: number): Promise<DaemonCost> {
  const platform = await PlatformThread.start({clusterShare: share});
  const dir = mkdtempSync(join(tmpdir(), 'galenavalve-slopes-'));
  const port = await findFreePort();
  const file = join(dir, 'settings.json');
  writeFileSync(file, JSON.stringify(createSettings(platform, port)));
  const main = fileURLToPath(
    new URL('./main.js', import.meta.resolve('@galenavalve/daemon')),
  );
  const child = spawn(process.execPath, [main, file], {stdio: 'ignore'});
  try {
    await waitUntilReady(port, child);
    await clock.sleep(WARM_UP_MS);
    return await measureProcess(share, child, platform);
  } finally {
    child.kill('SIGKILL');
    await platform.stop();
    rmSync(dir, {recursive: true});
  }
}

async function measureProcess(
  share: number,
  child: ChildProcess,
  platform: PlatformThread,
): Promise<DaemonCost> {
  const pid = child.pid!;
  const timeBefore = readProcessorTime(pid);
  const bytes = await platform.countBytes();
  const startedAt = clock.now();
  await clock.sleep(MEASURED_MS);
  const seconds = (clock.now() - startedAt) / 1000;
  const bytesAfter = await platform.countBytes();
  const used = (readProcessorTime(pid) - timeBefore) / NANOSECONDS_PER_SECOND;
  const logBytes =
    bytesAfter.toLog + bytesAfter.fromLog - bytes.toLog - bytes.fromLog;
  return {
    share,
    memoryMb: readMb(pid, 'VmRSS'),
    peakMemoryMb: readMb(pid, 'VmHWM'),
    processorPercent: (100 * used) / seconds,
    logBytesPerSecond: logBytes / seconds,
  };
}

function createSettings(platform: PlatformThread, port: number) {
  return {
    instance: 'entry-south-1',
    domain: 'south',
    http: {host: HOST, port},
    peer: {host: HOST, port: 0},
    platform: {
      logUrl: platform.urls.log,
      instanceListUrl: platform.urls.instances,
    },
    logLevel: 'error',
  };
}

async function waitUntilReady(
  port: number,
  child: ChildProcess,
): Promise<void> {
  const end = clock.now() + START_TIMEOUT_MS;
  while (clock.now() < end && child.exitCode === null) {
    try {
      await got(`http://${HOST}:${port}/readyz`, {retry: {limit: 0}});
      return;
    } catch {
      await clock.sleep(100);
    }
  }
  throw new Error(`the daemon did not become ready: exit ${child.exitCode}`);
}

function findFreePort(): Promise<number> {
  return new Promise(resolve => {
    const server = createServer();
    server.listen(0, HOST, () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}

/** Processor time of all threads of a process so far, in nanoseconds. */
function readProcessorTime(pid: number): number {
  const threads = readdirSync(`/proc/${pid}/task`);
  return threads.reduce((total, thread) => {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    return total + Number(readFileSync(path, 'utf8').split(' ')[0]);
  }, 0);
}

/** A size from the kernel's status of a process, in MB. */
function readMb(pid: number, field: 'VmRSS' | 'VmHWM'): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const match = new RegExp(`${field}:\\s+(\\d+) kB`).exec(text);
  return Number(match?.[1]) / BYTES_PER_KB;
}
