import t from 'tap';
import {
  type AppendOutcome,
  DesiredStateStore,
  Gateway,
} from '@galenavalve/gateway';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {
  Follower,
  type JobMemoryLimit,
  JobTable,
  type KeyedRecord,
  type OpenTaskLimit,
  type Progress,
  computeOpenTaskLimit,
  encodeAccepted,
  encodeEarlyCancellation,
  encodeProgress,
  createProgress,
} from '@galenavalve/workload';
import {createQueue, createSpec} from './fixtures.js';

const queue = createQueue('q');

/** Limits of open tasks that the specs of other matters do not reach. */
const LIMIT: OpenTaskLimit = {total: 1000, perWorkspace: 500};

const spec = createSpec();

/** Creates a gateway over a log whose first appends have the given outcomes; later ones succeed. */
function createGateway(
  outcomes: AppendOutcome[],
  openTaskLimit = LIMIT,
  jobMemoryLimit?: JobMemoryLimit,
) {
  const clock = new ManualClock(10_000);
  const random = new SeededRandom(1);
  const logger = new SilentLogger();
  const table = new JobTable(logger);
  const appended: KeyedRecord[] = [];
  const conditions: Array<number | undefined> = [];
  /** Number of records by which the end of the log is ahead of every read. */
  const unread = {count: 0};
  /** Keys of the records that were passed to the leader. */
  const passed: string[] = [];
  const keyedLog = {
    readNewest: async () => ({records: [], end: 0}),
    readTail: async (offset: number) => ({
      kind: 'records' as const,
      records: [],
      next: offset,
      end: offset + unread.count,
    }),
  };
  const follower = new Follower(
    'jobs',
    keyedLog,
    {onRecord: () => undefined},
    0,
    clock,
    random,
    logger,
  );
  follower.lastResponseAt = clock.now();
  const gateway = new Gateway({
    openTaskLimit,
    jobMemoryLimit,
    table,
    follower,
    desiredState: new DesiredStateStore(),
    log: {
      append: async (records, _timeout, endsAt) => {
        appended.push(...records);
        conditions.push(endsAt);
        return outcomes.shift() ?? {kind: 'appended', offset: 1};
      },
    },
    leader: {
      onAppended: record => passed.push(record.key),
    },
    clock,
    random,
    logger,
  });
  const request = {queue, workspace: 'w', jobId: '1', timeout: 3000};
  return {
    clock,
    table,
    appended,
    conditions,
    gateway,
    request,
    follower,
    unread,
    passed,
  };
}

/** Advances the clock until a response has arrived. */
async function waitForResponse<T>(
  clock: ManualClock,
  response: Promise<T>,
): Promise<T> {
  let hasSettled = false;
  const observed = response.finally(() => (hasSettled = true));
  while (!hasSettled) {
    await clock.advance(20);
  }
  return observed;
}

t.test('a job is accepted only once its record is in the log', async t => {
  const {gateway, request, clock, appended, passed} = createGateway([]);
  const response = await waitForResponse(clock, gateway.submit(request, spec));
  t.equal(response.kind, 'accepted');
  t.equal(appended.length, 1);
  t.same(passed, ['a/1'], 'the leader is told');
});

t.test(
  'a submission is reported as refused only if every append was refused',
  async t => {
    const refused: AppendOutcome = {kind: 'refused', problem: 'busy'};
    const {gateway, request, clock} = createGateway([
      refused,
      refused,
      refused,
    ]);
    const response = await waitForResponse(
      clock,
      gateway.submit(request, spec),
    );
    t.match(response, {kind: 'refused', retryAfterSeconds: 1});
  },
);

t.test(
  'an append without a response makes a later refusal unresolved',
  async t => {
    const refused: AppendOutcome = {kind: 'refused', problem: 'busy'};
    const unknown: AppendOutcome = {kind: 'unknown', problem: 'silent'};
    const {gateway, request, clock} = createGateway([
      unknown,
      refused,
      refused,
      refused,
    ]);
    const response = await waitForResponse(
      clock,
      gateway.submit(request, spec),
    );
    t.equal(response.kind, 'unresolved');
  },
);

