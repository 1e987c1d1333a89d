/** Appends a record that must not be forgotten, for as long as the term is held. */
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

const MAX_DOUBLINGS = 10;
const RETRY_BASE_MS: Milliseconds = 50;
const RETRY_CAP_MS: Milliseconds = 2_000;

/** What an append that is retried needs. */
export interface AppendRetryDependencies {
  writer: Pick<LogWriter, 'append'>;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/**
 * Appends `body` for as long as it takes. Resolves to whether the fold
 * accepted it; false too when `signal` aborts first. The writer repeats an
 * append of unknown fate under the same record id, so the verdict is that of
 * the first copy. Only a full queue, which wrote nothing, is tried again here.
 */
export async function appendWithRetry(
  parts: AppendRetryDependencies,
  body: RecordBody,
  signal: AbortSignal,
): Promise<boolean> {
  for (let attempt = 0; !signal.aborted; attempt++) {
    try {
      const options = {deadline: Infinity, signal};
      const applied = await parts.writer.append(body, options);
      return applied.accepted;
    } catch (error) {
      parts.logger.warn('append-failed', {
        type: body.type,
        attempt,
        problem: describeError(error),
      });
      if (!isFailure(error, 'overloaded')) {
        return false;
      }
    }
    const pause = computeJitteredBackoff(
      Math.min(attempt, MAX_DOUBLINGS),
      RETRY_BASE_MS,
      RETRY_CAP_MS,
      parts.random,
    );
    await parts.clock.sleep(pause, signal);
  }
  return false;
}
