/** The size that the system is designed for, and states of a share of it. */
import type {RecordBody} from '@galenavalve/model';
import {
  CLAIM_RECORD,
  createConfiguredRecord,
  createEntities,
  createJobRecords,
} from './fixtures.js';

/** Sizes that the users named, and the two that they follow from by the mean run time. */
export const TWO_YEAR_SIZE = {
  workers: 8200,
  workspaces: 540,
  /** Running gangs: 6,600 jobs a day that run for 8 hours. */
  runningJobs: 2200,
  /** Tasks of one gang: 190,000 / 2,200. */
  tasksPerJob: 86,
  /** Jobs that ended within the window in which ids are remembered. */
  finishedJobs: 6600,
};

/** Entities of one configuration record. */
const EDITS_PER_RECORD = 500;

/** Records of a job that bring it to a phase. */
const RUNNING = 3;
const FINISHED = 4;

/** The records of a cluster of `share` times the two-year size. */
export function createClusterRecords(share: number): RecordBody[] {
  const size = TWO_YEAR_SIZE;
  const entities = createEntities(
    Math.round(size.workers * share),
    Math.max(4, Math.round(size.workspaces * share)),
  );
  const bodies: RecordBody[] = [];
  for (let first = 0; first < entities.length; first += EDITS_PER_RECORD) {
    const edited = entities.slice(first, first + EDITS_PER_RECORD);
    bodies.push(createConfiguredRecord(edited, 0, `setup-${first}`));
  }
  bodies.push(CLAIM_RECORD);
  const finished = Math.round(size.finishedJobs * share);
  const running = Math.round(size.runningJobs * share);
  for (let index = 0; index < finished + running; index++) {
    const phase = index < finished ? FINISHED : RUNNING;
    const records = createJobRecords(index, size.tasksPerJob);
    bodies.push(...records.slice(0, phase));
  }
  return bodies;
}
