/** Times and limits of the dispatcher. Each default says where its figure comes from. */
import type {Milliseconds} from '@galenavalve/shared';

/** Settings of the dispatcher; the platform's bounds replace the first group. */
export interface DispatchSettings {
  /** Longest lease that targets grant. */
  maxLease: Milliseconds;
  /** A stopped run is gone after this time. */
  stopTime: Milliseconds;
  /** Members of a gang wait this long for each other. */
  gangTime: Milliseconds;
  /** Urgent jobs inside a guarantee must have begun after this time. */
  reclaimTime: Milliseconds;
  /** Slowdown of tasks away from their rack. */
  rackFactor: number;
  /** Time that a restart from a checkpoint takes. */
  restoreTime: Milliseconds;
  /** Work between two checkpoints. */
  checkpointInterval: Milliseconds;
  /** Occurrences may start this much before they are due. */
  earlyTime: Milliseconds;
  /** Ended jobs are known for at least this long. */
  keepEnded: Milliseconds;
}

/** Bounds that the first installations share. */
export const DEFAULT_SETTINGS: DispatchSettings = {
  maxLease: 10_000,
  stopTime: 400,
  gangTime: 3000,
  reclaimTime: 2900,
  rackFactor: 3,
  restoreTime: 250,
  checkpointInterval: 1000,
  earlyTime: 250,
  keepEnded: 120_000,
};

/** A target's clock may run this much slow; the platform's pages give 2%. */
export const MIN_CLOCK_RATE = 0.98;

/** Kept from a lease so that rounding and the answer's way never make it longer than granted. */
export const LEASE_MARGIN_MS: Milliseconds = 200;

/** A holder whose writes were not confirmed for this long stops extending leases. With the lease itself it outlasts the usual outage of the log; a successor waits as long for targets that it cannot reach. */
export const MAX_UNCONFIRMED_MS: Milliseconds = 3000;

/** A listing waits this long for an end; half of the longest that targets grant. */
export const POLL_WAIT_MS: Milliseconds = 1000;

/** An order is normally answered in a few milliseconds; a target that does not answer is asked again after this. */
export const COMMAND_TIMEOUT_MS: Milliseconds = 300;

/** Pause before an unanswered or refused order is sent again. */
export const COMMAND_RETRY_DELAY_MS: Milliseconds = 100;

/** A target is used for new runs only while its last listing is younger than this. */
export const MAX_LISTING_AGE_MS: Milliseconds = 2600;

/** Share of the gang time after which a start that is still incomplete is taken back. */
export const GANG_START_TIMEOUT_SHARE = 0.6;

/** The dispatcher looks at everything at least this often. */
export const TICK_INTERVAL_MS: Milliseconds = 100;
