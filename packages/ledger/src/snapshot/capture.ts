/**
 * A state at one offset, taken in one step that copies references only. The
 * fold replaces the values that these lead to and changes none of them, so
 * that it can go on while the capture is encoded.
 */
import type {VersionedEntity} from '@galenavalve/model';
import type {RecordedChange} from '../change_history.js';
import type {Job} from '../job.js';
import type {PackedJob} from '../packed_job.js';
import type {LedgerState} from '../state.js';
import {type HeaderSection, SNAPSHOT_FORMAT_VERSION} from './sections.js';

/** What a snapshot is made of. */
export interface StateCapture {
  readonly nextOffset: number;
  /** The header as JSON. */
  readonly header: string;
  readonly entities: readonly VersionedEntity[];
  readonly removed: readonly [key: string, version: number][];
  /** In an order from which the indexes are rebuilt as they are. */
  readonly unfinished: readonly Job[];
  readonly finished: readonly PackedJob[];
  readonly changes: readonly RecordedChange[];
  readonly withdrawn: readonly [requestId: string, until: number][];
}

/** Captures a state. */
export function captureState(state: LedgerState): StateCapture {
  const {entities, removed} = state.configurationStore.encode();
  return {
    nextOffset: state.nextOffset,
    header: JSON.stringify(createHeader(state)),
    entities,
    removed,
    unfinished: copyUnfinished(state),
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

function copyUnfinished(state: LedgerState): Job[] {
  const copies: Job[] = [];
  for (const domain of state.unfinishedJobs.listDomains()) {
    for (const job of state.listUnfinishedJobs(domain)) {
      copies.push({...job});
    }
  }
  return copies;
}
