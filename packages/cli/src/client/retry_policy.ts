/** Timeouts and limits of retries. */
import type {Milliseconds} from '@galenavalve/shared';

/** Limits of the attempts of one call. */
export interface RetryPolicy {
  /** Timeout of the whole call, to which the wait that the call requests is added. */
  callTimeoutMs: Milliseconds;
  /** Timeout of one attempt of a query, to which the wait is added. */
  queryTimeoutMs: Milliseconds;
  /** Timeout of one attempt of a command; longer than a daemon waits for the log. */
  commandTimeoutMs: Milliseconds;
  /** Delay before a hedged request goes to the next instance; the first response counts. */
  hedgeDelayMs: Milliseconds;
  /** Maximum number of attempts of one call. */
  maxAttempts: number;
  /** A backoff is a random fraction of `backoffBaseMs * 2^round`, at most `backoffCapMs`. */
  backoffBaseMs: Milliseconds;
  backoffCapMs: Milliseconds;
}

/** Default retry policy, which the command line uses. */
export const DEFAULT_RETRY_POLICY: RetryPolicy = {
  callTimeoutMs: 30_000,
  queryTimeoutMs: 3000,
  commandTimeoutMs: 8000,
  hedgeDelayMs: 2000,
  maxAttempts: 30,
  backoffBaseMs: 100,
  backoffCapMs: 5000,
};
