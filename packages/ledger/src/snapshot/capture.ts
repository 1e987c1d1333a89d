/**
 * Captures a state at one offset in one synchronous step that copies only
 * references. The fold replaces the referenced values and never mutates them, so
 * it can continue while the capture is encoded.
 */
import type {VersionedEntity} from '@galenavalve/model';
import type {RecordedChange} from '../change_history.js';
import type {Job} from '../job.js';
import type {PackedJob} from '../packed_job.js';
import type {LedgerState} from '../state.js';
import {type HeaderSection, SNAPSHOT_FORMAT_VERSION} from './sections.js';

/** The content of a snapshot before it is encoded. */
export interface StateCapture {
  readonly nextOffset: number;
  /** The header as JSON. */
  readonly header: string;
  readonly entities: readonly VersionedEntity[];
  readonly removed: readonly [key: string, version: number][];
  /** In an order from which a restore rebuilds the indexes in the same order. */
  readonly unfinished: readonly Job[];
  readonly finished: readonly PackedJob[];
  readonly changes: readonly RecordedChange[];
  readonly withdrawn: readonly [requestId: string, expiresAt: number][];
}

/** Captures the current state. */
export function captureState(state: LedgerState): StateCapture {
  const {entities, removed} = state.configurationStore.encode();
  return {
    nextOffset: state.nextOffset,
    header: JSON.stringify(createHeader(state)),
    entities,
    removed,
    unfinished: copyUnfinishedJobs(state),
    finished: state.finishedJobs.capture(),
    changes: state.changeHistory.encode(),
    withdrawn: state.withdrawnRequests.encode(),
  };
}

function createHeader(state: LedgerState): HeaderSection {
  return {
    kind: 'header',
    format: SNAPSHOT_FORMAT_VERSION,
    nextOffset: state.nextOffset,
    skipped: state.skippedCount,
    sweepNumber: state.sweepNumber,
    logTime: state.logTime.encode(),
    terms: [...state.terms],
    snapshots: state.snapshotTracker.encode(),
  };
}

function copyUnfinishedJobs(state: LedgerState): Job[] {
  const copies: Job[] = [];
  for (const domain of state.unfinishedJobs.listDomains()) {
    for (const job of state.listUnfinishedJobs(domain)) {
      copies.push({...job});
    }
  }
  return copies;
}
