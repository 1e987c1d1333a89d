/** Interface to append records whose repetition in the log does no harm, such as an acceptance. */
import type {KeyedRecord} from '@galenavalve/workload';
import type {Milliseconds} from '@galenavalve/shared';

/** Outcome of an append. */
export type AppendOutcome =
  | {kind: 'appended'; offset: number}
  /** The log does not end at the requested offset, so this append is not carried out any more; it may have been on another path. */
  | {kind: 'moved'}
  /** None of the records was or will be appended by this call. */
  | {kind: 'refused'; problem: string}
  /** The records may have been appended, or may still be. */
  | {kind: 'unknown'; problem: string};

/** Appends to the log on behalf of callers. */
export interface RecordAppender {
  /**
   * Appends records; waits up to `timeout` milliseconds. Reports every failure as
   * an outcome. `endsAt` makes the append conditional on the log ending at that
   * offset; without it, the outcome is never `moved`.
   */
  append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
    endsAt?: number,
  ): Promise<AppendOutcome>;
}
