/**
 * Decides which instance claims the scheduler's term of a failure domain.
 *
 * A term is the fencing token of a domain's scheduler, and its holder is the
 * instance that claimed it. Safety does not depend on this decision: the log
 * accepts only the first claim of a term, and targets refuse lower terms. The
 * decision keeps takeovers fast and rare, and avoids competing claims.
 */
import {
  type Instant,
  type Milliseconds,
  type Random,
  hashText,
  nextInteger,
} from '@galenavalve/shared';
import {type Term, isSameTerm} from '@galenavalve/model';

/** Time without a heartbeat from the holder after which its successor claims the next term. */
export const SUSPECT_AFTER_MS = 1600;

/** Delay between the claims of two instances that are adjacent in the order of succession. */
export const SUCCESSION_STEP_MS = 400;

/** Window in which takeovers are counted; each one after the first doubles the silence that the next one requires. */
export const TAKEOVER_WINDOW_MS = 60_000;

const MAX_SILENCE_DOUBLINGS = 5;
const INITIAL_BACKOFF_MS = 300;
const MAX_BACKOFF_DOUBLINGS = 4;

/** Input of `decideClaim`. Instants are times of the local monotonic clock. */
export interface ClaimSituation {
  now: Instant;
  domain: string;
  /** Name of this instance. */
  self: string;
  /** Whether this instance has caught up with the log and its state is fresh. */
  isSelfReady: boolean;
  /** Whether this instance is shutting down gracefully. */
  isSelfLeaving: boolean;
  /** The domain's latest term in the log; undefined when the domain never had one. */
  currentTerm?: Term;
  /** When this instance first saw `currentTerm`, or was started if there is none. */
  termSeenAt: Instant;
  /** The latest term that this process has claimed successfully. */
  heldTerm?: Term;
  /** Instances of the domain that are alive, ready and not leaving; may include `self`. */
  eligibleInstances: readonly string[];
  /** When the holder was last known to be alive, from its own heartbeats or from the reports of other peers. */
  holderLastHeardAt?: Instant;
  /** Since when the holder or the platform's instance list has reported that it is leaving. */
  holderLeavingSince?: Instant;
  /** Since when the holder has reported that it is not ready, for example because it cannot reach the log. */
  holderNotReadySince?: Instant;
  /** Number of accepted claims for the domain within the last `TAKEOVER_WINDOW_MS`. */
  recentTakeovers: number;
  /** Earliest time of the next claim by this instance, from `computeNextClaimTime`. */
  notBefore?: Instant;
  /** Silence after which the holder is suspected; `SUSPECT_AFTER_MS` when absent. */
  suspectMs?: Milliseconds;
}

/** Reason of a claim decision. */
export type ClaimReason =
  | 'holder-is-self'
  | 'holder-alive'
  | 'self-not-ready'
  | 'self-leaving'
  | 'backing-off'
  | 'other-successor-first'
  | 'no-holder'
  | 'holder-silent'
  | 'holder-leaving'
  | 'holder-not-ready'
  | 'restarted';

/** Outcome of `decideClaim`. */
export interface ClaimDecision {
  kind: 'keep' | 'wait' | 'claim';
  reason: ClaimReason;
}

/** Decides whether `self` keeps its term, waits, or claims the next term. */
export function decideClaim(situation: ClaimSituation): ClaimDecision {
  const {now, self, currentTerm, heldTerm} = situation;
  if (currentTerm && heldTerm && isSameTerm(currentTerm, heldTerm)) {
    return {kind: 'keep', reason: 'holder-is-self'};
  }
  if (situation.isSelfLeaving) {
    return {kind: 'wait', reason: 'self-leaving'};
  }
  if (!situation.isSelfReady) {
    return {kind: 'wait', reason: 'self-not-ready'};
  }
  const claimWindow = computeClaimWindow(situation);
  if (now < claimWindow.opensAt) {
    return {kind: 'wait', reason: 'holder-alive'};
  }
  if (situation.notBefore !== undefined && now < situation.notBefore) {
    return {kind: 'wait', reason: 'backing-off'};
  }
  const isRestarted = currentTerm?.instance === self;
  const rank = isRestarted ? 0 : computeSuccessionRank(situation);
  if (now < claimWindow.opensAt + rank * SUCCESSION_STEP_MS) {
    return {kind: 'wait', reason: 'other-successor-first'};
  }
  return {kind: 'claim', reason: claimWindow.reason};
}

/** Returns the earliest time of the next claim after `attempts` consecutive claims that were rejected or failed: exponential backoff with jitter. */
export function computeNextClaimTime(
  now: Instant,
  attempts: number,
  random: Random,
): Instant {
  const backoffMs =
    INITIAL_BACKOFF_MS * 2 ** Math.min(attempts, MAX_BACKOFF_DOUBLINGS);
  return now + backoffMs / 2 + nextInteger(random, backoffMs);
}

/** Time from which the next term may be claimed. */
interface ClaimWindow {
  /** When the first instance in the order of succession may claim. */
  opensAt: Instant;
  reason: ClaimReason;
}

function computeClaimWindow(situation: ClaimSituation): ClaimWindow {
  const {currentTerm, termSeenAt} = situation;
  if (!currentTerm) {
    return {opensAt: termSeenAt, reason: 'no-holder'};
  }
  if (currentTerm.instance === situation.self) {
    return {opensAt: termSeenAt, reason: 'restarted'};
  }
  const {holderLeavingSince, holderNotReadySince} = situation;
  if (holderLeavingSince !== undefined) {
    const opensAt = Math.max(termSeenAt, holderLeavingSince);
    return {opensAt, reason: 'holder-leaving'};
  }
  const silenceMs = computeRequiredSilence(situation);
  if (holderNotReadySince !== undefined) {
    const opensAt = Math.max(termSeenAt, holderNotReadySince) + silenceMs;
    return {opensAt, reason: 'holder-not-ready'};
  }
  const lastHeardAt = situation.holderLastHeardAt ?? -Infinity;
  const opensAt = Math.max(termSeenAt, lastHeardAt) + silenceMs;
  return {opensAt, reason: 'holder-silent'};
}

/**
 * Returns the silence that a takeover requires. Two instances that both reach
 * the log but not each other would keep taking over from one another; doubling
 * the required silence with each recent takeover prevents this.
 */
function computeRequiredSilence(situation: ClaimSituation): Milliseconds {
  const extraTakeovers = Math.max(0, situation.recentTakeovers - 1);
  const doublings = Math.min(MAX_SILENCE_DOUBLINGS, extraTakeovers);
  return (situation.suspectMs ?? SUSPECT_AFTER_MS) * 2 ** doublings;
}

/** Returns the zero-based rank of `self` in the order of succession, by rendezvous hashing over the current term. */
function computeSuccessionRank(situation: ClaimSituation): number {
  const {domain, self, currentTerm, eligibleInstances} = situation;
  const key = `${domain} ${currentTerm?.log ?? 0} ${currentTerm?.outage ?? 0}`;
  const ownScore = hashText(`${key} ${self}`);
  return eligibleInstances.filter(
    other =>
      other !== self &&
      other !== currentTerm?.instance &&
      hashText(`${key} ${other}`) > ownScore,
  ).length;
}
