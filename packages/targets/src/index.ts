/** Reservations, whole-gang start, lease keeping and target health. */

// The platform's targets
export * from './target_client.js';

// Starting and stopping gangs
export {
  type AddressLookup,
  type GangMembers,
  type GangOrder,
  leaseKeyOf,
  leaseKeyText,
} from './gang_order.js';
export {
  GangStarter,
  type GangStartResult,
  type GangStarterOptions,
  type GangStarterParts,
  type ReservationResult,
} from './gang_start.js';
export {type GangStopResult, type StopOptions} from './gang_stop.js';

// Bounds
export {type GangTimes, longestPartialRunMs} from './bounds.js';

// Keeping leases
export * from './keeper_event.js';
export {LeaseKeeper} from './lease_keeper.js';
export type {
  LeaseKeeperOptions,
  LeaseKeeperParts,
} from './lease_keeper_options.js';

export {digestLeases} from './lease_digest.js';

// Taking over from an earlier scheduler
export {
  TakeoverReader,
  type TakeoverReaderParts,
  type TakeoverReading,
} from './takeover.js';

// Health
export {type QuarantineRules, TargetHealth} from './target_health.js';

// Testing
export {advanceUntil} from './testing/advance.js';
export {
  MemoryTargets,
  type TargetCommand,
  type TargetFault,
} from './testing/memory_targets.js';
export type {RunEvent} from './testing/model_lease.js';
export {RunAudit} from './testing/run_audit.js';
export {
  type TargetCapacity,
  type TargetGuards,
  TargetModel,
  type TargetModelOptions,
} from './testing/target_model.js';
