/** Verdicts on claims: which instance schedules a failure domain. */
import type {Claimed, Term} from '@galenavalve/model';
import {ACCEPTED, type FoldDecision, reject} from '../fold_result.js';
import type {LedgerState} from '../state.js';

/** The first claim of the next term wins. */
export function foldClaimed(state: LedgerState, record: Claimed): FoldDecision {
  const present = state.terms.get(record.domain);
  if (record.term.log !== (present?.log ?? 0) + 1) {
    return reject('term-taken');
  }
  state.terms.set(record.domain, record.term);
  return ACCEPTED;
}

/**
 * Tells whether a record's term is the present one of its domain. The outage
 * part may differ: the log knows only the terms that it raised itself.
 */
export function hasCurrentTerm(
  state: LedgerState,
  record: {domain: string; term: Term},
): boolean {
  const present = state.terms.get(record.domain);
  return (
    present !== undefined &&
    present.log === record.term.log &&
    present.instance === record.term.instance
  );
}
