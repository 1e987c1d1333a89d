import t from 'tap';
import {SilentLogger} from '@galenavalve/shared';
import {
  type AcceptedJob,
  JobTable,
  createProgress,
  encodeAccepted,
  encodeCancelled,
  encodeEarlyCancellation,
  encodeEarlyCancellationTombstone,
  formatEarlyCancellationKey,
  encodeJobTombstones,
  encodeLeadership,
  encodeProgress,
  formatTaskName,
  parseTaskName,
  getJobState,
} from '@galenavalve/workload';

function createJob(): AcceptedJob {
  return {
    queue: 'q',
    workspace: 'w',
    acceptedAt: 5,
    terms: {pool: 'p', priority: 0, maxAttempts: 1, stretch: 1, latencyMs: 0},
    spec: {
      payload: 'x',
      steps: [
        {
          count: 3,
          demand: {cpu: 1, memoryMb: 1, accelerators: 1},
          estimateMs: 5,
          dependsOn: [],
          isGang: false,
          isRackSensitive: false,
          savesProgress: false,
          isLongRunning: false,
          usesIdleCpu: false,
          maxUnavailable: 0,
        },
      ],
    },
  };
}

t.test(
  'the records of a job may be applied in any order, as pages of newest records list them',
  t => {
    const table = new JobTable(new SilentLogger());
    const job = createJob();
    const progress = {...createProgress(job.spec), hasBegun: true};
    table.apply({...encodeCancelled('1'), offset: 9});
    table.apply({...encodeProgress('1', progress), offset: 7});
    table.apply({...encodeAccepted('1', job), offset: 3});
    t.equal(getJobState(table.find('1')!), 'cancelled');
    t.ok(table.find('1')!.progress!.hasBegun);
    t.end();
  },
);

// Guards against a job that runs again after an upgrade although callers were told of its completion.
t.test(
  'a job is complete if an earlier version recorded that a caller was told so',
  t => {
    for (const isReadFirst of [true, false]) {
      const table = new JobTable(new SilentLogger());
      const acceptance = {...encodeAccepted('1', createJob()), offset: 1};
      const completion = {key: 'c/1', value: '1', offset: 2};
      const records = [acceptance, completion];
      (isReadFirst ? records.reverse() : records).forEach(record =>
        table.apply(record),
      );
      t.equal(getJobState(table.find('1')!), 'complete');
    }
    t.end();
  },
);

// Guards against a job that runs although its cancelling was acknowledged before its late acceptance.
t.test(
  'a job that its caller cancelled before it was accepted is cancelled',
  t => {
    const callers = [
      {caller: {queue: 'q', workspace: 'w'}, state: 'cancelled'},
      {caller: {queue: 'other', workspace: 'w'}, state: 'cancelled'},
      {caller: {queue: 'q', workspace: 'other'}, state: 'queued'},
      {caller: {queue: 'q'}, state: 'queued'},
    ];
    for (const {caller, state} of callers) {
      for (const isCancelledFirst of [true, false]) {
        const table = new JobTable(new SilentLogger());
        const records = [
          {...encodeEarlyCancellation('1', caller, 9), offset: 1},
          {...encodeAccepted('1', createJob()), offset: 2},
        ];
        (isCancelledFirst ? records : records.reverse()).forEach(record =>
          table.apply(record),
        );
        t.equal(getJobState(table.find('1')!), state);
      }
    }
    t.end();
  },
);

// Guards against callers who cancel each other's jobs by the same id.
t.test('early cancellations of two callers do not replace each other', t => {
  const callers = [{queue: 'q', workspace: 'w'}, {queue: 'q'}];
  const keys = callers.map(
    caller => encodeEarlyCancellation('1', caller, 9).key,
  );
  t.not(keys[0], keys[1]);
  t.end();
});

t.test('an early cancellation ends with its tombstone', t => {
  const table = new JobTable(new SilentLogger());
  const caller = {queue: 'q', workspace: 'w'};
  const key = formatEarlyCancellationKey('1', caller);
  table.apply({...encodeEarlyCancellation('1', caller, 9), offset: 1});
  t.same(table.earlyCancellations.listBefore(10), [{key, id: '1'}]);
  t.same(table.earlyCancellations.listBefore(9), []);
  table.apply({...encodeEarlyCancellationTombstone(key), offset: 2});
  t.equal(table.earlyCancellations.size, 0);
  table.apply({...encodeAccepted('1', createJob()), offset: 3});
  t.equal(getJobState(table.find('1')!), 'queued');
  t.end();
});

t.test(
  'a record with a lower offset than the newest of its key is ignored',
  t => {
    const table = new JobTable(new SilentLogger());
    const job = createJob();
    table.apply({...encodeAccepted('1', job), offset: 1});
    const completeProgress = {
      ...createProgress(job.spec),
      outcome: 'complete' as const,
    };
    table.apply({...encodeProgress('1', completeProgress), offset: 5});
    const olderProgress = createProgress(job.spec);
    table.apply({...encodeProgress('1', olderProgress), offset: 2});
    t.equal(getJobState(table.find('1')!), 'complete');
    t.end();
  },
);

