/** Settings, timeouts and limits of the dispatcher. */
import type {Milliseconds} from '@galenavalve/shared';

/** Settings of the dispatcher. The platform's limits replace the defaults. */
export interface DispatchSettings {
  /** Longest lease that targets grant. */
  maxLease: Milliseconds;
  /** Time after which a stopped run has ended. */
  stopTime: Milliseconds;
  /** Time that the members of a gang wait for each other to start. */
  gangTime: Milliseconds;
  /**
   * Time after acceptance within which urgent jobs inside a guarantee must
   * start.
   */
  reclaimTime: Milliseconds;
  /** Factor by which tasks take longer with a locality penalty. */
  rackFactor: number;
  /** Time that a restart from a checkpoint takes. */
  restoreTime: Milliseconds;
  /** Time between two checkpoints. */
  checkpointInterval: Milliseconds;
  /** Time by which occurrences may start before they are due. */
  earlyTime: Milliseconds;
  /** Minimum time for which ended jobs can be queried. */
  keepEnded: Milliseconds;
}

/** Default settings; they match the limits of the first clusters. */
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

/**
 * Lowest rate of a target's clock relative to this instance's; the platform
 * guarantees a deviation of at most 2%.
 */
export const MIN_CLOCK_RATE = 0.98;

/**
 * Deducted from leases, so that rounding and network latency cannot make one
 * longer than granted.
 */
export const LEASE_MARGIN_MS: Milliseconds = 200;

/**
 * A leader whose appends were not confirmed for this long stops extending
 * leases. Together with the lease this outlasts usual outages of the log. A new
 * leader waits equally long for targets that it cannot reach.
 */
export const MAX_UNCONFIRMED_MS: Milliseconds = 3000;

/**
 * Time that a poll waits for a new end; half of the maximum that targets
 * support.
 */
export const POLL_WAIT_MS: Milliseconds = 1000;

/** Timeout of a command; targets usually respond within a few milliseconds. */
export const COMMAND_TIMEOUT_MS: Milliseconds = 300;

/** Longest time after which a command that got no response may still be carried out. */
export const MAX_COMMAND_DELAY_MS: Milliseconds = 12_000;

/** Delay before a command is repeated that was refused or not acknowledged. */
export const COMMAND_RETRY_DELAY_MS: Milliseconds = 100;

/** Maximum age of a target's last listing for placing new runs on it. */
export const MAX_LISTING_AGE_MS: Milliseconds = 2600;

/**
 * Share of the gang time after which an incomplete gang start is rolled back.
 */
export const GANG_START_TIMEOUT_SHARE = 0.6;

/** Interval of the dispatcher's periodic work. */
export const TICK_INTERVAL_MS: Milliseconds = 100;

/**
 * Time that targets have to list their runs after a takeover. Until then, no
 * runs are stopped for others; targets that are cut off do not delay it further.
 */
export const TAKEOVER_LISTING_MS: Milliseconds = 500;
