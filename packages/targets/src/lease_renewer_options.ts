/** What a lease keeper works with, and its times. */
import type {Clock, Logger, Milliseconds} from '@galenavalve/shared';
import type {AddressLookup} from './gang_attempt.js';
import type {TargetClient} from './target_client.js';

/** Times of the lease keeper, in milliseconds. */
export interface LeaseRenewerOptions {
  leaseMs?: Milliseconds;
  /** Time between two rounds. */
  renewMs?: Milliseconds;
  /** Shortened to a quarter of `renewMs`, so that a round with silent targets ends before the next. */
  callTimeoutMs: Milliseconds;
  /** Time between two questions to a target without work. */
  idlePollMs?: Milliseconds;
  /** Time between two questions for usage. */
  usagePollMs?: Milliseconds;
}

/** What the keeper works with. */
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
const DEFAULT_USAGE_MS = 30_000;

/** Times that a target is asked before it counts as silent. */
export const MAX_CALLS_PER_ROUND = 2;

/** Calls one after the other in a round in which gangs recover. */
const CALLS_OF_LONGEST_ROUND = 2 * MAX_CALLS_PER_ROUND;

/** The times with all defaults. */
export type ResolvedLeaseRenewerOptions = Required<LeaseRenewerOptions>;

/** Fills in the defaults, and fits the call timeout into a round. */
export function resolveLeaseRenewerOptions(
  options: LeaseRenewerOptions,
): ResolvedLeaseRenewerOptions {
  const renewMs = options.renewMs ?? DEFAULT_RENEW_MS;
  return {
    leaseMs: options.leaseMs ?? DEFAULT_LEASE_MS,
    renewMs,
    idlePollMs: options.idlePollMs ?? DEFAULT_IDLE_POLL_MS,
    usagePollMs: options.usagePollMs ?? DEFAULT_USAGE_MS,
    callTimeoutMs: Math.min(
      options.callTimeoutMs,
      renewMs / CALLS_OF_LONGEST_ROUND,
    ),
  };
}