t.test('a repeated acceptance does not replace the first one', t => {
  const table = new JobTable(new SilentLogger());
  table.apply({...encodeAccepted('1', createJob()), offset: 1});
  const repeatedJob = {...createJob(), acceptedAt: 99};
  table.apply({...encodeAccepted('1', repeatedJob), offset: 2});
  t.equal(table.find('1')!.job.acceptedAt, 5);
  t.end();
});

t.test('a malformed record is skipped, and tombstones delete a job', t => {
  const table = new JobTable(new SilentLogger());
  table.apply({key: 'a/1', value: '{"no":"job"}', offset: 1});
  t.equal(table.find('1'), undefined);
  table.apply({...encodeAccepted('2', createJob()), offset: 2});
  encodeJobTombstones('2').forEach((record, index) =>
    table.apply({...record, offset: 3 + index}),
  );
  t.equal(table.find('2'), undefined);
  t.end();
});

t.test('the leadership with the highest epoch is kept', t => {
  const table = new JobTable(new SilentLogger());
  const applyLeadership = (epoch: number, offset: number) =>
    table.apply({...encodeLeadership({epoch, holder: `h${epoch}`}), offset});
  applyLeadership(4, 1);
  applyLeadership(3, 2);
  t.equal(table.leadership?.epoch, 4);
  t.end();
});

t.test('parsing a formatted task name returns the same name', t => {
  const name = {jobId: 'a', occurrence: 1, step: 2, index: 3};
  t.same(parseTaskName(formatTaskName(name)), name);
  t.equal(parseTaskName('odd.name'), undefined);
  t.end();
});

// Guards against instances that end or stop reading at a record of another writer (issue 33).
t.test('an odd record is not applied, and the records after it are', t => {
  const table = new JobTable(new SilentLogger());
  const job = createJob();
  const depth = 200_000;
  const deep = '['.repeat(depth) + ']'.repeat(depth);
  const deepObject = '{"a":'.repeat(depth) + '1' + '}'.repeat(depth);
  const progress = (summary: string) => `${summary}\n${deep}`;
  const values = [
    ...['', 'no json', 'null', '7', '[]', '{}', deep, deepObject, '\uFFFD\0'],
    ...['{"epoch":1e999,"holder":"x"}', '{"epoch":1e308,"holder":"x"}'],
    ...['{"epoch":-1,"holder":"x"}', '{"epoch":9007199254740991,"holder":"x"}'],
    ...['{"epoch":5.5,"holder":"x"}', '{"epoch":"7","holder":"x"}'],
    ...[
      '{"epoch":7}',
      '{"epoch":7,"holder":5}',
      `{"epoch":7,"holder":${deep}}`,
    ],
    JSON.stringify({...job, spec: {...job.spec, steps: []}}),
    JSON.stringify({...job, acceptedAt: 0}).replace(
      '"acceptedAt":0',
      '"acceptedAt":1e999',
    ),
    JSON.stringify(job).replace('"cpu":1', '"cpu":-1e300'),
    JSON.stringify(job).replace('"cpu":1', `"cpu":${deep}`),
    progress('{"outcome":"odd","hasBegun":true}'),
    progress('{"outcome":"active","hasBegun":true,"endedAt":1e999}'),
  ];
  const keys = ['lead', 'a/1', 's/1', 'q/1', '', '__proto__', 'a', '\uFFFD'];
  let offset = 0;
  for (const key of keys) {
    for (const value of values) {
      const applied = table.apply({key, value, offset: offset++});
      t.ok(
        applied === undefined || applied.kind === 'deleted',
        `${key} ${value.slice(0, 40)}`,
      );
    }
  }
  t.equal(table.leadership, undefined);
  t.equal(table.find('1'), undefined);
  table.apply({...encodeLeadership({epoch: 7, holder: 'x'}), offset: offset++});
  table.apply({...encodeAccepted('1', job), offset: offset++});
  t.equal(table.leadership?.epoch, 7);
  t.equal(getJobState(table.find('1')!), 'queued');
  t.end();
});

t.test('the open tasks of a job count until it ends or is deleted', t => {
  const table = new JobTable(new SilentLogger());
  const job = createJob();
  const progress = createProgress(job.spec);
  const ended = {...progress, outcome: 'complete' as const};
  table.apply({...encodeAccepted('1', job), offset: 1});
  table.apply({...encodeAccepted('1', job), offset: 2});
  table.apply({...encodeAccepted('2', job), offset: 3});
  table.apply({...encodeAccepted('3', {...job, workspace: 'v'}), offset: 4});
  t.equal(table.countOpenTasks(), 9);
  t.equal(table.countOpenTasks('w'), 6);
  table.apply({...encodeProgress('1', progress), offset: 5});
  table.apply({...encodeProgress('1', ended), offset: 6});
  table.apply({...encodeProgress('1', ended), offset: 7});
  t.equal(table.countOpenTasks('w'), 3);
  encodeJobTombstones('1').forEach((record, index) =>
    table.apply({...record, offset: 8 + index}),
  );
  encodeJobTombstones('2').forEach((record, index) =>
    table.apply({...record, offset: 20 + index}),
  );
  t.equal(table.countOpenTasks('w'), 0);
  table.apply({...encodeProgress('4', ended), offset: 30});
  table.apply({...encodeAccepted('4', job), offset: 31});
  t.equal(table.countOpenTasks(), 3, 'an ended job that is read late');
  t.end();
});
