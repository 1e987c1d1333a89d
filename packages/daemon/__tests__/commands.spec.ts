import t from 'tap';
import got from 'got';
import {entity} from '@galenavalve/model';
import {type RunningDaemon, createConfigured, startDaemon} from './fixtures.js';

const DOMAIN = entity.parse({kind: 'domain', id: 'jnb', region: 'za'});
const WORKSPACE = entity.parse({
  kind: 'workspace',
  id: 'escorts',
  queueLimit: 1,
});
const TARGET = entity.parse({
  kind: 'target',
  id: 't1',
  domain: 'jnb',
  rack: 'r1',
  endpoint: 'http://127.0.0.1:1/targets/t1',
  accelerators: 8,
  processors: 64,
  memoryMb: 1024,
  slots: 8,
});

function post(daemon: RunningDaemon, path: string, json: object) {
  return got.post(`${daemon.url}${path}`, {
    json,
    responseType: 'json',
    throwHttpErrors: false,
    retry: {limit: 0},
  });
}

function createJob(requestId: string, changes: object = {}): object {
  return {
    requestId,
    workspace: 'escorts',
    gang: {tasks: 1, perTask: {accelerators: 1}},
    expectedSeconds: 1,
    createdAt: Date.now(),
    ...changes,
  };
}

async function startConfiguredDaemon(test: Parameters<typeof startDaemon>[0]) {
  const daemon = await startDaemon(test);
  daemon.log.write(createConfigured('first', DOMAIN, WORKSPACE, TARGET));
  const {follower} = daemon.daemon.context;
  await follower.waitForOffset(daemon.log.endOffset - 1, 5_000);
  return daemon;
}

t.test('a request', async t => {
  t.test('that is sent twice creates one job', async t => {
    const daemon = await startConfiguredDaemon(t);
    const job = createJob('r1');
    const first = await post(daemon, '/v1/jobs', job);
    const second = await post(daemon, '/v1/jobs', job);
    t.equal(first.statusCode, 202);
    t.match(second.body, {
      jobId: (first.body as {jobId: string}).jobId,
      requestId: 'r1',
    });
  });

  t.test(
    'with a used request id and a different body is a conflict',
    async t => {
      const daemon = await startConfiguredDaemon(t);
      await post(daemon, '/v1/jobs', createJob('r1'));
      const other = createJob('r1', {expectedSeconds: 2});
      const response = await post(daemon, '/v1/jobs', other);
      t.match(response, {statusCode: 409, body: {code: 'request-conflict'}});
    },
  );

  t.test('that no target can hold is refused with the constraint', async t => {
    const daemon = await startConfiguredDaemon(t);
    const gang = {tasks: 9, perTask: {accelerators: 8}};
    const response = await post(daemon, '/v1/jobs', createJob('r1', {gang}));
    t.match(response, {statusCode: 422, body: {code: 'never-runnable'}});
    t.equal(daemon.daemon.context.state.getJobByRequest('r1'), undefined);
  });

  t.test('over the limit of its workspace is refused as "not run"', async t => {
    const daemon = await startConfiguredDaemon(t);
    await post(daemon, '/v1/jobs', createJob('r1'));
    const response = await post(daemon, '/v1/jobs', createJob('r2'));
    t.match(response, {statusCode: 429, body: {code: 'workspace-limit'}});
    t.ok(response.headers['retry-after']);
  });

  t.test(
    'is refused as "not run" and not recorded while the log is unavailable',
    async t => {
      const daemon = await startConfiguredDaemon(t);
      daemon.log.faults.outage = 'refused';
      const response = await post(daemon, '/v1/jobs', createJob('r1'));
      t.match(response, {statusCode: 503, body: {code: 'log-unavailable'}});
      daemon.log.faults.outage = 'none';
      const accepted = await post(daemon, '/v1/jobs', createJob('r1'));
      t.equal(accepted.statusCode, 202);
    },
  );
});

t.test('an instance that is stopping', async t => {
  t.test(
    'refuses new requests, and recognizes those that it has recorded',
    async t => {
      const daemon = await startConfiguredDaemon(t);
      const job = createJob('r1');
      await post(daemon, '/v1/jobs', job);
      daemon.daemon.context.stage = 'stopping';
      const repeated = await post(daemon, '/v1/jobs', job);
      t.match(repeated, {statusCode: 202, body: {requestId: 'r1'}});
      const other = await post(daemon, '/v1/jobs', createJob('r2'));
      t.match(other, {statusCode: 503, body: {code: 'stopping'}});
    },
  );
});

t.test('a take-out while the log is unavailable', async t => {
  t.test(
    'takes effect immediately, and is recorded once the log is available',
    async t => {
      const daemon = await startConfiguredDaemon(t);
      const {context} = daemon.daemon;
      daemon.log.faults.outage = 'refused';
      const response = await post(daemon, '/v1/domains/jnb/drain', {
        author: 'op',
      });
      t.match(response, {statusCode: 504, body: {code: 'take-out-pending'}});
      t.ok(context.mesh.isHeld('domain/jnb'));
      const recordedAt = daemon.log.endOffset;
      daemon.log.faults.outage = 'none';
      t.ok(await context.follower.waitForOffset(recordedAt, 10_000));
      t.equal(context.state.configuration.domains.get('jnb')?.state, 'out');
    },
  );
});
