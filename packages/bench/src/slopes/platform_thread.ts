/**
 * Runs stand-ins for the services of the platform (log, instance list, targets)
 * in a separate thread, so that their work is not measured.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** Contents of the emulated platform. */
export interface PlatformSettings {
  /** Number of targets, named "target-0" and so on. */
  targets: number;
  /** Number of records that the log holds: one configuration, then waiting jobs. */
  records: number;
  /** When set, the log instead holds the records and a snapshot of a cluster of this share of the two-year size. */
  clusterShare?: number;
}

/** URLs of the stand-ins; log and targets are reached through the counting proxies. */
export interface PlatformUrls {
  log: string;
  instances: string;
  targets: string;
}

/** Bytes transferred since the start of the thread. */
export interface ByteCounts {
  toLog: number;
  fromLog: number;
  toTargets: number;
  fromTargets: number;
}

/** Running worker thread with the stand-ins. */
export class PlatformThread {
  private constructor(
    private readonly worker: Worker,
    readonly urls: PlatformUrls,
  ) {}

  /** Starts a thread; resolves when its stand-ins accept connections. */
  static async start(
    settings: Partial<PlatformSettings>,
  ): Promise<PlatformThread> {
    const file = new URL('./platform_worker.js', import.meta.url);
    const workerData: PlatformSettings = {targets: 0, records: 1, ...settings};
    const worker = new Worker(file, {workerData});
    const [urls] = (await once(worker, 'message')) as [PlatformUrls];
    return new PlatformThread(worker, urls);
  }

  /** Returns the bytes that passed the proxies since the start. */
  async countBytes(): Promise<ByteCounts> {
    const response = once(this.worker, 'message') as Promise<[ByteCounts]>;
    this.worker.postMessage('bytes');
    return (await response)[0];
  }

  /** Terminates the thread. */
  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
