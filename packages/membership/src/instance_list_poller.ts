/** Keeps the peers up with the platform's list of instances. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  describeError,
} from '@galenavalve/shared';
import type {InstanceList} from './instance_list.js';
import type {PeerTable} from './peer_table.js';

/** What is followed, and how often. */
export interface InstanceListPollerOptions {
  instanceList: InstanceList;
  table: PeerTable;
  clock: Clock;
  logger: Logger;
  intervalMs: Milliseconds;
}

/** Reads the list until `signal` aborts. What was known stays while it cannot be read. */
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
