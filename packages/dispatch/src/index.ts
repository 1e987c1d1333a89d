/**
 * The dispatcher: state of targets, runs of tasks, and the scheduling decision.
 */

// Ports that adapters implement
export * from './target_port.js';
export type {
  FencingToken,
  FencedAppendOutcome,
  FencedLog,
} from './fenced_log.js';
export {
  type TargetInfo,
  formatIncarnationKey,
  targetInfoSchema,
} from './target_info.js';

export {type Advice, type Advisor, NoAdvisor} from './advisor.js';

// Leadership and dispatching
export {DispatchService, type TargetRegistry} from './dispatch_service.js';
export {
  Dispatcher,
  type DispatchRules,
  type DispatcherDependencies,
} from './dispatcher.js';
export {
  LEADER_TIMEOUT_MS,
  LeaderMonitor,
  type CandidateRank,
  chooseNextEpoch,
} from './leader_monitor.js';
export {DEFAULT_SETTINGS, type DispatchSettings} from './settings.js';

// Scheduling decisions
export * from './policy/index.js';
export {DurationEstimator} from './duration_estimator.js';
export {
  type Allocation,
  type ActiveJob,
  type ActiveUnit,
  countMembers,
  createAllocation,
} from './active_job.js';
export {CrashAttribution, findCrashEvidence} from './crash_attribution.js';
export {RunTracker} from './run_tracker.js';
export type {Obstacle} from './obstacle.js';
export {IdleJobs, type IdleCause} from './idle_jobs.js';
export {TargetState} from './target_state.js';
export {createActiveJob} from './job_lifecycle.js';
