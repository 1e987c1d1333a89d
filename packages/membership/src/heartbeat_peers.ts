/** Chooses the peers with which an instance exchanges heartbeats. */
import {hashText} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** Default number of alive peers in each remote failure domain with which an instance exchanges heartbeats. */
export const DEFAULT_PEERS_PER_REMOTE_DOMAIN = 1;

/** The selection in a remote failure domain ends once it includes more peers than this that are not alive. */
const SILENT_PEER_THRESHOLD = 2;

/**
 * Returns all peers of the own failure domain, and peers of each remote domain
 * until `peersPerRemoteDomain` of them are alive. The instances of a domain
 * choose different peers, so that updates cross between two domains over about
 * as many links as the domains have instances.
 */
export function chooseHeartbeatPeers(
  self: {instance: string; domain: string},
  peers: readonly PeerStatus[],
  peersPerRemoteDomain: number,
  isAlive: (peer: PeerStatus) => boolean,
): PeerStatus[] {
  const byDomain = new Map<string, PeerStatus[]>();
  for (const peer of peers) {
    const group = byDomain.get(peer.domain) ?? [];
    group.push(peer);
    byDomain.set(peer.domain, group);
  }
  const own = byDomain.get(self.domain) ?? [];
  byDomain.delete(self.domain);
  const remote = [...byDomain.values()].flatMap(group =>
    selectUntilEnoughAlive(
      sortByRendezvousHash(self.instance, group),
      peersPerRemoteDomain,
      isAlive,
    ),
  );
  return [...own, ...remote];
}

/**
 * Selects peers in the given order until `peersPerRemoteDomain` of them are
 * alive, or more than `SILENT_PEER_THRESHOLD` of them are not.
 */
function selectUntilEnoughAlive(
  ordered: readonly PeerStatus[],
  peersPerRemoteDomain: number,
  isAlive: (peer: PeerStatus) => boolean,
): PeerStatus[] {
  const chosen: PeerStatus[] = [];
  let aliveCount = 0;
  for (const peer of ordered) {
    if (
      aliveCount === peersPerRemoteDomain ||
      chosen.length - aliveCount > SILENT_PEER_THRESHOLD
    ) {
      break;
    }
    chosen.push(peer);
    aliveCount += isAlive(peer) ? 1 : 0;
  }
  return chosen;
}

/** Sorts peers by their rendezvous hash with `self`, highest first. */
function sortByRendezvousHash(
  self: string,
  group: readonly PeerStatus[],
): PeerStatus[] {
  const scored = group.map(peer => ({
    peer,
    score: hashText(`${self} ${peer.address.instance}`),
  }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.map(({peer}) => peer);
}
