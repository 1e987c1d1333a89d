/**
 * Decides which instance claims the scheduler's term of a failure domain.
 *
 * The decision is only a restraint: the log lets the first claim of a term
 * win, and the targets refuse lower terms. It keeps takeovers quick, rare and
 * without rivals.
 */
import {
  type Instant,
  type Milliseconds,
  type Random,
  hashText,
  nextInteger,
} from '@galenavalve/shared';
import {type Term, isSameTerm} from '@galenavalve/model';

/** Silence of a holder after which its successor claims. */
export const SUSPECT_AFTER_MS = 1600;

/** Lead that each instance in the order of succession has over the next. */
export const SUCCESSION_STEP_MS = 400;

/** Time in which takeovers are counted; each doubles the silence that the next one needs. */
export const TAKEOVER_WINDOW_MS = 60_000;

const MAX_DOUBLINGS = 5;
const FIRST_RETRY_MS = 300;
const MAX_RETRY_DOUBLINGS = 4;

/** What the decision rests on. */
export interface ClaimSituation {
  now: Instant;
  domain: string;
  /** This instance. */
  self: string;
  /** This instance has caught up with the log and its knowledge is fresh. */
  isSelfReady: boolean;
  isSelfLeaving: boolean;
  /** The domain's term in the log; undefined when it never had one. */
  currentTerm?: Term;
  /** When this instance first saw `presentTerm`, or became ready if there is none. */
  termSeenAt: Instant;
  /** The term that this process claimed itself and still holds. */
  heldTerm?: Term;
  /** Instances of the domain that are alive, ready and not leaving; may hold `self`. */
  eligibleInstances: readonly string[];
  /** When the holder was last heard: directly, by a peer's word, or by a record that it wrote. */
  holderLastHeardAt?: Instant;
  /** Since when the holder, or the platform's list, says that it is leaving. */
  holderLeavingSince?: Instant;
  /** Since when the holder says that it is not ready, such as cut off from the log. */
  holderNotReadySince?: Instant;
  /** Claims for the domain in the log within the last `TAKEOVER_WINDOW_MS`. */
  recentTakeovers: number;
  /** Earliest time of the next own claim, from `nextClaimAt`. */
  notBefore?: Instant;
  suspectMs?: Milliseconds;
}

/** Why a decision about a term was taken. */
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

/** What to do about the domain's term. */
export interface ClaimDecision {
  kind: 'keep' | 'wait' | 'claim';
  reason: ClaimReason;
}

/** Decides whether `self` keeps the term, waits, or claims the next term. */
export function decideClaim(situation: ClaimSituation): ClaimDecision {
  const {now, self, currentTerm: presentTerm, heldTerm} = situation;
  if (presentTerm && heldTerm && isSameTerm(presentTerm, heldTerm)) {
    return {kind: 'keep', reason: 'holder-is-self'};
  }
  if (situation.isSelfLeaving) {
    return {kind: 'wait', reason: 'self-leaving'};
  }
  if (!situation.isSelfReady) {
    return {kind: 'wait', reason: 'self-not-ready'};
  }
  const vacancy = findVacancy(situation);
  if (now < vacancy.since) {
    return {kind: 'wait', reason: 'holder-alive'};
  }
  if (situation.notBefore !== undefined && now < situation.notBefore) {
    return {kind: 'wait', reason: 'backing-off'};
  }
  const isRestarted = presentTerm?.instance === self;
  const rank = isRestarted ? 0 : rankOf(situation);
  if (now < vacancy.since + rank * SUCCESSION_STEP_MS) {
    return {kind: 'wait', reason: 'other-successor-first'};
  }
  return {kind: 'claim', reason: vacancy.reason};
}

/** Earliest time of the next claim after `attempts` own claims that lost or failed, with jitter. */
export function computeNextClaimTime(
  now: Instant,
  attempts: number,
  random: Random,
): Instant {
  const range = FIRST_RETRY_MS * 2 ** Math.min(attempts, MAX_RETRY_DOUBLINGS);
  return now + range / 2 + nextInteger(random, range);
}

interface Vacancy {
  /** When the first in the order of succession may claim. */
  since: Instant;
  reason: ClaimReason;
}

function findVacancy(situation: ClaimSituation): Vacancy {
  const {currentTerm: presentTerm, termSeenAt} = situation;
  if (!presentTerm) {
    return {since: termSeenAt, reason: 'no-holder'};
  }
  if (presentTerm.instance === situation.self) {
    return {since: termSeenAt, reason: 'restarted'};
  }
  const {holderLeavingSince, holderNotReadySince} = situation;
  if (holderLeavingSince !== undefined) {
    const since = Math.max(termSeenAt, holderLeavingSince);
    return {since, reason: 'holder-leaving'};
  }
  const silence = requiredSilence(situation);
  if (holderNotReadySince !== undefined) {
    const since = Math.max(termSeenAt, holderNotReadySince) + silence;
    return {since, reason: 'holder-not-ready'};
  }
  const heardAt = situation.holderLastHeardAt ?? -Infinity;
  const since = Math.max(termSeenAt, heardAt) + silence;
  return {since, reason: 'holder-silent'};
}

/** Two rivals that cannot hear each other but reach the log would take turns; doubling ends it. */
function requiredSilence(situation: ClaimSituation): Milliseconds {
  const extraTakeovers = Math.max(0, situation.recentTakeovers - 1);
  const doublings = Math.min(MAX_DOUBLINGS, extraTakeovers);
  return (situation.suspectMs ?? SUSPECT_AFTER_MS) * 2 ** doublings;
}

/** Place of `self` in the order of succession, by rendezvous hashing over the term that ended. */
function rankOf(situation: ClaimSituation): number {
  const {
    domain,
    self,
    currentTerm: presentTerm,
    eligibleInstances: aliveInDomain,
  } = situation;
  const key = `${domain} ${presentTerm?.log ?? 0} ${presentTerm?.outage ?? 0}`;
  const ownScore = hashText(`${key} ${self}`);
  return aliveInDomain.filter(
    other =>
      other !== self &&
      other !== presentTerm?.instance &&
      hashText(`${key} ${other}`) > ownScore,
  ).length;
}
