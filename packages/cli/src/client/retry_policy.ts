/** How often and how long a call is repeated. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits of the attempts of one call. */
export interface RetryPolicy {
  /** The whole call is given up after this time, besides the time it asks the instance to wait. */
  callTimeoutMs: Milliseconds;
  /** An instance that does not answer a query for this time counts as silent. */
  queryTimeoutMs: Milliseconds;
  /** The same for a command; longer than a daemon waits for the log. */
  commandTimeoutMs: Milliseconds;
  /** After this time the next instance is asked as well; the first answer counts. */
  hedgeDelayMs: Milliseconds;
  maxAttempts: number;
  /** Pauses are a random share of `backoffBaseMs * 2^round`, at most `backoffCapMs`. */
  backoffBaseMs: Milliseconds;
  backoffCapMs: Milliseconds;
}

/** The policy of the command line. */
export const DEFAULT_RETRY_POLICY: RetryPolicy = {
  callTimeoutMs: 30_000,
  queryTimeoutMs: 3000,
  commandTimeoutMs: 8000,
  hedgeDelayMs: 2000,
  maxAttempts: 30,
  backoffBaseMs: 100,
  backoffCapMs: 5000,
};
