/** Updates the peer table periodically from the platform's instance list. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {InstanceList} from './instance_list.js';
import type {PeerTable} from './peer_table.js';

/** Options of `pollInstanceList`. */
export interface InstanceListPollerOptions {
  instanceList: InstanceList;
  table: PeerTable;
  clock: Clock;
  logger: Logger;
  /** Time between two reads, and the timeout of each. */
  intervalMs: Milliseconds;
}

/** Reads the list periodically until `signal` aborts. A failed read leaves the peer table unchanged. */
export async function pollInstanceList(
  {instanceList, table, clock, logger, intervalMs}: InstanceListPollerOptions,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    try {
      const listed = await instanceList.list(intervalMs);
      table.applyInstanceList(listed, clock.now());
    } catch (error) {
      logger.warn('instance-list-failed', {problem: describeError(error)});
    }
    await clock.sleep(intervalMs, signal);
  }
}
