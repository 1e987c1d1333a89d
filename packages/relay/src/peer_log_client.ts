/** Calls to the log through another instance. */
import type {
  FencingToken,
  FencedAppendOutcome,
  FencedLog,
} from '@galenavalve/dispatch';
import type {AppendOutcome, RecordAppender} from '@galenavalve/gateway';
import type {Milliseconds} from '@galenavalve/shared';
import type {
  KeyedLog,
  KeyedRecord,
  NewestPage,
  TailPage,
} from '@galenavalve/workload';
import type {PeerEntry} from './peer_entry.js';

/** A log as every part of an instance uses it. */
export type SharedLog = KeyedLog & RecordAppender & FencedLog;

/** An append with all that belongs to it. */
export interface AppendCall {
  records: readonly KeyedRecord[];
  fencing?: FencingToken;
}

/** Carries calls to another instance, which makes them itself and passes them no further. */
export interface PeerLogClient {
  /** Never throws: an answer that did not come is an outcome. */
  append(
    peer: PeerEntry,
    log: string,
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome>;
  /** Throws when no whole answer comes. */
  readNewest(
    peer: PeerEntry,
    log: string,
    after: string | undefined,
    timeout: Milliseconds,
  ): Promise<NewestPage>;
  /** Throws when no whole answer comes within `wait` and `timeout`. */
  readTail(
    peer: PeerEntry,
    log: string,
    offset: number,
    wait: Milliseconds,
    timeout: Milliseconds,
  ): Promise<TailPage>;
}

/** Appends to a log, under an epoch or without. */
export function appendTo(
  log: SharedLog,
  {records, fencing}: AppendCall,
  timeout: Milliseconds,
): Promise<FencedAppendOutcome> {
  return fencing
    ? log.appendFenced(fencing, records, timeout)
    : log.append(records, timeout);
}

/** The outcome of an append without an epoch, which nothing can fence. */
export function toUnfencedOutcome(outcome: FencedAppendOutcome): AppendOutcome {
  return outcome.kind === 'fenced' || outcome.kind === 'moved'
    ? {kind: 'refused', problem: 'the log fenced an append without an epoch'}
    : outcome;
}
