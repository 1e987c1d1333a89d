/**
 * Decides whether a failure domain may start work while the log cannot be
 * read. See docs/design/outage.md.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {FreshnessTracker} from './freshness.js';

/**
 * The operators' choice. `off` starts nothing without fresh knowledge of the
 * log. `finish-placed` also starts jobs whose `placed` record was accepted
 * before an outage that every known instance sees; it gives up the promise
 * about take-outs towards operators who write to the log by other ways.
 */
export type OutageSetting = 'off' | 'finish-placed';

/** An instance as it was heard last. */
export interface PeerObservation {
  /** Minus infinity when it was never heard. */
  lastHeardAt: Instant;
  /** Age of its newest proof of freshness when it was heard, in milliseconds. */
  freshnessAgeMs: Milliseconds;
}

/** What the decision rests on. */
export interface OutageSituation {
  now: Instant;
  freshness: Pick<FreshnessTracker, 'isFresh'>;
  /** Every known instance by failure domain, except this one. */
  peersByDomain: ReadonlyMap<string, readonly PeerObservation[]>;
  /** The other failure domains of the configuration. */
  otherDomains: readonly string[];
  setting: OutageSetting;
  /** Bound of freshness in milliseconds. */
  freshnessBoundMs: Milliseconds;
  /** Silence after which a peer counts as out of reach, in milliseconds. */
  suspectMs: Milliseconds;
}

/** `normal`: start as usual; `finish-placed`: finish the starts of placed jobs; `cut-off`: start nothing. */
export interface OutageDecision {
  mode: 'normal' | 'finish-placed' | 'cut-off';
  /** The failure domain that decided, if one did. */
  domain?: string;
  reason:
    | 'fresh'
    | 'setting-off'
    | 'domain-unknown'
    | 'peer-silent'
    | 'peer-fresh'
    | 'outage-everywhere';
}

/**
 * Decides the mode. One silent instance may be on the log's side of a
 * partition, so it ends the outage mode, and so does one that is fresh.
 */
export function decideOutageMode(situation: OutageSituation): OutageDecision {
  const {now, freshness, freshnessBoundMs: freshMs} = situation;
  if (freshness.isFresh(now, freshMs)) {
    return {mode: 'normal', reason: 'fresh'};
  }
  if (situation.setting === 'off') {
    return {mode: 'cut-off', reason: 'setting-off'};
  }
  const unknown = situation.otherDomains.find(
    domain => !situation.peersByDomain.get(domain)?.length,
  );
  if (unknown !== undefined) {
    return {mode: 'cut-off', domain: unknown, reason: 'domain-unknown'};
  }
  for (const [domain, peers] of situation.peersByDomain) {
    if (peers.some(peer => isSilent(peer, situation))) {
      return {mode: 'cut-off', domain, reason: 'peer-silent'};
    }
    if (peers.some(peer => isPeerFresh(peer, situation))) {
      return {mode: 'cut-off', domain, reason: 'peer-fresh'};
    }
  }
  return {mode: 'finish-placed', reason: 'outage-everywhere'};
}

function isSilent(
  peer: PeerObservation,
  {now, suspectMs}: OutageSituation,
): boolean {
  return now - peer.lastHeardAt > suspectMs;
}

function isPeerFresh(
  peer: PeerObservation,
  situation: OutageSituation,
): boolean {
  const age = peer.freshnessAgeMs + (situation.now - peer.lastHeardAt);
  return age <= situation.freshnessBoundMs;
}
