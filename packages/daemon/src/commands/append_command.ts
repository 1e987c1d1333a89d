/** Appends the record of a command to the log. */
import type {FoldResult} from '@galenavalve/ledger';
import type {RecordBody} from '@galenavalve/model';
import {Failure, isFailure} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {checkServing} from './check_serving.js';

/**
 * Appends a record and returns its fold result. Throws `outcome-unknown` when
 * the log did not acknowledge the record in time, and `not-ready` or `stopping`
 * when the daemon is not serving.
 */
export async function appendCommand(
  context: DaemonContext,
  requestId: string,
  body: RecordBody,
): Promise<FoldResult> {
  checkServing(context);
  const deadline =
    context.clock.now() + context.settings.timings.appendTimeoutMs;
  try {
    return await context.writer.append(body, {deadline});
  } catch (error) {
    if (isFailure(error, 'append-uncertain')) {
      throw new Failure('outcome-unknown', {requestId}, {cause: error});
    }
    throw error;
  }
}
