/** Records that are being appended to the log. */
import type {LogRecord} from '@galenavalve/model';
import type {Instant} from '@galenavalve/shared';
import type {FoldResult} from './fold_result.js';

/**
 * Stage of a pending record: waiting for an append (`queued`), in an append
 * that is in flight (`sent`), appended but not folded yet (`recorded`), or
 * possibly appended (`uncertain`). An uncertain append is one whose outcome is
 * not known, such as an append without a response.
 */
export type PendingStage = 'queued' | 'sent' | 'recorded' | 'uncertain';

/** A record whose fold result a caller awaits. */
export interface PendingRecord {
  readonly record: LogRecord;
  /** Size of the record as JSON. */
  readonly bytes: number;
  readonly deadline: Instant;
  readonly signal?: AbortSignal;
  stage: PendingStage;
  /** Whether an uncertain append may have written the record. */
  hasUncertainAppend: boolean;
  /** End of the latest uncertain append of the record. */
  uncertainAt: Instant;
  resolve(result: FoldResult): void;
  reject(error: unknown): void;
}
