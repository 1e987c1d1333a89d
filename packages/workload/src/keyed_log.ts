/** A log of keyed records, of which the newest of each key is kept. */
import type {Milliseconds} from '@galenavalve/shared';
import type {StoredRecord} from './keyed_record.js';

/** A part of the newest records of all keys. */
export interface NewestPage {
  records: StoredRecord[];
  /** Offset behind the last record of the log when the page was made. */
  end: number;
  /** Key to continue after; absent on the last page. */
  after?: string;
}

/** What a read from an offset gave. */
export type TailPage =
  | {kind: 'records'; records: StoredRecord[]; next: number; end: number}
  /** The records from that offset on are no longer kept. */
  | {kind: 'expired'};

/** Reads a keyed log. Throws when no whole answer comes. */
export interface KeyedLog {
  /** A page of the newest records; pages are no snapshot of one moment. */
  readNewest(after: string | undefined): Promise<NewestPage>;
  /** Records from `offset` on; waits up to `wait` for the first. */
  readTail(offset: number, wait: Milliseconds): Promise<TailPage>;
}
