/** Makes a "not run" certain after a submission whose fate is unknown. */
import {type Instant, isFailure} from '@galenavalve/shared';
import type {LogWriter} from './writer.js';

/**
 * `withdrawn`: the request has not run and never will, also when its record
 * arrives late. `recorded`: it has a job. `unknown`: the log did not say.
 */
export type WithdrawalResult = 'withdrawn' | 'recorded' | 'unknown';

/** Withdraws a request id unless it has a job already. The id cannot be used again. */
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
