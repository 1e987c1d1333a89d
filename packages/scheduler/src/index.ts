/** The scheduler role of one failure domain: passes, gang start, takeover and preemption. */

// The role
export {Scheduler} from './scheduler.js';
export type {SchedulerDependencies} from './scheduler_context.js';

// What the ledger says, as the placement package sees it
export {CellsProjection, toRunningGang} from './cells_projection.js';
export {toWaitingJob} from './waiting_queue.js';

// Appends
export {
  appendWithRetry,
  type AppendRetryDependencies,
} from './append_with_retry.js';
