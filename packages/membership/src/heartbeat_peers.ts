/** Chooses the peers that an instance exchanges beats with. */
import {hashText} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** Peers of each other failure domain that an instance exchanges beats with. */
export const DEFAULT_PEERS_PER_REMOTE_DOMAIN = 1;

/** Silent peers of another failure domain that are still tried, beside the links that work. */
const MAX_SILENT_LINKS = 2;

/**
 * All peers of the own failure domain, and `degree` of each other domain that
 * are not silent. The choices of a domain's instances differ, so that news
 * crosses between two domains over about as many links as they have instances.
 */
export function chooseHeartbeatPeers(
  self: {instance: string; domain: string},
  peers: readonly PeerStatus[],
  degree: number,
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
  const others = [...byDomain.values()].flatMap(group =>
    chooseFrom(orderFor(self.instance, group), degree, isAlive),
  );
  return [...own, ...others];
}

/** The first in order, until `degree` of them are alive. */
function chooseFrom(
  ordered: readonly PeerStatus[],
  degree: number,
  isAlive: (peer: PeerStatus) => boolean,
): PeerStatus[] {
  const chosen: PeerStatus[] = [];
  let alive = 0;
  for (const peer of ordered) {
    if (alive === degree || chosen.length - alive > MAX_SILENT_LINKS) {
      break;
    }
    chosen.push(peer);
    alive += isAlive(peer) ? 1 : 0;
  }
  return chosen;
}

/** The peers in the order of rendezvous hashing for `self`. */
function orderFor(self: string, group: readonly PeerStatus[]): PeerStatus[] {
  const scored = group.map(peer => ({
    peer,
    score: hashText(`${self} ${peer.address.instance}`),
  }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.map(({peer}) => peer);
}
