import t from 'tap';
import {SilentLogger} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type JobSpec,
  type KeyedRecord,
  JobTable,
  type Progress,
  type UnitProgress,
  createOccurrence,
  encodeAccepted,
  encodeJobTombstones,
  encodeProgressRecords,
} from '@galenavalve/workload';

/** Limits of the platform for a record and for an append, in bytes. */
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;

/** Creates a job of steps of 1,000 tasks, and one more of the rest. */
function createSpec(tasks: number): JobSpec {
  const createStep = (count: number) => ({
    count,
    demand: {cpu: 1, memoryMb: 1, accelerators: 0},
    estimateMs: 1,
    dependsOn: [],
    isGang: false,
    isRackSensitive: false,
    savesProgress: true,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
  });
  const steps = [];
  for (let left = tasks; left > 0; left -= 1000) {
    steps.push(createStep(Math.min(left, 1000)));
  }
  return {payload: '', steps};
}

function createJob(spec: JobSpec): AcceptedJob {
  return {
    queue: 'q',
    workspace: 'w',
    acceptedAt: 5,
    terms: {pool: 'p', priority: 0, maxAttempts: 1, stretch: 1, latencyMs: 0},
    spec,
  };
}

/** Creates progress of running tasks, each with a checkpoint and a target of its own. */
function createRunning(spec: JobSpec, checkpoint = '00000bb87a21d94b') {
  const occurrence = createOccurrence(spec, 0);
  for (const [index, unit] of occurrence.steps.flat().entries()) {
    unit.run = 1;
    unit.checkpoint = checkpoint;
    unit.placedOn = [
      {incarnation: `i-${index}@1783141169063`, address: `10.3.64.1:${index}`},
    ];
  }
  const progress: Progress = {
    outcome: 'active',
    hasBegun: true,
    doneOccurrences: 0,
    occurrences: [occurrence],
  };
  return progress;
}

function measure({key, value}: KeyedRecord): number {
  return Buffer.byteLength(key) + Buffer.byteLength(value) + 5;
}

function listUnits({occurrences}: Progress): UnitProgress[] {
  return occurrences.flatMap(({steps}) => steps.flat());
}

function readFrom(table: JobTable, id: string): Progress {
  const {progress, progressParts} = table.find(id)!;
  return progress!.read(progressParts);
}

// Guards against a record of progress beyond the platform's limit, which was appended again and again and kept all other records back (issue 47).
t.test(
  'the progress of a job of any number of tasks is read as it was written, from records that the platform accepts',
  t => {
    for (const [count, checkpoint] of [
      [2, 'c'],
      [8000, '00000bb87a21d94b'],
      [3000, '\u00e9\u4e2d\ud83d\ude00"\\'],
    ] as const) {
      const spec = createSpec(count);
      const progress = createRunning(spec, checkpoint);
      const {records} = encodeProgressRecords('1', progress);
      for (const record of records) {
        t.ok(measure(record) <= RECORD_BYTES, `${measure(record)} bytes`);
      }
      for (const ordered of [records, [...records].reverse()]) {
        const table = new JobTable(new SilentLogger());
        ordered.forEach((record, offset) => table.apply({...record, offset}));
        table.apply({...encodeAccepted('1', createJob(spec)), offset: 99});
        t.same(readFrom(table, '1'), {...progress, endedAt: undefined});
      }
    }
    t.end();
  },
);

t.test(
  'parts that are no longer needed are deleted, with the job all of them',
  t => {
    const spec = createSpec(8000);
    const table = new JobTable(new SilentLogger());
    let offset = 0;
    const apply = (records: readonly KeyedRecord[]) =>
      records.forEach(record => table.apply({...record, offset: offset++}));
    apply([encodeAccepted('1', createJob(spec))]);
    const large = encodeProgressRecords('1', createRunning(spec));
    apply(large.records);
    t.equal(table.find('1')!.progressParts!.size, large.partCount);
    const small = {...createRunning(spec), doneOccurrences: 1, occurrences: []};
    const shrunk = encodeProgressRecords('1', small, large.partCount);
    t.equal(shrunk.partCount, 0);
    apply(shrunk.records);
    t.equal(table.find('1')!.progressParts, undefined);
    t.same(readFrom(table, '1'), {...small, endedAt: undefined});
    apply(large.records);
    const parts = table.find('1')!.progressParts!.keys();
    apply(encodeJobTombstones('1', parts));
    t.equal(table.find('1'), undefined);
    apply([encodeAccepted('1', createJob(spec))]);
    t.equal(table.find('1')!.progressParts, undefined);
    t.end();
  },
);

t.test('progress of which a part is missing is not read', t => {
  const spec = createSpec(8000);
  const table = new JobTable(new SilentLogger());
  const {records} = encodeProgressRecords('1', createRunning(spec));
  table.apply({...encodeAccepted('1', createJob(spec)), offset: 0});
  records.slice(1).forEach((record, index) => {
    table.apply({...record, offset: 1 + index});
  });
  t.throws(() => readFrom(table, '1'));
  t.end();
});

t.test(
  'progress too large for one append keeps its runs, failures and ends',
  t => {
    const spec = createSpec(12_000);
    const progress = createRunning(spec, 'c'.repeat(200));
    listUnits(progress)[7]!.isDone = true;
    const {records} = encodeProgressRecords('1', progress);
    const size = records.reduce((sum, record) => sum + measure(record), 0);
    t.ok(size <= CALL_BYTES, `${size} bytes`);
    const table = new JobTable(new SilentLogger());
    table.apply({...encodeAccepted('1', createJob(spec)), offset: 0});
    records.forEach((record, index) => {
      table.apply({...record, offset: 1 + index});
    });
    const units = listUnits(readFrom(table, '1'));
    t.equal(units[7]!.isDone, true);
    t.equal(units[8]!.run, 1);
    t.same(units[8]!.placedOn, listUnits(progress)[8]!.placedOn);
    t.end();
  },
);
