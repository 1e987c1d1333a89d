/** The scheduler role of one failure domain: passes, gang start, takeover and preemption. */

// Scheduler
export {Scheduler} from './scheduler.js';
export type {SchedulerDependencies} from './scheduler_context.js';

// Conversion of ledger state to input of the placement package
export {CellsProjection, toRunningGang} from './cells_projection.js';
export {toWaitingJob} from './waiting_queue.js';

// Appends
export {
  appendWithRetry,
  type AppendRetryDependencies,
} from './append_with_retry.js';
