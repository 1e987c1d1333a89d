/** What protects the promises; each can be switched off to show what it prevents. */
import type {Milliseconds} from '@galenavalve/shared';
import type {TargetGuards} from '@galenavalve/targets';

/** Longest age of the configuration at which work starts. */
export const FRESHNESS_BOUND_MS: Milliseconds = 2000;

/** Time to live of a reservation. */
export const RESERVATION_TTL_MS: Milliseconds = 2000;

/** The guards of one exploration. */
export interface Guards {
  targets: Partial<TargetGuards>;
  /** Starts only with a configuration that is known to be fresh. */
  freshness: boolean;
  reservationMs: Milliseconds;
  /** Another instance takes over from one that is silent. */
  succession: boolean;
  /** A process serves only after it has caught up with the log. */
  catchUp: boolean;
  /** The log never says that nothing was written when something was. */
  accurateLogErrors: boolean;
  /** Placement keeps what is promised within reach. */
  guarantees: boolean;
}

/** All guards in place. */
export const ALL_GUARDS: Guards = {
  targets: {},
  freshness: true,
  reservationMs: RESERVATION_TTL_MS,
  succession: true,
  catchUp: true,
  accurateLogErrors: true,
  guarantees: true,
};
