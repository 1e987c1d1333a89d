/** How often and how long a call is repeated. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits of the attempts of one call. */
export interface RetryPolicy {
  /** The whole call is given up after this time, besides the time it asks the instance to wait. */
  deadline: Milliseconds;
  /** An instance that does not answer a query for this time counts as silent. */
  queryTimeout: Milliseconds;
  /** The same for a command; longer than a daemon waits for the log. */
  commandTimeout: Milliseconds;
  /** After this time the next instance is asked as well; the first answer counts. */
  hedgeDelay: Milliseconds;
  maxAttempts: number;
  /** Pauses are a random share of `backoffBase * 2^round`, at most `backoffCap`. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

/** The policy of the command line. */
export const defaultRetryPolicy: RetryPolicy = {
  deadline: 30_000,
  queryTimeout: 3000,
  commandTimeout: 8000,
  hedgeDelay: 2000,
  maxAttempts: 30,
  backoffBase: 100,
  backoffCap: 5000,
};
