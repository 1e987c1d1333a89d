/** Tells the other instances of this one, and drops those that are long gone. */
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

/** An instance writes its entry anew this often. */
const REFRESH: Milliseconds = 600_000;

/** An entry that was not written anew for this long is dropped: three refreshes. */
const GONE_AFTER: Milliseconds = 1_800_000;

/** Most entries that one refresh drops. */
const MAX_DROPPED = 50;

/** Longest wait for an append, and the backoff after one that failed. */
const APPEND_TIMEOUT: Milliseconds = 1000;
const RETRY_BASE: Milliseconds = 200;
const RETRY_CAP: Milliseconds = 5000;

/** Keeps the entry of `self` fresh for as long as the process lives. */
export async function announcePeer(
  self: Omit<PeerEntry, 'writtenAt'>,
  parts: {
    log: SharedLog;
    peers: PeerDirectory;
    clock: Clock;
    random: Random;
    logger: Logger;
  },
): Promise<never> {
  const {log, peers, clock, random, logger} = parts;
  for (;;) {
    for (let attempt = 0; ; attempt++) {
      const now = clock.wallTime();
      const gone = peers
        .listPeers()
        .filter(({writtenAt}) => now - writtenAt > GONE_AFTER)
        .slice(0, MAX_DROPPED)
        .map(({instance}) => encodePeerTombstone(instance));
      const records = [encodePeer({...self, writtenAt: now}), ...gone];
      const outcome = await log.append(records, APPEND_TIMEOUT);
      if (outcome.kind === 'appended') {
        logger.info('announced', {cores: self.cores, dropped: gone.length});
        break;
      }
      await clock.sleep(
        RETRY_BASE +
          computeJitteredBackoff(attempt, RETRY_BASE, RETRY_CAP, random),
      );
    }
    await clock.sleep(REFRESH);
  }
}
