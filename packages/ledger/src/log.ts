/** The platform's append-only log, as the ledger sees it. */
import type {Milliseconds} from '@galenavalve/shared';

/** A record as it stands in the log: unchecked JSON. */
export interface LogEntry {
  offset: number;
  value: unknown;
}

/** A part of the log. */
export interface LogPage {
  entries: LogEntry[];
  /** Offset after the last entry of this page, from where the next read goes on. */
  nextOffset: number;
  /** Offset after the last record of the log when the answer was made. */
  endOffset: number;
  /** Oldest offset that the log still keeps. */
  oldestOffset: number;
}

/** Limits of one read. */
export interface ReadOptions {
  /** Most entries to return. */
  limit: number;
  /** How long the log may hold the answer back until there is a record. */
  wait: Milliseconds;
  /** After how long the read is given up. */
  timeout: Milliseconds;
}

/** Where the values of an append stand. */
export interface AppendReceipt {
  firstOffset: number;
  nextOffset: number;
}

/** The log service. Errors are `Failure`s. */
export interface Log {
  /**
   * Appends values, all or none, in order.
   * Throws `append-rejected` when nothing was written for certain, and
   * `append-uncertain` when the append may have taken effect.
   */
  append(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt>;

  /** Reads from `offset`. Throws `read-failed`, or `offset-expired` before the oldest kept record. */
  read(offset: number, options: ReadOptions): Promise<LogPage>;
}
