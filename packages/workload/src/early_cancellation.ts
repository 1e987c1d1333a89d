/**
 * Cancellations of jobs that the log did not have. A submission that got no
 * response may be appended after its caller has cancelled it; the job must not
 * run then.
 */
import {hashValue} from '@galenavalve/shared';
import * as z from 'zod';
import type {AcceptedJob} from './accepted_job.js';
import {type Caller, mayAccess} from './caller.js';

/** Length of the part of a key that tells callers apart, in hexadecimal digits. */
const CALLER_HASH_LENGTH = 16;

/** Value of the record of a cancellation that precedes the acceptance of its job. */
export const earlyCancellationSchema = z.object({
  /** Name of the queue of the request. */
  queue: z.string(),
  /** Workspace of the caller's key; absent on a public queue. */
  workspace: z.string().optional(),
  /** Wall-clock time of the instance that cancelled the job, in Unix milliseconds. */
  cancelledAt: z.number(),
});

/** A cancellation that precedes the acceptance of its job. */
export type EarlyCancellation = z.infer<typeof earlyCancellationSchema>;

/** Returns the part of a record's key that names the job and the caller: callers who use the same id do not cancel each other's jobs. */
export function formatEarlyCancellationKey(id: string, caller: Caller): string {
  const {queue, workspace} = caller;
  const owner = workspace === undefined ? {queue} : {workspace};
  return `${id}/${hashValue(owner).slice(0, CALLER_HASH_LENGTH)}`;
}

/** Returns the job that a key of `formatEarlyCancellationKey` names. */
export function parseEarlyCancellationKey(key: string): string {
  return key.slice(0, key.lastIndexOf('/'));
}

/** The early cancellations of the log, by key. */
export class EarlyCancellations {
  private readonly byJob = new Map<string, Map<string, EarlyCancellation>>();
  private count = 0;

  /** Number of cancellations. */
  get size(): number {
    return this.count;
  }

  /** Adds a cancellation or replaces the one with its key. */
  set(key: string, cancellation: EarlyCancellation): void {
    const id = parseEarlyCancellationKey(key);
    const ofJob = this.byJob.get(id) ?? new Map<string, EarlyCancellation>();
    this.count += ofJob.has(key) ? 0 : 1;
    ofJob.set(key, cancellation);
    this.byJob.set(id, ofJob);
  }

  /** Removes the cancellation with a key. */
  delete(key: string): void {
    const id = parseEarlyCancellationKey(key);
    const ofJob = this.byJob.get(id);
    if (ofJob?.delete(key)) {
      this.count--;
    }
    if (ofJob?.size === 0) {
      this.byJob.delete(id);
    }
  }

  has(key: string): boolean {
    return this.byJob.get(parseEarlyCancellationKey(key))?.has(key) ?? false;
  }

  /** Whether a caller who may cancel `job` has cancelled its id. */
  isCancelled(
    id: string,
    job: Pick<AcceptedJob, 'queue' | 'workspace'>,
  ): boolean {
    const ofJob = [...(this.byJob.get(id)?.values() ?? [])];
    return ofJob.some(caller => mayAccess(caller, job));
  }

  /** Lists the keys of the cancellations that were made before `time`, in Unix milliseconds, with their jobs. */
  listBefore(time: number): Array<{key: string; id: string}> {
    const found: Array<{key: string; id: string}> = [];
    for (const [id, ofJob] of this.byJob) {
      for (const [key, {cancelledAt}] of ofJob) {
        if (cancelledAt < time) {
          found.push({key, id});
        }
      }
    }
    return found;
  }
}