t.test(
  'a submission is refused without an append if the log is unreachable',
  async t => {
    const {gateway, request, clock, appended, follower} = createGateway([]);
    follower.lastResponseAt = clock.now() - 5000;
    const response = await waitForResponse(
      clock,
      gateway.submit(request, spec),
    );
    t.equal(response.kind, 'refused');
    t.same(appended, []);
  },
);

t.test('a job of another workspace is reported as unknown', async t => {
  const {gateway, request, clock, table} = createGateway([]);
  const job = {
    queue: 'q',
    workspace: 'other',
    acceptedAt: 0,
    terms: queue.terms,
    spec,
  };
  table.apply({key: 'a/1', value: JSON.stringify(job), offset: 0});
  const response = await waitForResponse(clock, gateway.getState(request));
  t.equal(response.kind, 'unknown-job');
});

t.test('a step that depends on itself is reported as invalid', async t => {
  const {gateway, request, clock} = createGateway([]);
  const invalidSpec = {...spec, steps: [{...spec.steps[0]!, dependsOn: [0]}]};
  const response = await waitForResponse(
    clock,
    gateway.submit(request, invalidSpec),
  );
  t.match(response, {kind: 'invalid', problem: /step 0 depends on step 0/});
});

t.test(
  'a job is reported as unknown only after the log was read to its end (kwjt-grid-grown trouble-1)',
  async t => {
    const {gateway, request, clock, unread} = createGateway([]);
    unread.count = 3;
    const behindResponse = await waitForResponse(
      clock,
      gateway.getState(request),
    );
    t.equal(behindResponse.kind, 'refused');
    unread.count = 0;
    const currentResponse = await waitForResponse(
      clock,
      gateway.getState(request),
    );
    t.equal(currentResponse.kind, 'unknown-job');
  },
);

// Guards against a caller who is told "accepted" and then "no such job" by the same instance.
t.test(
  'a job is not reported as unknown while the log returns less than was appended to it',
  async t => {
    const {gateway, request, clock, follower, table, appended} = createGateway(
      [],
    );
    await waitForResponse(clock, gateway.submit(request, spec));
    const getState = async (jobId: string) =>
      waitForResponse(clock, gateway.getState({...request, jobId}));
    t.match(await getState('1'), {kind: 'refused', retryAfterSeconds: 1});
    t.equal((await getState('2')).kind, 'refused');
    table.apply({...appended[0]!, offset: 1});
    follower.nextOffset = 2;
    t.same(await getState('1'), {kind: 'state', state: 'queued'});
    t.same(await getState('2'), {kind: 'unknown-job'});
  },
);

t.test(
  'a job is reported as complete only once the log has its completion, however long the log does not respond',
  async t => {
    const {gateway, request, clock, table, appended} = createGateway([]);
    const acceptance = encodeAccepted('1', {
      queue: 'q',
      workspace: 'w',
      acceptedAt: 0,
      terms: queue.terms,
      spec,
    });
    const progress = {...createProgress(spec), hasBegun: true};
    table.apply({...acceptance, offset: 0});
    table.apply({...encodeProgress('1', progress), offset: 1});
    for (const duration of [0, 1500, 1000]) {
      await clock.advance(duration);
      t.same(await waitForResponse(clock, gateway.getState(request)), {
        kind: 'state',
        state: 'running',
      });
    }
    const ended = {...progress, outcome: 'complete' as const};
    table.apply({...encodeProgress('1', ended), offset: 2});
    t.same(await waitForResponse(clock, gateway.getState(request)), {
      kind: 'state',
      state: 'complete',
    });
    t.same(appended, [], 'questions write nothing');
  },
);

