/** Interface of the platform's append-only log. */
import type {Milliseconds} from '@galenavalve/shared';

/** A record of the log as unvalidated JSON. */
export interface LogEntry {
  offset: number;
  value: unknown;
}

/** The result of one read. */
export interface LogPage {
  entries: LogEntry[];
  /** Offset after the last entry of this page, at which the next read continues. */
  nextOffset: number;
  /** Offset after the last record of the log at the time of the response. */
  endOffset: number;
  /** Oldest offset that the log still retains. */
  oldestOffset: number;
}

/** Limits of one read. Durations are in milliseconds. */
export interface ReadOptions {
  /** Largest number of entries to return. */
  limit: number;
  /** How long the log may delay the response until there is a record. */
  wait: Milliseconds;
  /** Timeout of the read. */
  timeout: Milliseconds;
}

/** Offsets of the appended values. */
export interface AppendReceipt {
  firstOffset: number;
  nextOffset: number;
}

/** The log service. Its errors are `Failure`s. */
export interface Log {
  /**
   * Appends values atomically and in order. `timeout` is in milliseconds.
   * Throws `append-rejected` when nothing was written, and `append-uncertain`
   * when the append may have taken effect or may still do so.
   */
  append(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt>;

  /**
   * Reads from `offset`. Throws `read-failed`, or `offset-expired` when
   * `offset` is before the oldest retained record.
   */
  read(offset: number, options: ReadOptions): Promise<LogPage>;
}
