/** Dependencies and timings of a lease renewer. */
import type {Clock, Logger, Milliseconds} from '@galenavalve/shared';
import type {AddressLookup} from './gang_attempt.js';
import type {TargetClient} from './target_client.js';

/** Timings of a lease renewer, in milliseconds. */
export interface LeaseRenewerOptions {
  /** Length of a lease. */
  leaseMs?: Milliseconds;
  /** Time between two rounds. */
  renewMs?: Milliseconds;
  /**
   * Limited to a quarter of `renewMs`, so that a round with unreachable targets
   * ends before the next.
   */
  callTimeoutMs: Milliseconds;
  /** Time between two polls of a target without work. */
  idlePollMs?: Milliseconds;
  /** Time between two requests for usage. */
  usagePollMs?: Milliseconds;
}

/** Dependencies of a lease renewer. */
export interface LeaseRenewerDependencies {
  client: TargetClient;
  findAddress: AddressLookup;
  clock: Clock;
  logger: Logger;
  options: LeaseRenewerOptions;
}

const DEFAULT_LEASE_MS = 6000;
const DEFAULT_RENEW_MS = 2000;
const DEFAULT_IDLE_POLL_MS = 10_000;
const DEFAULT_USAGE_POLL_MS = 30_000;

/** Number of failed calls in a round after which a target counts as unreachable. */
export const MAX_CALLS_PER_ROUND = 2;

/** Number of sequential calls in the longest round, which also renews recovered gangs. */
const MAX_SEQUENTIAL_CALLS_PER_ROUND = 2 * MAX_CALLS_PER_ROUND;

/** The timings with all defaults applied. */
export type ResolvedLeaseRenewerOptions = Required<LeaseRenewerOptions>;

/** Applies the defaults, and limits the call timeout so that the calls of a round fit into it. */
export function resolveLeaseRenewerOptions(
  options: LeaseRenewerOptions,
): ResolvedLeaseRenewerOptions {
  const renewMs = options.renewMs ?? DEFAULT_RENEW_MS;
  return {
    leaseMs: options.leaseMs ?? DEFAULT_LEASE_MS,
    renewMs,
    idlePollMs: options.idlePollMs ?? DEFAULT_IDLE_POLL_MS,
    usagePollMs: options.usagePollMs ?? DEFAULT_USAGE_POLL_MS,
    callTimeoutMs: Math.min(
      options.callTimeoutMs,
      renewMs / MAX_SEQUENTIAL_CALLS_PER_ROUND,
    ),
  };
}
