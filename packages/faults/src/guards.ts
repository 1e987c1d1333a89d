/** Safeguards of the promises; tests switch each off to show that the checks detect its absence. */
import type {Milliseconds} from '@galenavalve/shared';
import type {TargetGuards} from '@galenavalve/targets';

/** Largest age of the configuration at which work may start. */
export const FRESHNESS_BOUND_MS: Milliseconds = 2000;

/** Time to live of a reservation. */
export const RESERVATION_TTL_MS: Milliseconds = 2000;

/** Safeguards of one exploration. */
export interface Guards {
  /** Safeguards of the targets; those omitted are on. */
  targets: Partial<TargetGuards>;
  /** Work starts only while the configuration is at most `FRESHNESS_BOUND_MS` old. */
  freshness: boolean;
  /** Time to live of reservations. */
  reservationMs: Milliseconds;
  /** Another instance takes over from a scheduler that is silent. */
  succession: boolean;
  /** A process serves callers only after it has caught up with the log. */
  catchUp: boolean;
  /** The log reports an append as rejected only if nothing was written. */
  accurateLogErrors: boolean;
  /** Placement reclaims borrowed capacity for guaranteed jobs. */
  guarantees: boolean;
}

/** Every safeguard is on. */
export const ALL_GUARDS: Guards = {
  targets: {},
  freshness: true,
  reservationMs: RESERVATION_TTL_MS,
  succession: true,
  catchUp: true,
  accurateLogErrors: true,
  guarantees: true,
};
