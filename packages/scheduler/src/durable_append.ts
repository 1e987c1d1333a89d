/** Appends a record that must not be forgotten, for as long as the term is held. */
import type {LogWriter} from '@galenavalve/ledger';
import type {RecordBody} from '@galenavalve/model';
import {
  type Clock,
  type Logger,
  type Milliseconds,
  type Random,
  describeError,
  jitteredBackoff,
} from '@galenavalve/shared';

const APPEND_TIMEOUT_MS: Milliseconds = 5_000;
const RETRY_BASE_MS: Milliseconds = 50;
const RETRY_CAP_MS: Milliseconds = 2_000;

/** What an append that is retried needs. */
export interface DurableAppendParts {
  writer: Pick<LogWriter, 'append'>;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/**
 * Appends `body` until the log has it; every record of a scheduler is
 * idempotent, so a second copy does no harm. Resolves to whether the fold
 * accepted it; false too when `signal` aborts first.
 */
export async function appendDurably(
  parts: DurableAppendParts,
  body: RecordBody,
  signal: AbortSignal,
): Promise<boolean> {
  for (let attempt = 0; !signal.aborted; attempt++) {
    try {
      const deadline = parts.clock.now() + APPEND_TIMEOUT_MS;
      const applied = await parts.writer.append(body, {deadline});
      return applied.accepted;
    } catch (error) {
      parts.logger.warn('append-retried', {
        type: body.type,
        attempt,
        problem: describeError(error),
      });
    }
    const pause = jitteredBackoff(
      Math.min(attempt, 10),
      RETRY_BASE_MS,
      RETRY_CAP_MS,
      parts.random,
    );
    await parts.clock.sleep(pause, signal);
  }
  return false;
}
