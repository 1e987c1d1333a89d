/**
 * The fold: the reducer of the ledger, a pure function of the state and the next
 * entry. Every instance gets the same results, since it uses only the content of
 * the log.
 */
import {type LogRecord, record as recordSchema} from '@galenavalve/model';
import {Failure, MAX_JSON_DEPTH, isTooDeep} from '@galenavalve/shared';
import {
  ACCEPTED,
  type FoldResult,
  type FoldDecision,
  reject,
} from '../fold_result.js';
import type {LogEntry} from '../log.js';
import type {LedgerState} from '../state.js';
import {
  foldFinished,
  foldPlaced,
  foldStarted,
  foldUnplaced,
} from './attempts.js';
import {foldClaimed} from './claims.js';
import {foldConfigured} from './configuration.js';
import {
  foldApproved,
  foldCancelled,
  foldMoved,
  foldSubmitted,
  foldWithdrawn,
} from './jobs.js';

/** Interval of the sweeps for expired items, in log time. */
const SWEEP_INTERVAL_MS = 60_000;

/** Applies the next entry of the log to the state. Invalid records are skipped and counted. */
export function applyEntry(state: LedgerState, entry: LogEntry): FoldResult {
  state.nextOffset = entry.offset + 1;
  if (isTooDeep(entry.value)) {
    const message = `nested deeper than ${MAX_JSON_DEPTH} levels`;
    return skipEntry(state, entry, {path: [], message});
  }
  const parsed = recordSchema.safeParse(entry.value);
  if (!parsed.success) {
    return skipEntry(state, entry, parsed.error.issues[0]);
  }
  const record = parsed.data;
  state.logTime.observe(record.by, record.at);
  sweep(state);
  const decision = foldRecord(state, record, entry.offset);
  return {offset: entry.offset, record, ...decision};
}

function foldRecord(
  state: LedgerState,
  record: LogRecord,
  offset: number,
): FoldDecision {
  switch (record.type) {
    case 'submitted':
      return foldSubmitted(state, record, offset);
    case 'withdrawn':
      return foldWithdrawn(state, record);
    case 'moved':
      return foldMoved(state, record);
    case 'approved':
      return foldApproved(state, record);
    case 'cancelled':
      return foldCancelled(state, record, offset);
    case 'claimed':
      return foldClaimed(state, record);
    case 'placed':
      return foldPlaced(state, record);
    case 'started':
      return foldStarted(state, record);
    case 'unplaced':
      return foldUnplaced(state, record, offset);
    case 'finished':
      return foldFinished(state, record, offset);
    case 'configured':
      return foldConfigured(state, record, offset);
    case 'snapshot-chunk':
      return state.snapshotTracker.observe(record, offset, state.logTime.value)
        ? ACCEPTED
        : reject('record-invalid');
  }
}

function skipEntry(
  state: LedgerState,
  entry: LogEntry,
  issue: {path: PropertyKey[]; message: string} | undefined,
): FoldResult {
  state.skippedCount += 1;
  const path = issue?.path.map(String).join('.') || 'record';
  const problem = new Failure('record-invalid', {
    offset: entry.offset,
    problem: `${path}: ${issue?.message ?? 'does not match the record schema'}`,
  });
  return {offset: entry.offset, ...reject('record-invalid', problem)};
}

/** Removes items whose request window has passed, at most once per sweep interval of log time. */
function sweep(state: LedgerState): void {
  const logTime = state.logTime.value;
  const sweepNumber = Math.floor(logTime / SWEEP_INTERVAL_MS);
  if (sweepNumber === state.sweepNumber) {
    return;
  }
  state.sweepNumber = sweepNumber;
  const {requestWindow} = state.options;
  state.finishedJobs.removeExpired(logTime, requestWindow);
  state.withdrawnRequests.removeExpired(logTime);
  state.changeHistory.removeExpired(logTime, requestWindow);
}
