/** Derives from the reports of peers whether the scheduler of a failure domain is alive. */
import {compareTerms} from '@galenavalve/model';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** Returns the peer that reports to schedule `domain`; if several do, the one with the highest term. */
export function findScheduler(
  peers: readonly PeerStatus[],
  domain: string,
): PeerStatus | undefined {
  let scheduler: PeerStatus | undefined;
  for (const peer of peers) {
    const schedules = peer.report?.schedules;
    if (schedules?.domain !== domain) {
      continue;
    }
    const highestTerm = scheduler?.report?.schedules?.term;
    if (!highestTerm || compareTerms(schedules.term, highestTerm) > 0) {
      scheduler = peer;
    }
  }
  return scheduler;
}

/** Returns the time since the scheduler of `domain` was heard directly, for reports to the domain's other instances. */
export function computeSchedulerHeardAge(
  peers: readonly PeerStatus[],
  domain: string,
  now: Instant,
): Milliseconds | undefined {
  const scheduler = findScheduler(peers, domain);
  return scheduler && now - scheduler.lastHeardAt;
}

/**
 * Returns when `instance`, a scheduler of `domain`, was last heard, directly or
 * according to the report of another instance of the domain, so that a single
 * broken connection does not cause a takeover.
 */
export function findLastHeardAt(
  peers: readonly PeerStatus[],
  domain: string,
  instance: string,
): Instant | undefined {
  const directPeer = peers.find(peer => peer.address.instance === instance);
  const isScheduler =
    findScheduler(peers, domain)?.address.instance === instance;
  const reportedTimes = isScheduler ? listReportedTimes(peers, domain) : [];
  const latestAt = Math.max(
    directPeer?.lastHeardAt ?? -Infinity,
    ...reportedTimes,
  );
  return Number.isFinite(latestAt) ? latestAt : undefined;
}

/** Lists the times at which the peers of `domain` report to have heard its scheduler. */
function listReportedTimes(
  peers: readonly PeerStatus[],
  domain: string,
): Instant[] {
  return peers
    .filter(peer => peer.domain === domain)
    .map(({reportMadeAfter, report}) => {
      const ageMs = report?.schedulerHeardAgeMs;
      return ageMs === undefined ? -Infinity : reportMadeAfter - ageMs;
    });
}
