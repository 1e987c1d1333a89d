/** What peers say about the scheduler of a failure domain. */
import {compareTerms} from '@galenavalve/model';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** The peer that says it schedules `domain`; of several, the one with the highest term. */
export function findScheduler(
  peers: readonly PeerStatus[],
  domain: string,
): PeerStatus | undefined {
  let found: PeerStatus | undefined;
  for (const peer of peers) {
    const schedules = peer.report?.schedules;
    if (schedules?.domain !== domain) {
      continue;
    }
    const highest = found?.report?.schedules?.term;
    if (!highest || compareTerms(schedules.term, highest) > 0) {
      found = peer;
    }
  }
  return found;
}

/** How long ago the scheduler of `domain` was heard, for relay to the domain's other instances. */
export function computeSchedulerHeardAge(
  peers: readonly PeerStatus[],
  domain: string,
  now: Instant,
): Milliseconds | undefined {
  const scheduler = findScheduler(peers, domain);
  return scheduler && now - scheduler.lastHeardAt;
}

/**
 * When `instance`, a scheduler of `domain`, was last heard: directly, or by the
 * word of another instance of the domain. So one cut connection ends no term.
 */
export function findLastHeardAt(
  peers: readonly PeerStatus[],
  domain: string,
  instance: string,
): Instant | undefined {
  const direct = peers.find(peer => peer.address.instance === instance);
  const isScheduler =
    findScheduler(peers, domain)?.address.instance === instance;
  const times = isScheduler ? listRelayedTimes(peers, domain) : [];
  const latest = Math.max(direct?.lastHeardAt ?? -Infinity, ...times);
  return Number.isFinite(latest) ? latest : undefined;
}

function listRelayedTimes(
  peers: readonly PeerStatus[],
  domain: string,
): Instant[] {
  return peers
    .filter(peer => peer.domain === domain)
    .map(({reportMadeAfter, report}) => {
      const age = report?.schedulerHeardAgeMs;
      return age === undefined ? -Infinity : reportMadeAfter - age;
    });
}
