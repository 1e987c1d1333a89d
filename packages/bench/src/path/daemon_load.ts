/** Processor time, memory and traffic of each daemon, from its own metrics. */
import got from 'got';
import type {Cluster} from '@galenavalve/demo';

/** Load of one daemon over a measurement. */
export interface DaemonLoad {
  instance: string;
  isScheduler: boolean;
  /** Share of one core in percent. */
  cpuPercent: number;
  /** Resident memory at the end, in MiB. */
  rssMb: number;
  /** Bytes a second with peers, both directions. */
  peerBytesPerSecond: number;
  /** Bytes a second with the log, the list and the targets, both directions. */
  platformBytesPerSecond: number;
}

type Sample = Map<string, number>;

/** Runs `work` and measures every daemon meanwhile. */
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
    describeLoad(instance, before[index]!, after[index]!, seconds),
  );
}

async function readMetrics(url: string): Promise<Sample> {
  const text = await got(`${url}/metrics`).text();
  const lines = text.split('\n').filter(line => line && !line.startsWith('#'));
  return new Map(
    lines.map(line => {
      const split = line.lastIndexOf(' ');
      return [line.slice(0, split), Number(line.slice(split + 1))];
    }),
  );
}

function describeLoad(
  instance: string,
  before: Sample,
  after: Sample,
  seconds: number,
): DaemonLoad {
  const rise = (key: string) =>
    ((after.get(key) ?? 0) - (before.get(key) ?? 0)) / seconds;
  const bytes = (name: string) =>
    Math.round(
      rise(`${name}{direction="sent"}`) + rise(`${name}{direction="received"}`),
    );
  const rss = after.get('galenavalve_process_resident_memory_bytes') ?? 0;
  return {
    instance,
    isScheduler: after.get('galenavalve_scheduler_active') === 1,
    cpuPercent: round(rise('galenavalve_process_cpu_seconds') * 100),
    rssMb: round(rss / 1024 / 1024),
    peerBytesPerSecond: bytes('galenavalve_peer_bytes'),
    platformBytesPerSecond: bytes('galenavalve_platform_bytes'),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
