/** Interface of calls to the log through a peer. */
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

/** The log as the parts of an instance share it: for reads, and for appends with or without a fencing token. */
export type SharedLog = KeyedLog & RecordAppender & FencedLog;

/** Arguments of an append; `fencing` is absent for appends that need no leadership, whose condition is `endsAt`. */
export interface AppendCall {
  records: readonly KeyedRecord[];
  fencing?: FencingToken;
  endsAt?: number;
}

/** Sends calls to a peer, which executes them on its direct path to the log and does not forward them. */
export interface PeerLogClient {
  /** Appends through a peer. Never rejects: a missing response is reported as an outcome. */
  append(
    peer: PeerEntry,
    log: string,
    call: AppendCall,
    timeout: Milliseconds,
  ): Promise<FencedAppendOutcome>;
  /** Reads a page of the newest record of each key through a peer. Rejects if no complete response arrives within `timeout` milliseconds. */
  readNewest(
    peer: PeerEntry,
    log: string,
    after: string | undefined,
    timeout: Milliseconds,
  ): Promise<NewestPage>;
  /** Reads the records from `offset` on through a peer. Rejects if no complete response arrives within `wait` plus `timeout` milliseconds. */
  readTail(
    peer: PeerEntry,
    log: string,
    offset: number,
    wait: Milliseconds,
    timeout: Milliseconds,
  ): Promise<TailPage>;
}

/** Appends to a log, with a fencing token if the call has one. */
export function appendTo(
  log: SharedLog,
  {records, fencing, endsAt}: AppendCall,
  timeout: Milliseconds,
): Promise<FencedAppendOutcome> {
  return fencing
    ? log.appendFenced(fencing, records, timeout)
    : log.append(records, timeout, endsAt);
}

/** Converts the outcome of an append without a fencing token, which cannot be fenced. */
export function toUnfencedOutcome(outcome: FencedAppendOutcome): AppendOutcome {
  return outcome.kind === 'fenced'
    ? {
        kind: 'refused',
        problem: 'the log fenced an append that has no fencing token',
      }
    : outcome;
}
