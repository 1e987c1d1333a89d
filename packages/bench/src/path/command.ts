/** `npm run bench path`: the whole path, with every process apart. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Command} from 'commander';
import {startCluster} from '@galenavalve/demo';
import {type Latency, measureLatencies} from './latency.js';
import {type DaemonLoad, measureLoad} from './daemon_load.js';
import {type Throughput, measureThroughput} from './throughput.js';

/** Time in which compilation and the first takeovers end. */
const SETTLE_SECONDS = 15;
const IDLE_SECONDS = 15;
const QUEUE_LIMIT = 100_000;
const HTTP_PORT_BASE = 18_300;
const PEER_PORT_BASE = 19_300;

/** Figures of the whole path. */
export interface PathFigures {
  idle: DaemonLoad[];
  loaded: DaemonLoad[];
  latencies: Latency[];
  throughput: Throughput;
}

/** Registers `path`. */
export function registerPathCommand(program: Command): void {
  program
    .command('path')
    .description('latency, throughput and load of the whole path')
    .option('--json', 'print JSON', false)
    .option('--jobs <count>', 'jobs of each shape', Number, 60)
    .option('--seconds <count>', 'length of the throughput run', Number, 8)
    .action(async (options: {json: boolean; jobs: number; seconds: number}) => {
      const figures = await measurePath(options.jobs, options.seconds);
      print(figures, options.json);
    });
}

/** Starts a cluster of its own and measures it. */
export async function measurePath(
  jobs: number,
  seconds: number,
): Promise<PathFigures> {
  const dir = mkdtempSync(join(tmpdir(), 'galenavalve-bench-'));
  const cluster = await startCluster(dir, {
    httpPortBase: HTTP_PORT_BASE,
    peerPortBase: PEER_PORT_BASE,
    queueLimit: QUEUE_LIMIT,
  });
  try {
    await pause(SETTLE_SECONDS);
    const idle = await measureLoad(cluster, () => pause(IDLE_SECONDS));
    const latencies = await measureLatencies(cluster, jobs);
    let throughput: Throughput | undefined;
    const loaded = await measureLoad(cluster, async () => {
      throughput = await measureThroughput(cluster, seconds);
    });
    return {idle, loaded, latencies, throughput: throughput!};
  } finally {
    await cluster.processes.stopAll();
  }
}

function print(figures: PathFigures, isJson: boolean): void {
  if (isJson) {
    console.log(JSON.stringify(figures, null, 2));
    return;
  }
  console.log('latency, milliseconds');
  console.table(figures.latencies);
  console.log('a daemon while idle');
  console.table(figures.idle);
  console.log('a daemon under load');
  console.table(figures.loaded);
  console.table([figures.throughput]);
}

function pause(seconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, seconds * 1000));
}
