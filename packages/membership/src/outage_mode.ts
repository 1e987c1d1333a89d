/**
 * Decides the outage mode: whether a failure domain may start work while the
 * log cannot be read. See docs/design/outage.md.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {FreshnessTracker} from './freshness.js';

/**
 * Setting of the operators for outages of the log. `off` starts nothing while
 * the state is not fresh. `finish-placed` also starts jobs whose `placed` record
 * was accepted before an outage that every known instance observes; it gives up
 * the promise about take-outs for operators who write to the log by other means.
 */
export type OutageSetting = 'off' | 'finish-placed';

/** The latest heartbeat of an instance. */
export interface PeerObservation {
  /** When the heartbeat was received; `-Infinity` when there was none. */
  lastHeardAt: Instant;
  /** Age of the newest freshness proof of the instance at that time. */
  freshnessAgeMs: Milliseconds;
}

/** Input of `decideOutageMode`. */
export interface OutageSituation {
  now: Instant;
  /** Freshness of this instance. */
  freshness: Pick<FreshnessTracker, 'isFresh'>;
  /** All known instances except this one, by failure domain. */
  peersByDomain: ReadonlyMap<string, readonly PeerObservation[]>;
  /** Failure domains of the configuration other than that of this instance. */
  otherDomains: readonly string[];
  setting: OutageSetting;
  /** Highest age at which a state counts as fresh. */
  freshnessBoundMs: Milliseconds;
  /** Time without a heartbeat after which a peer is suspected. */
  suspectMs: Milliseconds;
}

/** Outcome of `decideOutageMode`. */
export interface OutageDecision {
  /** `normal`: start as usual; `finish-placed`: finish the starts of placed jobs; `cut-off`: start nothing. */
  mode: 'normal' | 'finish-placed' | 'cut-off';
  /** The failure domain that determined the mode, if any. */
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
 * Decides the outage mode. A single suspected or fresh peer rules out
 * `finish-placed`: a suspected peer may still reach the log from the other side
 * of a network partition.
 */
export function decideOutageMode(situation: OutageSituation): OutageDecision {
  const {now, freshness, freshnessBoundMs} = situation;
  if (freshness.isFresh(now, freshnessBoundMs)) {
    return {mode: 'normal', reason: 'fresh'};
  }
  if (situation.setting === 'off') {
    return {mode: 'cut-off', reason: 'setting-off'};
  }
  const unknownDomain = situation.otherDomains.find(
    domain => !situation.peersByDomain.get(domain)?.length,
  );
  if (unknownDomain !== undefined) {
    return {mode: 'cut-off', domain: unknownDomain, reason: 'domain-unknown'};
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
  const ageMs = peer.freshnessAgeMs + (situation.now - peer.lastHeardAt);
  return ageMs <= situation.freshnessBoundMs;
}
