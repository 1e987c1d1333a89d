/** The scheduler role of one failure domain: passes, gang start, takeover and preemption. */

// The role
export {Scheduler} from './scheduler.js';
export type {SchedulerParts} from './schedule_context.js';

// What the ledger says, as the placement package sees it
export {CellsMirror, toRunningGang} from './cells_mirror.js';
export {toWaitingJob} from './waiting_queue.js';

// Appends
export {appendDurably, type DurableAppendParts} from './durable_append.js';
