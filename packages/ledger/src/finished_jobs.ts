/** Finished jobs: kept for the request window, their results up to a total size. */
import type {Job} from './job.js';
import {type PackedJob, packJob, unpackJob} from './packed_job.js';

/** Stores finished jobs in the order in which they ended. */
export class FinishedJobs {
  private readonly byId = new Map<string, PackedJob>();
  private readonly idByRequest = new Map<string, string>();
  /** Ids of the jobs whose results are in memory, oldest first. */
  private readonly idsWithResults = new Set<string>();
  private totalResultBytes = 0;

  /** @param maxResultBytes Largest total size of the retained results, as JSON. */
  constructor(private readonly maxResultBytes: number) {}

  get size(): number {
    return this.byId.size;
  }

  /** Total size of the retained results, as JSON. */
  get retainedResultBytes(): number {
    return this.totalResultBytes;
  }

  /** Returns the job as a new object on each call. */
  get(jobId: string): Job | undefined {
    const packed = this.byId.get(jobId);
    return packed && unpackJob(packed);
  }

  getByRequest(requestId: string): Job | undefined {
    return this.get(this.idByRequest.get(requestId) ?? '');
  }

  /** Lists the jobs, earliest end first. */
  *listJobs(): Iterable<Job> {
    for (const packed of this.byId.values()) {
      yield unpackJob(packed);
    }
  }

  /** Returns copies of the packed jobs that later changes do not affect, earliest end first. */
  capture(): PackedJob[] {
    return [...this.byId.values()].map(packed => ({...packed}));
  }

  /** Adds a job that has ended, and drops the oldest results beyond `maxResultBytes`. */
  add(job: Job): void {
    const packed = packJob(job);
    this.byId.set(job.jobId, packed);
    this.idByRequest.set(packed.requestId, job.jobId);
    if (packed.results !== undefined) {
      this.idsWithResults.add(job.jobId);
      this.totalResultBytes += packed.resultBytes;
      this.dropOldResults();
    }
  }

  /**
   * Removes the jobs whose request window has passed at `logTime`. A later copy
   * of such a request was created more than `windowMs` before log time, so the
   * fold rejects it as expired. Times are in milliseconds.
   */
  removeExpired(logTime: number, windowMs: number): void {
    for (const [jobId, packed] of this.byId) {
      if (logTime > packed.rememberedFrom + windowMs) {
        this.dropResults(jobId);
        this.byId.delete(jobId);
        this.idByRequest.delete(packed.requestId);
      }
    }
  }

  private dropOldResults(): void {
    for (const jobId of this.idsWithResults) {
      if (this.totalResultBytes <= this.maxResultBytes) {
        return;
      }
      this.dropResults(jobId);
    }
  }

  private dropResults(jobId: string): void {
    const packed = this.byId.get(jobId);
    if (packed && this.idsWithResults.delete(jobId)) {
      this.totalResultBytes -= packed.resultBytes;
      packed.results = undefined;
    }
  }
}
