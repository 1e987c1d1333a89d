/** Interface of a log of keyed records that retains the newest record of each key. */
import type {Clock, Milliseconds} from '@galenavalve/shared';
import type {StoredRecord} from './keyed_record.js';

/** One page of the newest records of all keys. */
export interface NewestPage {
  records: StoredRecord[];
  /** Offset after the last record of the log when the page was made. */
  end: number;
  /** Cursor: key after which the next page starts; absent on the last page. */
  after?: string;
}

/** Result of a read from an offset. */
export type TailPage =
  /** `next` is the offset at which to continue, `end` the offset after the last record of the log. */
  | {kind: 'records'; records: StoredRecord[]; next: number; end: number}
  /** The record at that offset is no longer retained. */
  | {kind: 'expired'};

/** Reads a keyed log. The methods reject if no complete response arrives. */
export interface KeyedLog {
  /**
   * Reads one page of the newest record of each key. `after` is the cursor of the
   * previous page, or undefined for the first page. The pages do not form a
   * consistent snapshot.
   */
  readNewest(after: string | undefined): Promise<NewestPage>;
  /** Reads the records from `offset` on; waits up to `wait` milliseconds for the first one. */
  readTail(offset: number, wait: Milliseconds): Promise<TailPage>;
  /** Resolves when the log responds again after calls failed; absent if that is not tracked. Aborting `signal` ends the wait. */
  waitForRecovery?(signal: AbortSignal): Promise<void>;
}

/** Waits until the log responds again, or for `duration` milliseconds at the longest. */
export async function sleepUntilRecovery(
  log: Pick<KeyedLog, 'waitForRecovery'>,
  duration: Milliseconds,
  clock: Clock,
): Promise<void> {
  const done = new AbortController();
  const slept = clock.sleep(duration, done.signal);
  const recovery = log.waitForRecovery?.(done.signal);
  await Promise.race(recovery ? [slept, recovery] : [slept]);
  done.abort();
}
