/**
 * Splits a state into sections. Each is small enough to be encoded in one turn of
 * the event loop, and to fit in one record of the log.
 */
import type {Term, VersionedEntity} from '@galenavalve/model';
import type {RecordedChange} from '../change_history.js';
import type {Job} from '../job.js';
import type {TimeSample} from '../log_time.js';
import {unpackJob} from '../packed_job.js';
import type {LedgerState} from '../state.js';
import type {StateCapture} from './capture.js';
import type {EncodedSnapshotTracker} from './snapshot_tracker.js';

/** Version of the snapshot format. */
export const SNAPSHOT_FORMAT_VERSION = 1;

/** Length of the uncompressed JSON text at which a section is closed. */
const SECTION_THRESHOLD_BYTES = 256 * 1024;

/** The parts of the state that are not long lists. */
export interface HeaderSection {
  kind: 'header';
  format: number;
  nextOffset: number;
  skipped: number;
  sweepNumber: number;
  logTime: {value: number; samples: TimeSample[]};
  terms: [domain: string, term: Term][];
  snapshots: EncodedSnapshotTracker;
}

/** Item types by kind of section. */
export interface SectionItems {
  entities: VersionedEntity;
  removed: [key: string, version: number];
  jobs: Job;
  changes: RecordedChange;
  withdrawn: [requestId: string, expiresAt: number];
}

/** A section with items of one kind. */
export type ItemSection = {
  [Kind in keyof SectionItems]: {kind: Kind; items: SectionItems[Kind][]};
}[keyof SectionItems];

/** One section of a snapshot. */
export type Section = HeaderSection | ItemSection;

/** Yields the sections of a captured state as JSON text. */
export function* createSections(capture: StateCapture): Generator<string> {
  yield capture.header;
  yield* splitItems('entities', capture.entities);
  yield* splitItems('removed', capture.removed);
  yield* splitItems('jobs', listCapturedJobs(capture));
  yield* splitItems('changes', capture.changes);
  yield* splitItems('withdrawn', capture.withdrawn);
}

/** Adds the content of a section to a new state. Sections must be applied in their order. */
export function applySection(state: LedgerState, section: Section): void {
  switch (section.kind) {
    case 'header':
      applyHeader(state, section);
      break;
    case 'entities':
      state.configurationStore.restore({entities: section.items, removed: []});
      break;
    case 'removed':
      state.configurationStore.restore({entities: [], removed: section.items});
      break;
    case 'jobs':
      section.items.forEach(job => state.restoreJob(job));
      break;
    case 'changes':
      state.changeHistory.restore(section.items);
      break;
    case 'withdrawn':
      state.withdrawnRequests.restore(section.items);
      break;
  }
}

function applyHeader(state: LedgerState, header: HeaderSection): void {
  state.nextOffset = header.nextOffset;
  state.skippedCount = header.skipped;
  state.sweepNumber = header.sweepNumber;
  state.logTime.restore(header.logTime);
  for (const [domain, term] of header.terms) {
    state.terms.set(domain, term);
  }
  state.snapshotTracker.restore(header.snapshots);
}

function* listCapturedJobs({
  unfinished,
  finished,
}: StateCapture): Generator<Job> {
  for (const job of unfinished) {
    yield sortFields(job);
  }
  for (const packed of finished) {
    yield sortFields(unpackJob(packed));
  }
}

/**
 * Sorts the fields of a job, so that equal jobs have equal JSON whatever the
 * order in which their fields were set.
 */
function sortFields(job: Job): Job {
  const names = Object.keys(job).sort() as (keyof Job)[];
  return Object.fromEntries(names.map(name => [name, job[name]])) as never;
}

function* splitItems<Kind extends keyof SectionItems>(
  kind: Kind,
  items: Iterable<SectionItems[Kind]>,
): Generator<string> {
  let texts: string[] = [];
  let bytes = 0;
  for (const item of items) {
    const text = JSON.stringify(item);
    texts.push(text);
    bytes += text.length;
    if (bytes >= SECTION_THRESHOLD_BYTES) {
      yield joinItems(kind, texts);
      texts = [];
      bytes = 0;
    }
  }
  if (texts.length > 0) {
    yield joinItems(kind, texts);
  }
}

function joinItems(kind: string, texts: readonly string[]): string {
  return `{"kind":"${kind}","items":[${texts.join(',')}]}`;
}
