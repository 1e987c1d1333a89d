/** The platform's stand-ins in a thread of their own, so that their work is not measured. */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';

/** What the thread stands in for. */
export interface PlatformSettings {
  /** Targets named "target-0" and so on. */
  targets: number;
  /** Records of waiting jobs that the log holds. */
  records: number;
  /** In place of those, the records of a cluster of this share of the two-year size. */
  clusterShare?: number;
}

/** Where the stand-ins listen. */
export interface PlatformUrls {
  log: string;
  instances: string;
  targets: string;
}

/** Bytes so far. */
export interface ByteCounts {
  toLog: number;
  fromLog: number;
  toTargets: number;
  fromTargets: number;
}

/** A running thread. */
export class PlatformThread {
  private constructor(
    private readonly worker: Worker,
    readonly urls: PlatformUrls,
  ) {}

  /** Starts a thread; resolves when its stand-ins listen. */
  static async start(
    settings: Partial<PlatformSettings>,
  ): Promise<PlatformThread> {
    const file = new URL('./platform_worker.js', import.meta.url);
    const workerData: PlatformSettings = {targets: 0, records: 1, ...settings};
    const worker = new Worker(file, {workerData});
    const [urls] = (await once(worker, 'message')) as [PlatformUrls];
    return new PlatformThread(worker, urls);
  }

  /** Bytes through the relays so far. */
  async countBytes(): Promise<ByteCounts> {
    const answer = once(this.worker, 'message') as Promise<[ByteCounts]>;
    this.worker.postMessage('bytes');
    return (await answer)[0];
  }

  /** Ends the thread. */
  async stop(): Promise<void> {
    await this.worker.terminate();
  }
}
