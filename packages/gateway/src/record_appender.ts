/** Appends records that may be appended more than once, such as an acceptance. */
import type {KeyedRecord} from '@galenavalve/workload';
import type {Milliseconds} from '@galenavalve/shared';

/** What became of an append. */
export type AppendOutcome =
  | {kind: 'appended'; offset: number}
  /** Nothing was appended, and nothing of this call will be. */
  | {kind: 'refused'; problem: string}
  /** It may have been appended, or may be later. */
  | {kind: 'unknown'; problem: string};

/** The log as callers' requests use it. */
export interface RecordAppender {
  append(
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<AppendOutcome>;
}
