/**
 * Defines the two-year size, the cluster size that users expect in two years and
 * that the system is designed for, and creates records of clusters of a share of
 * it.
 */
import type {RecordBody} from '@galenavalve/model';
import {
  CLAIM_RECORD,
  createConfiguredRecord,
  createEntities,
  createJobRecords,
} from './fixtures.js';

/** Sizes that users expect in two years, and two that follow from them and the mean run time. */
export const TWO_YEAR_SIZE = {
  workers: 8200,
  workspaces: 540,
  /** Running gangs: 6,600 jobs a day with a run time of 8 hours. */
  runningJobs: 2200,
  /** Tasks of one gang: 190,000 / 2,200. */
  tasksPerJob: 86,
  /** Jobs that ended within the period for which the ledger remembers their ids. */
  finishedJobs: 6600,
};

/** Number of entities of one configuration record. */
const EDITS_PER_RECORD = 500;

/** Number of records after which a job is running or finished. */
const RUNNING_RECORDS = 3;
const FINISHED_RECORDS = 4;

/** Creates the records of a cluster of `share` times the two-year size. */
export function createClusterRecords(share: number): RecordBody[] {
  const size = TWO_YEAR_SIZE;
  const entities = createEntities(
    Math.round(size.workers * share),
    Math.max(4, Math.round(size.workspaces * share)),
  );
  const bodies: RecordBody[] = [];
  for (let first = 0; first < entities.length; first += EDITS_PER_RECORD) {
    const batch = entities.slice(first, first + EDITS_PER_RECORD);
    bodies.push(createConfiguredRecord(batch, 0, `setup-${first}`));
  }
  bodies.push(CLAIM_RECORD);
  const finished = Math.round(size.finishedJobs * share);
  const running = Math.round(size.runningJobs * share);
  for (let index = 0; index < finished + running; index++) {
    const recordCount = index < finished ? FINISHED_RECORDS : RUNNING_RECORDS;
    const records = createJobRecords(index, size.tasksPerJob);
    bodies.push(...records.slice(0, recordCount));
  }
  return bodies;
}
