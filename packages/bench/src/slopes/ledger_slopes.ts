/** Measures the cost of jobs, tasks and configuration in the folded state and in the log. */
import type {RecordBody} from '@galenavalve/model';
import {
  TASKS_PER_ASSIGNMENT,
  countRecordBytes,
  createConfiguredRecord,
  createEntities,
  createJobRecords,
  createState,
  createTarget,
  foldAll,
  foldSerializedEntries,
  serializeEntries,
} from './fixtures.js';
import {measureHeapBytes, measureTimeMs} from './measurement.js';
import {type Slope, measureSlope} from './slope.js';

const JOB_COUNTS = [400, 800, 1600, 3200];
const ASSIGNMENT_COUNTS = [1, 8, 32, 128];
const ENTITY_COUNTS = [1000, 2000, 4000, 8000];
const TARGETS = 400;
const WORKSPACES = 4;

/** Number of running gangs whose assignments are varied. */
const MULTI_TARGET_JOBS = 200;

/** Number of records after which a job is queued, running or finished. */
const QUEUED_RECORDS = 1;
const RUNNING_RECORDS = 3;
const FINISHED_RECORDS = 4;

/** Number of changes that are measured together. */
const CHANGE_REPETITIONS = 20;

/** Measures all slopes of the ledger. */
export async function measureLedger(): Promise<Slope[]> {
  return [
    await measureSlope(
      {
        id: 'state-queued-job',
        over: 'queued jobs',
        measured: 'heap bytes of the state',
      },
      JOB_COUNTS,
      jobs => measureJobsHeapBytes(jobs, TASKS_PER_ASSIGNMENT, QUEUED_RECORDS),
    ),
    await measureSlope(
      {
        id: 'state-running-job',
        over: 'running gangs of one part',
        measured: 'heap bytes of the state',
      },
      JOB_COUNTS,
      jobs => measureJobsHeapBytes(jobs, TASKS_PER_ASSIGNMENT, RUNNING_RECORDS),
    ),
    await measureSlope(
      {
        id: 'state-running-part',
        over: `parts (${TASKS_PER_ASSIGNMENT} tasks on one target) of ${MULTI_TARGET_JOBS} running gangs`,
        measured: 'heap bytes of the state',
      },
      ASSIGNMENT_COUNTS.map(assignments => assignments * MULTI_TARGET_JOBS),
      assignments =>
        measureJobsHeapBytes(
          MULTI_TARGET_JOBS,
          (assignments / MULTI_TARGET_JOBS) * TASKS_PER_ASSIGNMENT,
          RUNNING_RECORDS,
        ),
    ),
    await measureSlope(
      {
        id: 'state-finished-job',
        over: `finished jobs of ${TASKS_PER_ASSIGNMENT} tasks`,
        measured: 'heap bytes of the state',
      },
      JOB_COUNTS,
      jobs =>
        measureJobsHeapBytes(jobs, TASKS_PER_ASSIGNMENT, FINISHED_RECORDS),
    ),
    await measureSlope(
      {
        id: 'state-target',
        over: 'configured targets',
        measured: 'heap bytes of the state',
      },
      ENTITY_COUNTS,
      targets => measureHeapBytes(() => createState(targets, WORKSPACES)),
    ),
    await measureSlope(
      {
        id: 'state-workspace',
        over: 'configured workspaces',
        measured: 'heap bytes of the state',
      },
      ENTITY_COUNTS,
      workspaces => measureHeapBytes(() => createState(TARGETS, workspaces)),
    ),
    await measureSlope(
      {
        id: 'fold-record',
        over: `records of jobs of ${TASKS_PER_ASSIGNMENT} tasks`,
        measured: 'ms to parse and fold',
      },
      JOB_COUNTS.map(jobs => jobs * FINISHED_RECORDS),
      records => measureFoldMs(records / FINISHED_RECORDS),
    ),
    await measureSlope(
      {
        id: 'fold-change',
        over: 'configured targets',
        measured: 'ms to parse and fold one change of one target',
      },
      ENTITY_COUNTS,
      measureChangeMs,
    ),
    await measureSlope(
      {
        id: 'record-job',
        over: 'tasks of one job',
        measured: 'bytes of its four records',
      },
      [4, 32, 128, 512],
      tasks => sumRecordBytes(createJobRecords(1, tasks)),
    ),
    await measureSlope(
      {
        id: 'record-change',
        over: 'targets that one change edits',
        measured: 'bytes of its record',
      },
      [1, 8, 64, 512],
      targets =>
        countRecordBytes(
          createConfiguredRecord(createEntities(targets, 0).slice(2), 1),
        ),
    ),
  ];
}

function createRecords(jobs: number, tasks: number, perJob: number) {
  const records: RecordBody[] = [];
  for (let index = 0; index < jobs; index++) {
    records.push(...createJobRecords(index, tasks).slice(0, perJob));
  }
  return records;
}

function measureJobsHeapBytes(
  jobs: number,
  tasks: number,
  perJob: number,
): number {
  const state = createState(TARGETS, WORKSPACES);
  return measureHeapBytes(() => {
    foldAll(state, createRecords(jobs, tasks, perJob));
    return state;
  });
}

function measureFoldMs(jobs: number): number {
  const records = createRecords(jobs, TASKS_PER_ASSIGNMENT, FINISHED_RECORDS);
  const texts = serializeEntries(
    records,
    createState(TARGETS, WORKSPACES).nextOffset,
  );
  return measureTimeMs(
    () => createState(TARGETS, WORKSPACES),
    state => foldSerializedEntries(state, texts),
  );
}

function measureChangeMs(targets: number): number {
  const timeMs = measureTimeMs(
    () => {
      const state = createState(targets, WORKSPACES);
      return {state, texts: createChanges(state.nextOffset)};
    },
    ({state, texts}) => {
      for (const text of texts) {
        foldSerializedEntries(state, [text]);
        // Includes the read of the new configuration, which scheduling does after every change.
        void state.configuration.targets.size;
      }
    },
  );
  return timeMs / CHANGE_REPETITIONS;
}

function createChanges(offset: number): string[] {
  const bodies = Array.from({length: CHANGE_REPETITIONS}, (_, index) =>
    createConfiguredRecord([createTarget(0, 1024 * (index + 2))], index + 1),
  );
  return serializeEntries(bodies, offset);
}

function sumRecordBytes(records: readonly RecordBody[]): number {
  return records.reduce((total, record) => total + countRecordBytes(record), 0);
}