// Guards against a job that runs although its cancelling was acknowledged, since its submission was appended late.
t.test(
  'a cancellation of an unknown job is acknowledged once its record is in the log',
  async t => {
    const unknown: AppendOutcome = {kind: 'unknown', problem: 'silent'};
    const {gateway, request, clock, appended, passed} = createGateway([
      unknown,
    ]);
    const response = await waitForResponse(clock, gateway.cancel(request));
    t.equal(response.kind, 'unknown-job');
    const caller = {queue: 'q', workspace: 'w'};
    const {key} = encodeEarlyCancellation('1', caller, 0);
    t.same(
      appended.map(record => record.key),
      [key, key],
    );
    t.same(passed, [key], 'the leader is told');
  },
);

t.test(
  'a cancellation of an unknown job is not acknowledged if its record cannot be written',
  async t => {
    const refused: AppendOutcome = {kind: 'refused', problem: 'busy'};
    const outcomes = [refused, refused, refused];
    const {gateway, request, clock} = createGateway(outcomes);
    const response = await waitForResponse(clock, gateway.cancel(request));
    t.match(response, {kind: 'refused', retryAfterSeconds: 1});
  },
);

// Guards against a log that grows without a limit with cancellations of ids that were never submitted.
t.test(
  'cancellations of unknown jobs are refused while the log keeps ten thousand',
  async t => {
    const {gateway, request, clock, table, appended} = createGateway([]);
    const caller = {queue: 'q', workspace: 'w'};
    for (let index = 0; index < 10_000; index++) {
      const record = encodeEarlyCancellation(`id-${index}`, caller, 0);
      table.apply({...record, offset: index});
    }
    const response = await waitForResponse(clock, gateway.cancel(request));
    t.match(response, {kind: 'refused', retryAfterSeconds: 1});
    t.same(appended, []);
  },
);

// Guards against jobs that every leader ends on for want of memory, so that no job of any workspace runs.
t.test(
  'a submission is refused while the open jobs have as many tasks as fit into memory',
  async t => {
    const {gateway, request, clock, table, appended} = createGateway([]);
    const submit = (jobId: string, workspace: string, count: number) =>
      waitForResponse(
        clock,
        gateway.submit({...request, jobId, workspace}, createSpec(count)),
      );
    const read = () => {
      const offset = appended.length - 1;
      table.apply({...appended[offset]!, offset});
    };
    for (const [index, workspace] of ['a', 'b'].entries()) {
      t.equal((await submit(`${index}`, workspace, 500)).kind, 'accepted');
      read();
      t.match(await submit('more', workspace, 1), {
        kind: 'refused',
        problem: /workspace/,
        retryAfterSeconds: 1,
      });
    }
    t.match(await submit('last', 'c', 1), {kind: 'refused', problem: /memory/});
    const ended = {...createProgress(createSpec(500)), outcome: 'failed'};
    table.apply({...encodeProgress('0', ended as Progress), offset: 10});
    t.equal((await submit('last', 'c', 500)).kind, 'accepted');
    t.equal(appended.length, 3, 'nothing is written for a refused job');
  },
);

t.test(
  'a job that can never fit into memory or into its record is invalid',
  async t => {
    const {gateway, request, clock, appended} = createGateway([]);
    const schedule = {times: 1000, startAt: 0, intervalMs: 1};
    const steps = Array.from({length: 2}, () => createSpec(4096).steps[0]!);
    for (const wide of [
      createSpec(501),
      {...createSpec(100), schedule},
      {...spec, steps},
    ]) {
      const submission = gateway.submit(request, wide);
      t.equal((await waitForResponse(clock, submission)).kind, 'invalid');
    }
    t.same(appended, []);
  },
);

t.test('the limit of open tasks follows from the heap', async t => {
  const {total, perWorkspace} = computeOpenTaskLimit(120 * 2 ** 20);
  t.equal(total, 25_165);
  t.equal(perWorkspace, Math.floor(total / 2));
});

const LARGE_LIMIT: OpenTaskLimit = {total: 4000, perWorkspace: 2000};

