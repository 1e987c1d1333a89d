/**
 * Withdraws a request whose submission had no known outcome, so that the
 * response to the caller can be "not run".
 */
import {type Instant, isFailure} from '@galenavalve/shared';
import type {LogWriter} from './writer.js';

/**
 * `withdrawn`: the request has not run and never will, even if its record is
 * appended late. `recorded`: it has a job. `unknown`: the outcome of the
 * withdrawal itself is not known.
 */
export type WithdrawalResult = 'withdrawn' | 'recorded' | 'unknown';

/** Withdraws a request id unless it already has a job. The id cannot be used again. */
export async function withdrawRequest(
  writer: Pick<LogWriter, 'append'>,
  requestId: string,
  deadline: Instant,
): Promise<WithdrawalResult> {
  try {
    const body = {type: 'withdrawn', requestId} as const;
    const {accepted} = await writer.append(body, {deadline});
    return accepted ? 'withdrawn' : 'recorded';
  } catch (error) {
    if (isFailure(error)) {
      return 'unknown';
    }
    throw error;
  }
}
