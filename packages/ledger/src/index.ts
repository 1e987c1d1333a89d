/**
 * The ledger: folds log records to state, encodes and restores snapshots, and
 * appends records idempotently in group commits.
 */

// The platform's log
export type {
  AppendReceipt,
  Log,
  LogEntry,
  LogPage,
  ReadOptions,
} from './log.js';

// State
export {
  type LedgerOptions,
  LedgerState,
  REQUEST_WINDOW_MS,
  MAX_RETAINED_RESULT_BYTES,
} from './state.js';
export {type Job, type JobFailure, isActive} from './job.js';
export type {RecordedChange} from './change_history.js';

// The fold
export {applyEntry} from './fold/fold.js';
export type {FoldResult, Rejection} from './fold_result.js';
export {MAX_CREATION_SKEW_MS} from './fold/jobs.js';

// Reading
export {
  type LogFollowerDependencies,
  type LogFollowerOptions,
  type RelayedEntries,
  LogFollower,
} from './follower.js';

// Writing
export {
  type AppendOptions,
  type LogWriterDependencies,
  type LogWriterOptions,
  LogWriter,
} from './writer.js';

// Requests and results
export {type WithdrawalResult, withdrawRequest} from './request_withdrawal.js';
export {readResults} from './recorded_results.js';

// Snapshots
export {
  type Snapshot,
  decodeState,
  encodeState,
  encodeStateAsync,
} from './snapshot/codec.js';
export {ChunkCollector, createChunks} from './snapshot/chunks.js';
export type {StateSource} from './snapshot/state_source.js';
export {
  type StateRestorerDependencies,
  StateRestorer,
} from './snapshot/state_restorer.js';
export {
  type RetainedRange,
  type SnapshotSchedule,
  isSnapshotDue,
} from './snapshot/snapshot_policy.js';
export {
  type SnapshotWriterDependencies,
  SnapshotWriter,
} from './snapshot/snapshot_writer.js';
export type {RecordedSnapshot} from './snapshot/snapshot_tracker.js';

// Testing
export {type LogFaults, MemoryLog} from './testing/memory_log.js';
