/**
 * The state as a list of sections, each small enough to be encoded between
 * two turns of the loop and to be one record of the log.
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

/** Text after which a section is closed, in bytes before compression. */
const SECTION_BYTES = 256 * 1024;

/** What is not a list of many items. */
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

/** The types of the items by kind of section. */
export interface SectionItems {
  entities: VersionedEntity;
  removed: [key: string, version: number];
  jobs: Job;
  changes: RecordedChange;
  withdrawn: [requestId: string, until: number];
}

/** A list of items of one kind. */
export type ItemSection = {
  [Kind in keyof SectionItems]: {kind: Kind; items: SectionItems[Kind][]};
}[keyof SectionItems];

export type Section = HeaderSection | ItemSection;

/** Yields the sections of a captured state as JSON. */
export function* createSections(capture: StateCapture): Generator<string> {
  yield capture.header;
  yield* splitItems('entities', capture.entities);
  yield* splitItems('removed', capture.removed);
  yield* splitItems('jobs', jobsOf(capture));
  yield* splitItems('changes', capture.changes);
  yield* splitItems('withdrawn', capture.withdrawn);
}

/** Adds what a section holds to a new state. Sections come in their order. */
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

function* jobsOf({unfinished, finished}: StateCapture): Generator<Job> {
  for (const job of unfinished) {
    yield orderFields(job);
  }
  for (const packed of finished) {
    yield orderFields(unpackJob(packed));
  }
}

/** Equal jobs get equal text, whatever the order in which their fields were set. */
function orderFields(job: Job): Job {
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
    if (bytes >= SECTION_BYTES) {
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
