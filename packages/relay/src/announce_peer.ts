/** Announces this instance to its peers (the other instances) through the log, and deletes expired entries. */
import {
  type Clock,
  type Logger,
  type Milliseconds,
  type Random,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import type {PeerDirectory} from './peer_directory.js';
import {type PeerEntry, encodePeer, encodePeerTombstone} from './peer_entry.js';
import type {SharedLog} from './peer_log_client.js';

/** Interval at which an instance writes its entry again. */
const REFRESH_INTERVAL_MS: Milliseconds = 600_000;

/** Age at which an entry expires: three refresh intervals. */
const ENTRY_TTL_MS: Milliseconds = 1_800_000;

/** Maximum number of entries that are deleted in one refresh. */
const MAX_DELETED_ENTRIES = 50;

/** Timeout of an append, and bounds of the backoff after a failed one. */
const APPEND_TIMEOUT_MS: Milliseconds = 1000;
const RETRY_BASE_MS: Milliseconds = 200;
const RETRY_CAP_MS: Milliseconds = 5000;

/** Writes the entry of `self` at every refresh interval until the process ends. Failed appends are retried. */
export async function announcePeer(
  self: Omit<PeerEntry, 'writtenAt'>,
  dependencies: {
    log: SharedLog;
    peers: PeerDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
  },
): Promise<never> {
  const {log, peers, clock, random, logger} = dependencies;
  for (;;) {
    for (let attempt = 0; ; attempt++) {
      const now = clock.wallTime();
      const tombstones = peers
        .listPeers()
        .filter(({writtenAt}) => now - writtenAt > ENTRY_TTL_MS)
        .slice(0, MAX_DELETED_ENTRIES)
        .map(({instance}) => encodePeerTombstone(instance));
      const records = [encodePeer({...self, writtenAt: now}), ...tombstones];
      const outcome = await log.append(records, APPEND_TIMEOUT_MS);
      if (outcome.kind === 'appended') {
        logger.info('announced', {
          cores: self.cores,
          dropped: tombstones.length,
        });
        break;
      }
      await clock.sleep(
        RETRY_BASE_MS +
          computeJitteredBackoff(attempt, RETRY_BASE_MS, RETRY_CAP_MS, random),
      );
    }
    await clock.sleep(REFRESH_INTERVAL_MS);
  }
}
