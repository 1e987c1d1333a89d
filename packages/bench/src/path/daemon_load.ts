/** Measures processor time, memory and traffic of each daemon from the metrics that it exports. */
import got from 'got';
import type {Cluster} from '@galenavalve/demo';

/** Load of one daemon over a measurement. */
export interface DaemonLoad {
  instance: string;
  isScheduler: boolean;
  /** Processor time as a share of one core, in percent. */
  cpuPercent: number;
  /** Resident memory at the end, in MiB. */
  rssMb: number;
  /** Traffic with peers in both directions, in bytes per second. */
  peerBytesPerSecond: number;
  /** Traffic with the log, the instance list and the targets in both directions, in bytes per second. */
  platformBytesPerSecond: number;
}

type MetricSample = Map<string, number>;

/** Runs `work` and measures the load of every daemon during it. */
export async function measureLoad(
  {entries}: Cluster,
  work: () => Promise<void>,
): Promise<DaemonLoad[]> {
  const urls = entries.map(entry => entry.url);
  const before = await Promise.all(urls.map(readMetrics));
  const startedAt = performance.now();
  await work();
  const after = await Promise.all(urls.map(readMetrics));
  const seconds = (performance.now() - startedAt) / 1000;
  return entries.map(({instance}, index) =>
    computeLoad(instance, before[index]!, after[index]!, seconds),
  );
}

async function readMetrics(url: string): Promise<MetricSample> {
  const text = await got(`${url}/metrics`).text();
  const lines = text.split('\n').filter(line => line && !line.startsWith('#'));
  return new Map(
    lines.map(line => {
      const separator = line.lastIndexOf(' ');
      return [line.slice(0, separator), Number(line.slice(separator + 1))];
    }),
  );
}

function computeLoad(
  instance: string,
  before: MetricSample,
  after: MetricSample,
  seconds: number,
): DaemonLoad {
  const ratePerSecond = (key: string) =>
    ((after.get(key) ?? 0) - (before.get(key) ?? 0)) / seconds;
  const bytesPerSecond = (name: string) =>
    Math.round(
      ratePerSecond(`${name}{direction="sent"}`) +
        ratePerSecond(`${name}{direction="received"}`),
    );
  const rssBytes = after.get('galenavalve_process_resident_memory_bytes') ?? 0;
  return {
    instance,
    isScheduler: after.get('galenavalve_scheduler_active') === 1,
    cpuPercent: roundToHundredths(
      ratePerSecond('galenavalve_process_cpu_seconds') * 100,
    ),
    rssMb: roundToHundredths(rssBytes / 1024 / 1024),
    peerBytesPerSecond: bytesPerSecond('galenavalve_peer_bytes'),
    platformBytesPerSecond: bytesPerSecond('galenavalve_platform_bytes'),
  };
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
