/** Caches the estimated backlog of each failure domain for a short time, so that bursts of requests stay cheap. */
import type {LedgerState} from '@galenavalve/ledger';
import {estimateBacklog} from '@galenavalve/placement';
import {type CellsProjection, toWaitingJob} from '@galenavalve/scheduler';
import type {Milliseconds} from '@galenavalve/shared';

/** Age up to which a cached estimate is used. */
const MAX_ESTIMATE_AGE_MS: Milliseconds = 250;

/** Maximum number of queued jobs of a domain from which an estimate is computed. */
const MAX_SAMPLED_JOBS = 500;

interface Estimate {
  seconds: number;
  /** Wall-clock time in milliseconds. */
  computedAt: number;
}

/** Estimates the time that a domain needs to finish its running and queued jobs. */
export class BacklogEstimator {
  private readonly estimates = new Map<string, Estimate>();

  constructor(
    private readonly state: LedgerState,
    private readonly getProjection: (domain: string) => CellsProjection,
  ) {}

  /** Returns the backlog of a domain in seconds. `now` is wall-clock time. */
  estimateSeconds(domain: string, now: number): number {
    const cached = this.estimates.get(domain);
    if (cached && Math.abs(now - cached.computedAt) < MAX_ESTIMATE_AGE_MS) {
      return cached.seconds;
    }
    const seconds = this.computeEstimate(domain, now);
    this.estimates.set(domain, {seconds, computedAt: now});
    return seconds;
  }

  /** Computes the backlog of the first queued jobs and scales it in proportion to the length of the queue. */
  private computeEstimate(domain: string, now: number): number {
    const queue = [...this.state.listQueuedJobs(domain)];
    const sample = queue
      .slice(0, MAX_SAMPLED_JOBS)
      .map(job => toWaitingJob(job, now));
    const {cells} = this.getProjection(domain);
    const seconds = estimateBacklog(cells, sample, now);
    return seconds * Math.max(1, queue.length / MAX_SAMPLED_JOBS);
  }
}
