/** Implements `bench path`: measures submission and execution end to end, with every process separate. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Command} from 'commander';
import {startCluster} from '@galenavalve/demo';
import {type Latency, measureLatencies} from './latency.js';
import {type DaemonLoad, measureLoad} from './daemon_load.js';
import {type Throughput, measureThroughput} from './throughput.js';

/** Time after which compilation and the first takeovers are over. */
const WARM_UP_SECONDS = 15;
const IDLE_MEASUREMENT_SECONDS = 15;
const QUEUE_LIMIT_JOBS = 100_000;
const HTTP_PORT_BASE = 18_300;
const PEER_PORT_BASE = 19_300;

/** End-to-end figures. */
export interface PathFigures {
  /** Load of each daemon without jobs. */
  idle: DaemonLoad[];
  /** Load of each daemon during the throughput run. */
  loaded: DaemonLoad[];
  latencies: Latency[];
  throughput: Throughput;
}

/** Registers the command `path`. */
export function registerPathCommand(program: Command): void {
  program
    .command('path')
    .description(
      'measures end-to-end latency, throughput and load of the daemons',
    )
    .option('--json', 'print JSON', false)
    .option('--jobs <count>', 'jobs of each shape', Number, 60)
    .option('--seconds <count>', 'length of the throughput run', Number, 8)
    .action(async (options: {json: boolean; jobs: number; seconds: number}) => {
      const figures = await measurePath(options.jobs, options.seconds);
      printFigures(figures, options.json);
    });
}

/** Starts a separate cluster, measures it and stops it. */
export async function measurePath(
  jobs: number,
  seconds: number,
): Promise<PathFigures> {
  const dir = mkdtempSync(join(tmpdir(), 'galenavalve-bench-'));
  const cluster = await startCluster(dir, {
    httpPortBase: HTTP_PORT_BASE,
    peerPortBase: PEER_PORT_BASE,
    queueLimit: QUEUE_LIMIT_JOBS,
  });
  try {
    await sleepSeconds(WARM_UP_SECONDS);
    const idle = await measureLoad(cluster, () =>
      sleepSeconds(IDLE_MEASUREMENT_SECONDS),
    );
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

function printFigures(figures: PathFigures, isJson: boolean): void {
  if (isJson) {
    console.log(JSON.stringify(figures, null, 2));
    return;
  }
  console.log('latency in milliseconds');
  console.table(figures.latencies);
  console.log('load of each daemon while idle');
  console.table(figures.idle);
  console.log('load of each daemon during the throughput run');
  console.table(figures.loaded);
  console.table([figures.throughput]);
}

function sleepSeconds(seconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, seconds * 1000));
}
