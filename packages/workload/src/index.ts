/** Jobs of steps: their model, their progress, and the records that keep it. */

// What callers ask for
export * from './job_spec.js';
export * from './accepted_job.js';
export * from './task_name.js';

// How far it is
export * from './progress.js';
export {
  StoredProgress,
  formatProgress,
  parseProgress,
} from './stored_progress.js';
export {
  type JobEntry,
  type JobState,
  JobTable,
  getJobState,
} from './job_table.js';

// What the log keeps
export {
  type JobRecord,
  type KeyedRecord,
  type Leadership,
  type StoredRecord,
  decodeRecord,
  encodeAccepted,
  encodeCancelled,
  encodeJobTombstones,
  encodeLeadership,
  encodeProgress,
} from './keyed_record.js';

// How the log is read
export type {KeyedLog, NewestPage, TailPage} from './keyed_log.js';
export {Follower, type FollowerSink} from './follower.js';
