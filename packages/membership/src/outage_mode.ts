/**
 * Decides whether a failure domain may start work while the log cannot be
 * read. See docs/design/outage.md.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {FreshnessTracker} from './freshness.js';

/** The operators' choice: `off` starts nothing new without the log. */
export type OutageSetting = 'off' | 'finish-placed';

/** An instance as it was heard last. */
export interface HeardPeer {
  lastHeardAt: Instant;
  /** Age of its newest proof of freshness when it was heard, in milliseconds. */
  freshnessAgeMs: Milliseconds;
}

/** What the decision rests on. */
export interface OutageSituation {
  now: Instant;
  freshness: Pick<FreshnessTracker, 'isFresh'>;
  /** Known instances by failure domain, this instance's domain included. */
  peersByDomain: ReadonlyMap<string, readonly HeardPeer[]>;
  /** Every failure domain of the configuration. */
  domains: readonly string[];
  setting: OutageSetting;
  /** Bound of freshness in milliseconds. */
  freshMs: Milliseconds;
  /** Silence after which a peer counts as out of reach, in milliseconds. */
  suspectMs: Milliseconds;
}

/** `normal`: start as usual; `declared`: finish the starts of placed jobs; `cut-off`: start nothing. */
export interface OutageDecision {
  mode: 'normal' | 'declared' | 'cut-off';
  /** The failure domain that ended the mode, if one did. */
  domain?: string;
  reason:
    | 'fresh'
    | 'setting-off'
    | 'domain-silent'
    | 'peer-fresh'
    | 'outage-everywhere';
}

/** Decides the mode. One silent domain is a possible partition and ends the declared mode. */
export function decideOutageMode(situation: OutageSituation): OutageDecision {
  const {now, freshness, freshMs} = situation;
  if (freshness.isFresh(now, freshMs)) {
    return {mode: 'normal', reason: 'fresh'};
  }
  if (situation.setting === 'off') {
    return {mode: 'cut-off', reason: 'setting-off'};
  }
  for (const domain of situation.domains) {
    const reachable = listReachable(situation, domain);
    if (reachable.length === 0) {
      return {mode: 'cut-off', domain, reason: 'domain-silent'};
    }
    if (reachable.some(peer => isPeerFresh(peer, situation))) {
      return {mode: 'cut-off', domain, reason: 'peer-fresh'};
    }
  }
  return {mode: 'declared', reason: 'outage-everywhere'};
}

function listReachable(
  {now, peersByDomain, suspectMs}: OutageSituation,
  domain: string,
): HeardPeer[] {
  const peers = peersByDomain.get(domain) ?? [];
  return peers.filter(peer => now - peer.lastHeardAt <= suspectMs);
}

function isPeerFresh(peer: HeardPeer, situation: OutageSituation): boolean {
  const age = peer.freshnessAgeMs + (situation.now - peer.lastHeardAt);
  return age <= situation.freshMs;
}
