/** Model of jobs and their progress, and the log records that store them. */

// Job specifications
export * from './job_spec.js';
export * from './job_size.js';
export {type OpenTaskLimit, computeOpenTaskLimit} from './open_task_limit.js';
export {
  type JobMemoryLimit,
  computeJobMemoryLimit,
  estimateJobBytes,
} from './job_memory.js';
export {WorkspaceTotals} from './workspace_totals.js';
export {findSpecProblem} from './find_spec_problem.js';
export * from './accepted_job.js';
export * from './task_name.js';

// Progress of jobs
export * from './progress.js';
export {
  StoredProgress,
  formatProgress,
  parseProgress,
} from './stored_progress.js';
export {
  type ProgressRecords,
  encodeProgressRecords,
} from './progress_records.js';
export {
  type JobEntry,
  type JobState,
  JobTable,
  getJobState,
} from './job_table.js';

// Records of the job log
export {
  type JobRecord,
  type KeyedRecord,
  type Leadership,
  type StoredRecord,
  decodeRecord,
  encodeAccepted,
  encodeCancelled,
  encodeEarlyCancellation,
  encodeEarlyCancellationTombstone,
  encodeJobTombstones,
  formatAcceptedKey,
  encodeLeadership,
  encodeProgress,
} from './keyed_record.js';

// Reading the log
export {
  type KeyedLog,
  type NewestPage,
  type TailPage,
  sleepUntilRecovery,
} from './keyed_log.js';
export {Follower, type FollowerSink} from './follower.js';
export {type Caller, mayAccess} from './caller.js';
export {
  type EarlyCancellation,
  EarlyCancellations,
  formatEarlyCancellationKey,
  parseEarlyCancellationKey,
} from './early_cancellation.js';
