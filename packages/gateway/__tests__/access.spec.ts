import t from 'tap';
import {DesiredStateStore, Gateway, admit} from '@galenavalve/gateway';
import {ManualClock, SeededRandom, SilentLogger} from '@galenavalve/shared';
import {Follower, JobTable, type KeyedRecord} from '@galenavalve/workload';
import {createQueue, createSpec} from './fixtures.js';

const HOST = 'h';
const NOW = 10_000;
const ID = '5c0e7a21d94b36f8';

/** Creates an instance with two private and two public queues, and two workspaces with a key each. */
function createInstance(log: KeyedRecord[] = [], publicQueues = ['c', 'd']) {
  const clock = new ManualClock(NOW);
  const random = new SeededRandom(1);
  const logger = new SilentLogger();
  const table = new JobTable(logger);
  log.forEach((record, offset) => table.apply({...record, offset}));
  const desiredState = new DesiredStateStore();
  desiredState.apply({
    version: 1,
    queues: ['a', 'b', 'c', 'd'].map(name =>
      createQueue(name, publicQueues.includes(name)),
    ),
    workspaces: ['w', 'v'].map(name => ({
      name,
      keys: [`key-${name}`],
      guaranteedAccelerators: 0,
    })),
  });
  desiredState.onConfirmed(NOW);
  const follower = new Follower(
    'jobs',
    {
      readNewest: async () => ({records: [], end: 0}),
      readTail: async offset => ({
        kind: 'records',
        records: [],
        next: offset,
        end: offset,
      }),
    },
    {onRecord: () => undefined},
    0,
    clock,
    random,
    logger,
  );
  follower.lastResponseAt = NOW;
  const gateway = new Gateway({
    openTaskLimit: {total: 1000, perWorkspace: 1000},
    table,
    follower,
    desiredState,
    log: {
      append: async records => {
        const offset = log.length;
        records.forEach(record => {
          log.push(record);
          table.apply({...record, offset: log.length - 1});
        });
        return {kind: 'appended', offset};
      },
    },
    leader: {onAppended: () => undefined},
    clock,
    random,
    logger,
  });
  return {gateway, desiredState, log, table};
}

type Instance = ReturnType<typeof createInstance>;

/** Sends a request through a queue with a key, or without one, and returns the kind of the response. */
async function call(
  {gateway, desiredState}: Instance,
  method: 'submit' | 'read' | 'cancel',
  queueName: string,
  key?: string,
): Promise<string> {
  const path = `/${queueName}/${ID}`;
  const admission = admit(desiredState, {host: HOST, path, key}, NOW);
  if (admission.kind !== 'admitted') {
    return admission.kind;
  }
  const {queue, workspace} = admission;
  const request = {queue, workspace, jobId: ID, timeout: 3000};
  const response =
    method === 'submit'
      ? await gateway.submit(request, createSpec())
      : method === 'read'
        ? await gateway.getState(request)
        : await gateway.cancel(request);
  return response.kind;
}

/** Callers by queue and key. */
const CALLERS: Array<{queue: string; key?: string}> = [
  {queue: 'a', key: 'key-w'},
  {queue: 'a', key: 'key-v'},
  {queue: 'b', key: 'key-w'},
  {queue: 'b', key: 'key-v'},
  {queue: 'c'},
  {queue: 'c', key: 'key-w'},
  {queue: 'c', key: 'key-v'},
  {queue: 'd'},
];

/** Returns the owner of a job that a caller submits: its workspace, or its public queue. */
function findOwner({queue, key}: {queue: string; key?: string}): string {
  return ['c', 'd'].includes(queue) ? queue : key!;
}

// Guards against a caller who reads, cancels or replaces the job of another workspace, through a public queue or by its id.
t.test('only its owner reads, cancels and repeats a job', async t => {
  for (const owner of CALLERS) {
    for (const caller of CALLERS) {
      const name = `${JSON.stringify(caller)} on a job of ${JSON.stringify(owner)}`;
      const isOwner = findOwner(owner) === findOwner(caller);
      const instance = createInstance();
      t.equal(
        await call(instance, 'submit', owner.queue, owner.key),
        'accepted',
      );
      const length = instance.log.length;
      t.equal(
        await call(instance, 'read', caller.queue, caller.key),
        isOwner ? 'state' : 'unknown-job',
        `read: ${name}`,
      );
      t.equal(
        await call(instance, 'submit', caller.queue, caller.key),
        isOwner ? 'accepted' : 'id-in-use',
        `submit: ${name}`,
      );
      t.equal(instance.log.length, length, 'nothing is stored');
      t.equal(
        await call(instance, 'cancel', caller.queue, caller.key),
        isOwner ? 'cancelled' : 'unknown-job',
        `cancel: ${name}`,
      );
      t.equal(instance.table.find(ID)?.isCancelled, isOwner, name);
    }
  }
});

t.test('a job keeps its owner at an instance that starts anew', async t => {
  const {log} = createInstance();
  const first = createInstance(log);
  t.equal(await call(first, 'submit', 'a', 'key-w'), 'accepted');
  const next = createInstance(log);
  t.equal(await call(next, 'read', 'a', 'key-v'), 'unknown-job');
  t.equal(await call(next, 'read', 'c'), 'unknown-job');
  t.equal(await call(next, 'cancel', 'c'), 'unknown-job');
  t.equal(await call(next, 'read', 'a', 'key-w'), 'state');
  t.equal(next.table.find(ID)?.isCancelled, false);
  const last = createInstance(log);
  t.equal(last.table.find(ID)?.isCancelled, false);
});

t.test('a job keeps its owner when its queue becomes public', async t => {
  const {log} = createInstance();
  const before = createInstance(log);
  t.equal(await call(before, 'submit', 'a', 'key-w'), 'accepted');
  const after = createInstance(log, ['a', 'c', 'd']);
  t.equal(await call(after, 'read', 'a'), 'unknown-job');
  t.equal(await call(after, 'cancel', 'a'), 'unknown-job');
  t.equal(await call(after, 'submit', 'a'), 'id-in-use');
  t.equal(await call(after, 'read', 'b', 'key-w'), 'state');
});

t.test('a list tells a number of jobs and no ids', async t => {
  const instance = createInstance();
  await call(instance, 'submit', 'a', 'key-w');
  for (const name of ['a', 'b', 'c', 'd']) {
    const queue = createQueue(name);
    const count = instance.gateway.countQueuedJobs(queue);
    t.equal(count, name === 'a' ? 1 : 0);
  }
});
