/** Reservations, two-phase start of gangs, lease renewal, fencing and target health. */

// Client interface of targets
export * from './target_client.js';

// Starting and stopping gangs
export {
  type AddressLookup,
  type GangMembers,
  type GangAttempt,
  toLeaseKey,
  formatLeaseKey,
} from './gang_attempt.js';
export {
  GangStarter,
  type GangStartResult,
  type GangStarterOptions,
  type GangStarterDependencies,
  type ReservationResult,
} from './gang_starter.js';
export {type GangStopResult, type StopOptions} from './gang_stopper.js';

// Bounds
export {
  type LeaseTimings,
  computeLongestPartialRunMs,
} from './partial_run_bound.js';

// Lease renewal
export * from './lease_renewer_event.js';
export {LeaseRenewer} from './lease_renewer.js';
export type {
  LeaseRenewerOptions,
  LeaseRenewerDependencies,
} from './lease_renewer_options.js';

export {computeLeaseDigest} from './lease_digest.js';

// Fencing at a takeover
export {
  TargetFencer,
  type TargetFencerDependencies,
  type FencingResult,
} from './target_fencer.js';

// Health
export {type QuarantineRules, TargetHealth} from './target_health.js';

// Testing
export {advanceUntil} from './testing/advance.js';
export {
  MemoryTargets,
  type TargetCommand,
  type TargetFault,
} from './testing/memory_targets.js';
export type {RunEvent} from './testing/lease_model.js';
export {RunAudit} from './testing/run_audit.js';
export {
  type TargetCapacity,
  type TargetGuards,
  TargetModel,
  type TargetModelOptions,
} from './testing/target_model.js';
