/** The fold of log records to state, snapshots, idempotent append and group commit. */

// The platform's log
export * from './log.js';
