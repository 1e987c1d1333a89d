/** Folds claims, which decide which instance schedules a failure domain. */
import type {Claimed, Term} from '@galenavalve/model';
import {ACCEPTED, type FoldDecision, reject} from '../fold_result.js';
import type {LedgerState} from '../state.js';

/** Folds a claim. Accepts the first claim of the next term. */
export function foldClaimed(state: LedgerState, record: Claimed): FoldDecision {
  const current = state.terms.get(record.domain);
  if (record.term.log !== (current?.log ?? 0) + 1) {
    return reject('term-taken');
  }
  state.terms.set(record.domain, record.term);
  return ACCEPTED;
}

/**
 * Tells whether a record has the current term of its domain. The `outage` part
 * may differ: the state contains only terms that were raised by claims in the log.
 */
export function hasCurrentTerm(
  state: LedgerState,
  record: {domain: string; term: Term},
): boolean {
  const current = state.terms.get(record.domain);
  return (
    current !== undefined &&
    current.log === record.term.log &&
    current.instance === record.term.instance
  );
}
