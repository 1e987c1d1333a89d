/** The log as the dispatcher's office uses it. */
import type {KeyedRecord} from '@galenavalve/workload';
import type {Milliseconds} from '@galenavalve/shared';

/** What became of an append under an epoch. */
export type FencedAppendOutcome =
  | {kind: 'appended'; offset: number}
  /** A higher epoch holds the office. */
  | {kind: 'fenced'}
  /** The log did not end where the append was meant to follow; nothing was appended. */
  | {kind: 'moved'}
  /** Nothing was appended. */
  | {kind: 'refused'; problem: string}
  /** It may have been appended, or may be later; the same sequence number may be sent again. */
  | {kind: 'unknown'; problem: string};

/** Makes an append part of the sequence of an epoch. */
export interface FencingToken {
  epoch: number;
  sequence: number;
  /** The append is made only if the log ends at this offset. */
  endsAt?: number;
}

/** Appends in the name of an epoch; a repeated sequence number is appended once. */
export interface FencedLog {
  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome>;
}
