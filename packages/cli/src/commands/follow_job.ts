/** Follows a job until it finishes, also when single requests fail. */
import type {JobView} from '@galenavalve/model';
import {
  type Clock,
  type Instant,
  isFailure,
  type Milliseconds,
} from '@galenavalve/shared';
import type {EntryClient} from '../client/entry_client.js';

/** Minimum time between the starts of two requests. */
const POLL_INTERVAL_MS = 250;

/**
 * Time for which "not found" is taken to mean that the instance has not yet
 * read the job's record.
 */
const MAX_READ_LAG_MS = 10_000;

/** Options of `followJob`. */
export interface FollowOptions {
  clock: Clock;
  deadline: Instant;
  /** Called with the job at the start and after each change. */
  onChange: (job: JobView) => void;
}

/** Resolves to the finished job, or to its latest known state when the deadline passes. */
export async function followJob(
  client: EntryClient,
  accepted: JobView,
  {clock, deadline, onChange}: FollowOptions,
): Promise<JobView> {
  let job = accepted;
  let lastReadAt = clock.now();
  onChange(job);
  while (job.phase !== 'finished' && clock.now() < deadline) {
    const requestedAt = clock.now();
    const next = await tryReadJob(client, job.jobId, deadline - requestedAt);
    if (next === 'unknown-job' && clock.now() - lastReadAt > MAX_READ_LAG_MS) {
      // Reads once more, so that the caller gets the instance's own failure.
      return client.readJob(job.jobId, 0);
    }
    if (typeof next === 'object') {
      lastReadAt = clock.now();
      if (hasChanged(job, next)) {
        onChange(next);
      }
      job = next;
    }
    const elapsedMs = clock.now() - requestedAt;
    if (job.phase !== 'finished' && elapsedMs < POLL_INTERVAL_MS) {
      await clock.sleep(POLL_INTERVAL_MS - elapsedMs);
    }
  }
  return job;
}

/** Does not throw for a failed query: the job is recorded, whether or not it can be read. */
async function tryReadJob(
  client: EntryClient,
  jobId: string,
  waitMs: Milliseconds,
): Promise<JobView | 'unknown-job' | 'no-response'> {
  try {
    return await client.readJob(jobId, Math.max(0, waitMs));
  } catch (error) {
    if (isFailure(error, 'not-found')) {
      return 'unknown-job';
    }
    if (isFailure(error)) {
      return 'no-response';
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
