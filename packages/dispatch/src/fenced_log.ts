/** The job log as the leader writes it. */
import type {KeyedRecord} from '@galenavalve/workload';
import type {Milliseconds} from '@galenavalve/shared';

/** Outcome of an append under an epoch. */
export type FencedAppendOutcome =
  | {kind: 'appended'; offset: number}
  /** The log has a record of a higher epoch. */
  | {kind: 'fenced'}
  /** The log did not end at the requested offset; nothing was appended. */
  | {kind: 'moved'}
  /** Nothing was appended. */
  | {kind: 'refused'; problem: string}
  /**
   * The records may have been appended, or may be later. The append can be
   * repeated with the same sequence number.
   */
  | {kind: 'unknown'; problem: string};

/** Identifies an append within an epoch. */
export interface FencingToken {
  epoch: number;
  /** Number of the append within the epoch. */
  sequence: number;
  /** Makes the append conditional on the log ending at this offset. */
  endsAt?: number;
}

/**
 * Appends records under an epoch. Repeated appends with the same sequence
 * number take effect once.
 */
export interface FencedLog {
  appendFenced(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome>;
  /** See `KeyedLog.waitForRecovery`. */
  waitForRecovery?(signal: AbortSignal): Promise<void>;
}
