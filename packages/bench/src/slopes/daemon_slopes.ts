/**
 * Measures the resources of an idle daemon by shares of the two-year size, the
 * cluster size that users expect in two years. The daemon runs as a separate process, as in service. Its domain has no targets,
 * so that the figures cover only the work of every entry instance.
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

const SIZE_SHARES = [0.05, 0.25, 0.5, 1];
const HOST = '127.0.0.1';
const START_TIMEOUT_MS = 30_000;

/** Covers the takeover. */
const WARM_UP_MS = 6000;

const MEASUREMENT_MS = 8000;

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

/** Measures all slopes of an idle daemon. The points are measured concurrently. */
export async function measureDaemons(): Promise<Slope[]> {
  const costs = await Promise.all(SIZE_SHARES.map(measureDaemon));
  const over = 'share of the two-year size';
  const createDaemonSlope = (
    id: string,
    measured: string,
    getValue: (cost: DaemonCost) => number,
  ) =>
    createSlope(
      {id, over, measured},
      costs.map(cost => ({x: cost.share, y: getValue(cost)})),
    );
  return [
    createDaemonSlope(
      'daemon-memory',
      'MB of resident memory of a daemon at rest',
      cost => cost.memoryMb,
    ),
    createDaemonSlope(
      'daemon-memory-peak',
      'MB of resident memory of a daemon at most, from its start',
      cost => cost.peakMemoryMb,
    ),
    createDaemonSlope(
      'daemon-processor',
      'percent of a core of a daemon at rest',
      cost => cost.processorPercent,
    ),
    createDaemonSlope(
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
  const timeBeforeNs = readProcessorTimeNs(pid);
  const bytesBefore = await platform.countBytes();
  const startedAt = clock.now();
  await clock.sleep(MEASUREMENT_MS);
  const seconds = (clock.now() - startedAt) / 1000;
  const bytesAfter = await platform.countBytes();
  const usedSeconds =
    (readProcessorTimeNs(pid) - timeBeforeNs) / NANOSECONDS_PER_SECOND;
  const logBytes =
    bytesAfter.toLog +
    bytesAfter.fromLog -
    bytesBefore.toLog -
    bytesBefore.fromLog;
  return {
    share,
    memoryMb: readMemoryMb(pid, 'VmRSS'),
    peakMemoryMb: readMemoryMb(pid, 'VmHWM'),
    processorPercent: (100 * usedSeconds) / seconds,
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
  const deadline = clock.now() + START_TIMEOUT_MS;
  while (clock.now() < deadline && child.exitCode === null) {
    try {
      await got(`http://${HOST}:${port}/readyz`, {retry: {limit: 0}});
      return;
    } catch {
      await clock.sleep(100);
    }
  }
  throw new Error(
    `the daemon did not become ready: exit code ${child.exitCode}`,
  );
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

/** Reads the processor time of all threads of a process since its start, in nanoseconds. */
function readProcessorTimeNs(pid: number): number {
  const threads = readdirSync(`/proc/${pid}/task`);
  return threads.reduce((total, thread) => {
    const path = `/proc/${pid}/task/${thread}/schedstat`;
    return total + Number(readFileSync(path, 'utf8').split(' ')[0]);
  }, 0);
}

/** Reads a memory size from the kernel's status of a process, in MB of 1024 kB. */
function readMemoryMb(pid: number, field: 'VmRSS' | 'VmHWM'): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const match = new RegExp(`${field}:\\s+(\\d+) kB`).exec(text);
  return Number(match?.[1]) / BYTES_PER_KB;
}
