/** Reads results from the log that were dropped from memory. */
import {record as recordSchema} from '@galenavalve/model';
import {type Milliseconds, hashValue} from '@galenavalve/shared';
import type {Job} from './job.js';
import type {Log} from './log.js';

/**
 * Returns the results of a finished job: from memory, or else from the record
 * that ended it. Undefined when it has none or the log no longer retains them.
 * `timeout` is in milliseconds. Rethrows errors of the log.
 */
export async function readResults(
  log: Log,
  job: Job,
  timeout: Milliseconds,
): Promise<unknown[] | undefined> {
  if (job.results || job.finishedOffset === undefined || !job.resultHash) {
    return job.results;
  }
  const page = await log.read(job.finishedOffset, {limit: 1, wait: 0, timeout});
  const parsed = recordSchema.safeParse(page.entries[0]?.value);
  const record = parsed.data;
  const isFinishOfJob =
    record?.type === 'finished' && record.jobId === job.jobId;
  return isFinishOfJob && hashValue(record.results) === job.resultHash
    ? record.results
    : undefined;
}
