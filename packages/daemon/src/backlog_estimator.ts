/** Remembers the backlog of each failure domain for a moment, so that a burst of requests stays cheap. */
import type {LedgerState} from '@galenavalve/ledger';
import {estimateBacklog} from '@galenavalve/placement';
import {type CellsProjection, toWaitingJob} from '@galenavalve/scheduler';
import type {Milliseconds} from '@galenavalve/shared';

/** How long an estimate is used. */
const MAX_AGE_MS: Milliseconds = 250;

/** Most queued jobs of a domain that an estimate is made from. */
const SAMPLE_SIZE = 500;

interface Estimate {
  seconds: number;
  madeAt: number;
}

/** Estimates of the time until a domain has done what it has. */
export class BacklogEstimator {
  private readonly estimates = new Map<string, Estimate>();

  constructor(
    private readonly state: LedgerState,
    private readonly mirrorOf: (domain: string) => CellsProjection,
  ) {}

  /** Backlog of a domain in seconds. `now` is wall-clock time. */
  estimateSeconds(domain: string, now: number): number {
    const known = this.estimates.get(domain);
    if (known && Math.abs(now - known.madeAt) < MAX_AGE_MS) {
      return known.seconds;
    }
    const seconds = this.estimate(domain, now);
    this.estimates.set(domain, {seconds, madeAt: now});
    return seconds;
  }

  /** The first jobs stand for all: a longer queue counts in proportion. */
  private estimate(domain: string, now: number): number {
    const queue = [...this.state.listQueuedJobs(domain)];
    const sample = queue
      .slice(0, SAMPLE_SIZE)
      .map(job => toWaitingJob(job, now));
    const {cells} = this.mirrorOf(domain);
    const seconds = estimateBacklog(cells, sample, now);
    return seconds * Math.max(1, queue.length / SAMPLE_SIZE);
  }
}
