/** Waits for a job, whatever becomes of single requests. */
import type {JobView} from '@galenavalve/model';
import {
  type Clock,
  type Instant,
  isFailure,
  type Milliseconds,
} from '@galenavalve/shared';
import type {EntryClient} from '../client/entry_client.js';

/** Shortest time between two requests. */
const POLL_INTERVAL_MS = 250;

/** An instance that does not know a recorded job has not read it yet; it gets this long. */
const MAX_LAG_MS = 10_000;

/** How to follow a job. */
export interface FollowOptions {
  clock: Clock;
  deadline: Instant;
  /** Told at the start and at each change. */
  onChange: (job: JobView) => void;
}

/** Resolves to the job when it has finished, or as it was last seen when the deadline has passed. */
export async function followJob(
  client: EntryClient,
  accepted: JobView,
  {clock, deadline, onChange}: FollowOptions,
): Promise<JobView> {
  let job = accepted;
  let seenAt = clock.now();
  onChange(job);
  while (job.phase !== 'finished' && clock.now() < deadline) {
    const askedAt = clock.now();
    const next = await readIfPossible(client, job.jobId, deadline - askedAt);
    if (next === 'unknown-job' && clock.now() - seenAt > MAX_LAG_MS) {
      // Let the caller see the instance's own answer.
      return client.readJob(job.jobId, 0);
    }
    if (typeof next === 'object') {
      seenAt = clock.now();
      if (hasChanged(job, next)) {
        onChange(next);
      }
      job = next;
    }
    const spent = clock.now() - askedAt;
    if (job.phase !== 'finished' && spent < POLL_INTERVAL_MS) {
      await clock.sleep(POLL_INTERVAL_MS - spent);
    }
  }
  return job;
}

/** The job is recorded, so a failed question says nothing about it. */
async function readIfPossible(
  client: EntryClient,
  jobId: string,
  wait: Milliseconds,
): Promise<JobView | 'unknown-job' | 'no-answer'> {
  try {
    return await client.readJob(jobId, Math.max(0, wait));
  } catch (error) {
    if (isFailure(error, 'not-found')) {
      return 'unknown-job';
    }
    if (isFailure(error)) {
      return 'no-answer';
    }
    throw error;
  }
}

function hasChanged(before: JobView, after: JobView): boolean {
  return (
    before.phase !== after.phase ||
    before.text !== after.text ||
    before.cancelRequested !== after.cancelRequested
  );
}
