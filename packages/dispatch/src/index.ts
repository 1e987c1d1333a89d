/** The dispatcher: rooms of targets, runs of tasks, and who starts next. */

// Ports that adapters implement
export * from './target_port.js';
export type {Fencing, OfficeAppend, OfficeLog} from './job_log.js';
export {type TargetInfo, lifeKey} from './target_info.js';

export {type Advice, type Advisor, NoAdvisor} from './advisor.js';

// The office and its work
export {DispatchService, type TargetRegistry} from './dispatch_service.js';
export {
  Dispatcher,
  type DispatchRules,
  type DispatcherParts,
} from './dispatcher.js';
export {
  OFFICE_SILENCE,
  OfficeWatch,
  type Standing,
  nextEpoch,
} from './office.js';
export {DEFAULT_SETTINGS, type DispatchSettings} from './settings.js';

// Decisions
export * from './policy/index.js';
export {Estimates} from './estimates.js';
export {
  type Booking,
  type JobRun,
  type UnitRun,
  createBooking,
} from './runs.js';
export {TargetRoom} from './target_room.js';
export {createJobRun} from './job_runs.js';
