/** Appends a record to the log and retries until it is written or the caller aborts. */
import type {LogWriter} from '@galenavalve/ledger';
import type {RecordBody} from '@galenavalve/model';
import {
  type Clock,
  type Logger,
  type Milliseconds,
  type Random,
  describeError,
  isFailure,
  computeJitteredBackoff,
} from '@galenavalve/shared';

/** Limit on the exponent of the backoff. */
const MAX_DOUBLINGS = 10;
const RETRY_BASE_DELAY_MS: Milliseconds = 50;
const MAX_RETRY_DELAY_MS: Milliseconds = 2_000;

/** Dependencies of an append with retries. */
export interface AppendRetryDependencies {
  writer: Pick<LogWriter, 'append'>;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/**
 * Appends `body` without a deadline. Resolves to whether the fold accepted the
 * record, and to false when `signal` aborts first or the append fails. The
 * writer retries an append with an unknown outcome under the same record id, so
 * the fold result is that of the first copy. Only `overloaded`, which means that
 * the writer's queue was full and nothing was written, is retried here.
 */
export async function appendWithRetry(
  dependencies: AppendRetryDependencies,
  body: RecordBody,
  signal: AbortSignal,
): Promise<boolean> {
  for (let attempt = 0; !signal.aborted; attempt++) {
    try {
      const options = {deadline: Infinity, signal};
      const applied = await dependencies.writer.append(body, options);
      return applied.accepted;
    } catch (error) {
      dependencies.logger.warn('append-failed', {
        type: body.type,
        attempt,
        problem: describeError(error),
      });
      if (!isFailure(error, 'overloaded')) {
        return false;
      }
    }
    const delayMs = computeJitteredBackoff(
      Math.min(attempt, MAX_DOUBLINGS),
      RETRY_BASE_DELAY_MS,
      MAX_RETRY_DELAY_MS,
      dependencies.random,
    );
    await dependencies.clock.sleep(delayMs, signal);
  }
  return false;
}
