import t from 'tap';
import {
  type AppendOutcome,
  DesiredStateStore,
  Gateway,
  type Queue,
} from '@galenavalve/gateway';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {
  Follower,
  JobTable,
  type JobSpec,
  type KeyedRecord,
} from '@galenavalve/workload';

const queue: Queue = {
  name: 'q',
  host: 'h',
  pathPrefix: '/p/',
  isPublic: false,
  terms: {pool: 'p', priority: 1, maxAttempts: 2, stretch: 2, latencyMs: 100},
};

const spec: JobSpec = {
  payload: 'x',
  steps: [
    {
      count: 1,
      demand: {cpu: 1, memoryMb: 1, accelerators: 0},
      estimateMs: 10,
      dependsOn: [],
      isGang: false,
      isRackSensitive: false,
      savesProgress: false,
      isLongRunning: false,
      usesIdleCpu: false,
      maxUnavailable: 0,
    },
  ],
};

/** A gateway over a log that answers as `outcomes` says, then appends. */
function createGateway(outcomes: AppendOutcome[]) {
  const clock = new ManualClock(10_000);
  const random = new SeededRandom(1);
  const logger = new SilentLogger();
  const table = new JobTable(logger);
  const appended: KeyedRecord[] = [];
  /** Records that reads still owe: the end of the log is this much ahead. */
  const unread = {count: 0};
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
  follower.lastAnswerAt = clock.now();
  const gateway = new Gateway({
    table,
    follower,
    desiredState: new DesiredStateStore(),
    log: {
      append: async records => {
        appended.push(...records);
        return outcomes.shift() ?? {kind: 'appended', offset: 1};
      },
    },
    clock,
    random,
    logger,
  });
  const call = {queue, workspace: 'w', jobId: '1', timeout: 3000};
  return {clock, table, appended, gateway, call, follower, unread};
}

/** Lets virtual time pass until the answer is there. */
async function settle<T>(clock: ManualClock, answer: Promise<T>): Promise<T> {
  let isSettled = false;
  const watched = answer.finally(() => (isSettled = true));
  while (!isSettled) {
    await clock.advance(20);
  }
  return watched;
}

t.test('a job is accepted only once the log holds it', async t => {
  const {gateway, call, clock, appended} = createGateway([]);
  const answer = await settle(clock, gateway.submit(call, spec));
  t.equal(answer.kind, 'accepted');
  t.equal(appended.length, 1);
});

t.test('"not run" is said only when every append was refused', async t => {
  const refused: AppendOutcome = {kind: 'refused', problem: 'busy'};
  const {gateway, call, clock} = createGateway([refused, refused, refused]);
  const answer = await settle(clock, gateway.submit(call, spec));
  t.match(answer, {kind: 'refused', retryAfterSeconds: 1});
});

t.test(
  'an append without an answer makes a later refusal unresolved',
  async t => {
    const refused: AppendOutcome = {kind: 'refused', problem: 'busy'};
    const unknown: AppendOutcome = {kind: 'unknown', problem: 'silent'};
    const {gateway, call, clock} = createGateway([
      unknown,
      refused,
      refused,
      refused,
    ]);
    const answer = await settle(clock, gateway.submit(call, spec));
    t.equal(answer.kind, 'unresolved');
  },
);

t.test('a log that is away is not waited for', async t => {
  const {gateway, call, clock, appended, follower} = createGateway([]);
  follower.lastAnswerAt = clock.now() - 5000;
  const answer = await settle(clock, gateway.submit(call, spec));
  t.equal(answer.kind, 'refused');
  t.same(appended, []);
});

t.test('a job of another workspace does not exist for the caller', async t => {
  const {gateway, call, clock, table} = createGateway([]);
  const job = {
    queue: 'q',
    workspace: 'other',
    acceptedAt: 0,
    terms: queue.terms,
    spec,
  };
  table.apply({key: 'a/1', value: JSON.stringify(job), offset: 0});
  const answer = await settle(clock, gateway.getState(call));
  t.equal(answer.kind, 'unknown-job');
});

t.test('a step that depends on itself is named', async t => {
  const {gateway, call, clock} = createGateway([]);
  const wrong = {...spec, steps: [{...spec.steps[0]!, dependsOn: [0]}]};
  const answer = await settle(clock, gateway.submit(call, wrong));
  t.match(answer, {kind: 'invalid', problem: /step 0 depends on step 0/});
});

t.test(
  'a job is called unknown only after the log was read to its end (kwjt-grid-grown trouble-1)',
  async t => {
    const {gateway, call, clock, unread} = createGateway([]);
    unread.count = 3;
    const early = await settle(clock, gateway.getState(call));
    t.equal(early.kind, 'refused');
    unread.count = 0;
    const late = await settle(clock, gateway.getState(call));
    t.equal(late.kind, 'unknown-job');
  },
);