// Guards against large jobs that are accepted at several instances at once and exceed the limit together (issue 47).
t.test(
  'a large job is appended only to the log as it was read, and again after the log has grown',
  async t => {
    const setup = createGateway([{kind: 'moved'}], LARGE_LIMIT);
    const {gateway, request, clock, follower, conditions} = setup;
    follower.nextOffset = 7;
    const submission = gateway.submit(request, createSpec(600));
    t.equal((await waitForResponse(clock, submission)).kind, 'accepted');
    t.same(conditions, [7, 7]);
    const small = gateway.submit({...request, jobId: '2'}, createSpec(10));
    t.equal((await waitForResponse(clock, small)).kind, 'accepted');
    t.equal(conditions[2], undefined, 'a small job is not kept waiting');
  },
);

t.test(
  'a large job is appended to a log that grows without an end only while half of the limit is free',
  async t => {
    for (const [tasks, expected] of [
      [1000, 'accepted'],
      [1001, 'unresolved'],
    ] as const) {
      const moved = Array.from({length: 1000}, () => ({
        kind: 'moved' as const,
      }));
      const setup = createGateway(moved, LARGE_LIMIT);
      const {gateway, request, clock, conditions} = setup;
      const submission = gateway.submit(request, createSpec(tasks));
      await clock.advance(1000);
      if (expected === 'accepted') {
        moved.length = 0;
      }
      t.equal((await waitForResponse(clock, submission)).kind, expected);
      t.equal(conditions.includes(undefined), expected === 'accepted');
    }
  },
);

// Guards against a refusal of a job whose record may be in the log.
t.test('a large job that may have been appended is not refused', async t => {
  const unread = createGateway([{kind: 'moved'}], LARGE_LIMIT);
  const submission = unread.gateway.submit(unread.request, createSpec(600));
  await unread.clock.advance(1);
  unread.unread.count = 1;
  t.equal((await waitForResponse(unread.clock, submission)).kind, 'unresolved');
  const full = createGateway(
    [{kind: 'unknown', problem: 'no response'}],
    LARGE_LIMIT,
  );
  const uncertain = full.gateway.submit(full.request, createSpec(600));
  await full.clock.advance(1);
  const job = {
    queue: 'q',
    workspace: 'w',
    acceptedAt: 1,
    terms: queue.terms,
    spec: createSpec(1900),
  };
  full.table.apply({...encodeAccepted('9', job), offset: 1});
  t.equal((await waitForResponse(full.clock, uncertain)).kind, 'unresolved');
});

// Guards against small jobs with large payloads that fill the heap of every instance (issue 47).
t.test(
  'payloads count against the memory of jobs until the jobs have ended',
  async t => {
    const limit = {total: 30_000, perWorkspace: 20_000};
    const {gateway, request, clock, table} = createGateway([], LIMIT, limit);
    const withPayload = {...spec, payload: 'p'.repeat(4000)};
    const accept = async (id: string, workspace: string) => {
      const job = {
        queue: 'q',
        workspace,
        acceptedAt: 1,
        terms: queue.terms,
        spec: withPayload,
      };
      const submission = gateway.submit(
        {...request, jobId: id, workspace},
        withPayload,
      );
      const {kind} = await waitForResponse(clock, submission);
      if (kind === 'accepted') {
        const offset = Number(id);
        table.apply({...encodeAccepted(id, job), offset});
      }
      return kind;
    };
    const kinds: string[] = [];
    for (let id = 1; id <= 9; id++) {
      kinds.push(await accept(String(id), id < 6 ? 'w' : 'v'));
    }
    t.same(kinds, [
      ...['accepted', 'accepted', 'accepted', 'refused', 'refused'],
      ...['accepted', 'accepted', 'refused', 'refused'],
    ]);
    const ended = {...createProgress(spec), outcome: 'complete' as const};
    table.apply({...encodeProgress('1', ended), offset: 20});
    t.equal(table.find('1')!.job.spec.payload, '');
    t.equal(await accept('30', 'w'), 'accepted');
  },
);
