/** Finished jobs: remembered for the request window, their results within a bound of bytes. */
import type {Job} from './job.js';

interface KeptResult {
  job: Job;
  bytes: number;
}

/** Finished jobs in the order in which they ended. */
export class FinishedJobs {
  private readonly byId = new Map<string, Job>();
  private readonly kept = new Map<string, KeptResult>();
  private bytes = 0;

  /** @param resultBytes Most bytes of JSON of the kept results. */
  constructor(private readonly resultBytes: number) {}

  get size(): number {
    return this.byId.size;
  }

  /** Bytes of JSON of the kept results. */
  get keptBytes(): number {
    return this.bytes;
  }

  /** Jobs, earliest end first. */
  jobs(): Iterable<Job> {
    return this.byId.values();
  }

  /** Adds a job that has ended, and drops the oldest results beyond the bound. */
  add(job: Job): void {
    this.byId.set(job.jobId, job);
    if (!job.results) {
      return;
    }
    const bytes = JSON.stringify(job.results).length;
    this.kept.set(job.jobId, {job, bytes});
    this.bytes += bytes;
    this.dropOldResults();
  }

  /** Removes and returns the jobs whose request ids need not be remembered at `logTime`. */
  forget(logTime: number, window: number): Job[] {
    const forgotten: Job[] = [];
    for (const job of this.byId.values()) {
      if (logTime > rememberedFrom(job) + window) {
        this.byId.delete(job.jobId);
        this.dropResult(job.jobId);
        forgotten.push(job);
      }
    }
    return forgotten;
  }

  private dropOldResults(): void {
    for (const jobId of this.kept.keys()) {
      if (this.bytes <= this.resultBytes) {
        return;
      }
      this.dropResult(jobId);
    }
  }

  private dropResult(jobId: string): void {
    const result = this.kept.get(jobId);
    if (result) {
      this.kept.delete(jobId);
      this.bytes -= result.bytes;
      result.job.results = undefined;
    }
  }
}

/**
 * From when the window of a job's request id counts. A second copy of the
 * request that comes after the window has an older creation time than log
 * time minus the window, so that it is refused as expired.
 */
function rememberedFrom(job: Job): number {
  return Math.max(job.finishedAt ?? 0, job.request.createdAt);
}
