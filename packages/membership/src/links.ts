/** Chooses the peers that an instance exchanges beats with. */
import {hashText} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** Peers of each other failure domain that an instance exchanges beats with. */
export const DEFAULT_DEGREE = 2;

/**
 * All peers of the own failure domain, and `degree` of each other domain. The
 * choice of a domain's instances differs, so that news crosses over many links.
 */
export function chooseLinks(
  self: {instance: string; domain: string},
  peers: readonly PeerStatus[],
  degree: number,
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
    chooseFrom(self.instance, group, degree),
  );
  return [...own, ...others];
}

function chooseFrom(
  self: string,
  group: readonly PeerStatus[],
  degree: number,
): PeerStatus[] {
  const scored = group.map(peer => ({
    peer,
    score: hashText(`${self} ${peer.address.instance}`),
  }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.slice(0, degree).map(({peer}) => peer);
}
