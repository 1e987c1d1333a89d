/** Records on their way into the log. */
import type {LogRecord} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {FoldResult} from './fold_result.js';

/**
 * Where a record is on its way: waiting for an append, in one, recorded but
 * not folded yet, or possibly recorded after an append without an answer.
 */
export type PendingStage = 'queued' | 'sent' | 'recorded' | 'uncertain';

/** A record that a caller waits for. */
export interface PendingRecord {
  readonly record: LogRecord;
  /** Bytes of the record as JSON. */
  readonly bytes: number;
  readonly deadline: Instant;
  readonly signal?: AbortSignal;
  stage: PendingStage;
  /** Whether an append without an answer may have written the record. */
  hasUncertainAppend: boolean;
  /** When the latest append without an answer ended. */
  uncertainAt: Instant;
  resolve(applied: FoldResult): void;
  reject(error: unknown): void;
}
