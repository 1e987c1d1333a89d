/** The log as the dispatcher's office uses it. */
import type {KeyedRecord} from '@galenavalve/workload';
import type {Milliseconds} from '@galenavalve/shared';

/** What became of an append under an epoch. */
export type OfficeAppend =
  | {kind: 'appended'; offset: number}
  /** A higher epoch holds the office. */
  | {kind: 'fenced'}
  /** Nothing was appended. */
  | {kind: 'refused'; problem: string}
  /** It may have been appended, or may be later; the same sequence number may be sent again. */
  | {kind: 'unknown'; problem: string};

/** Appends in the name of an epoch; a repeated sequence number is appended once. */
export interface OfficeLog {
  append(
    records: readonly KeyedRecord[],
    epoch: number,
    sequence: number,
    timeout: Milliseconds,
  ): Promise<OfficeAppend>;
}
