/** Finished jobs: remembered for the request window, their results within a bound of bytes. */
import type {Job} from './job.js';
import {type PackedJob, packJob, unpackJob} from './packed_job.js';

/** Finished jobs in the order in which they ended. */
export class FinishedJobs {
  private readonly byId = new Map<string, PackedJob>();
  private readonly idByRequest = new Map<string, string>();
  /** Ids of the jobs whose results are kept. */
  private readonly kept = new Set<string>();
  private bytes = 0;

  /** @param resultBytes Most bytes of JSON of the kept results. */
  constructor(private readonly resultBytes: number) {}

  get size(): number {
    return this.byId.size;
  }

  /** Bytes of JSON of the kept results. */
  get retainedResultBytes(): number {
    return this.bytes;
  }

  /** The job, as a new object at each call. */
  get(jobId: string): Job | undefined {
    const packed = this.byId.get(jobId);
    return packed && unpackJob(packed);
  }

  getByRequest(requestId: string): Job | undefined {
    return this.get(this.idByRequest.get(requestId) ?? '');
  }

  /** Jobs, earliest end first. */
  *listJobs(): Iterable<Job> {
    for (const packed of this.byId.values()) {
      yield unpackJob(packed);
    }
  }

  /** Packed copies that later changes do not reach, earliest end first. */
  capture(): PackedJob[] {
    return [...this.byId.values()].map(packed => ({...packed}));
  }

  /** Adds a job that has ended, and drops the oldest results beyond the bound. */
  add(job: Job): void {
    const packed = packJob(job);
    this.byId.set(job.jobId, packed);
    this.idByRequest.set(packed.requestId, job.jobId);
    if (packed.results !== undefined) {
      this.kept.add(job.jobId);
      this.bytes += packed.resultBytes;
      this.dropOldResults();
    }
  }

  /**
   * Removes the jobs whose request ids need not be remembered at `logTime`. A
   * copy of such a request was created before log time minus the window, so
   * that it is refused as expired.
   */
  removeExpired(logTime: number, window: number): void {
    for (const [jobId, packed] of this.byId) {
      if (logTime > packed.rememberedFrom + window) {
        this.dropResults(jobId);
        this.byId.delete(jobId);
        this.idByRequest.delete(packed.requestId);
      }
    }
  }

  private dropOldResults(): void {
    for (const jobId of this.kept) {
      if (this.bytes <= this.resultBytes) {
        return;
      }
      this.dropResults(jobId);
    }
  }

  private dropResults(jobId: string): void {
    const packed = this.byId.get(jobId);
    if (packed && this.kept.delete(jobId)) {
      this.bytes -= packed.resultBytes;
      packed.results = undefined;
    }
  }
}
