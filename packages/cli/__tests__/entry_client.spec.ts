import fc from 'fast-check';
import t, {type Test} from 'tap';
import {jobRequest, type JobRequest} from '@galenavalve/model';
import {isFailure, SeededRandom} from '@galenavalve/shared';
import {HttpEntryClient, type RetryPolicy} from '../src/index.js';
import {createJobView, refuse, startFakeEntry} from './fake_entry.js';

const JOB_RESPONSE = {status: 200, body: createJobView()};

function createClient(
  test: Test,
  entries: string[],
  policy: Partial<RetryPolicy> = {},
): HttpEntryClient {
  const client = new HttpEntryClient({
    entries,
    random: new SeededRandom(7),
    policy: {
      queryTimeoutMs: 150,
      commandTimeoutMs: 150,
      backoffBaseMs: 5,
      backoffCapMs: 5,
      ...policy,
    },
  });
  test.teardown(() => client.close());
  return client;
}

function createRequest(): JobRequest {
  return jobRequest.parse({
    requestId: 'r-1',
    workspace: 'escorts',
    gang: {tasks: 2, perTask: {accelerators: 4}},
    expectedSeconds: 60,
    createdAt: 1_700_000_000_000,
  });
}

t.test('a submit', async t => {
  t.test('goes to the next entry when one does not respond', async t => {
    const first = await startFakeEntry(t, 'silent');
    const second = await startFakeEntry(t, JOB_RESPONSE);
    const client = createClient(t, [first.url, second.url]);
    const job = await client.submit(createRequest(), 0);
    t.equal(job.jobId, 'job-1');
    t.same(
      first.requests[0],
      second.requests[0],
      'both get the same request id and body',
    );
    await client.readJob('job-1', 0);
    t.equal(
      first.requests.length,
      1,
      'later calls go to the entry that responded',
    );
  });

  t.test('does not wait until the timeout of a slow instance', async t => {
    const slow = await startFakeEntry(t, 'silent');
    const second = await startFakeEntry(t, JOB_RESPONSE);
    const entries = [slow.url, second.url];
    const policy = {hedgeDelayMs: 20, commandTimeoutMs: 60_000};
    const client = createClient(t, entries, policy);
    t.equal((await client.submit(createRequest(), 0)).jobId, 'job-1');
    t.same(slow.requests, second.requests);
  });

  t.test('calls every entry while the first is slow', async t => {
    const slow = await startFakeEntry(t, 'silent');
    const stopping = await startFakeEntry(t, refuse('stopping'));
    const fourth = await startFakeEntry(t, JOB_RESPONSE);
    const entries = [slow.url, 'http://127.0.0.1:1', stopping.url, fourth.url];
    const policy = {
      hedgeDelayMs: 20,
      commandTimeoutMs: 60_000,
      callTimeoutMs: 1000,
    };
    const client = createClient(t, entries, policy);
    t.equal((await client.submit(createRequest(), 0)).jobId, 'job-1');
  });

  t.test('is unknown when the slow instance may have recorded it', async t => {
    const slow = await startFakeEntry(t, 'silent');
    for (const code of ['overloaded', 'unknown-workspace'] as const) {
      const second = await startFakeEntry(t, refuse(code));
      const entries = [slow.url, second.url];
      const policy = {hedgeDelayMs: 20, maxAttempts: 1};
      const client = createClient(t, entries, policy);
      const submit = client.submit(createRequest(), 0);
      await t.rejects(submit, {code: 'outcome-unknown'}, code);
    }
  });

  t.test('is retried with the same id after 504', async t => {
    const unknown = refuse('outcome-unknown', {requestId: 'r-1'});
    const entry = await startFakeEntry(t, unknown, 'cut', JOB_RESPONSE);
    const client = createClient(t, [entry.url]);
    await t.resolves(client.submit(createRequest(), 0));
    t.equal(entry.requests.length, 3);
    t.same(entry.requests[0]?.body, entry.requests[2]?.body);
  });

  t.test('is retried after "not run" until the deadline', async t => {
    const entry = await startFakeEntry(t, refuse('overloaded'));
    const client = createClient(t, [entry.url], {callTimeoutMs: 400});
    const submit = client.submit(createRequest(), 0);
    await t.rejects(submit, {code: 'overloaded'});
    t.ok(entry.requests.length > 1);
  });

  t.test('makes no attempt that its deadline could cut off', async t => {
    const entry = await startFakeEntry(t, refuse('overloaded'), 'silent');
    const client = createClient(t, [entry.url], {callTimeoutMs: 140});
    const submit = client.submit(createRequest(), 0);
    await t.rejects(
      submit,
      {code: 'overloaded'},
      'the call is still known not to have run',
    );
  });

  t.test('does not wait beyond its deadline', async t => {
    const retryLater = refuse('overloaded', {}, {'retry-after': '600'});
    const entry = await startFakeEntry(t, retryLater);
    const client = createClient(t, [entry.url]);
    await t.rejects(client.submit(createRequest(), 0), {code: 'overloaded'});
    t.equal(entry.requests.length, 1);
  });

  t.test('is not retried after a refusal', async t => {
    const entry = await startFakeEntry(t, refuse('request-conflict'));
    const client = createClient(t, [entry.url]);
    const submit = client.submit(createRequest(), 0);
    await t.rejects(submit, {code: 'request-conflict'});
    t.equal(entry.requests.length, 1);
  });

  t.test('fails as not run when no entry can be reached', async t => {
    const client = createClient(t, ['http://127.0.0.1:1'], {maxAttempts: 2});
    const submit = client.submit(createRequest(), 0);
    await t.rejects(submit, {code: 'entry-unreachable'});
  });
});

t.test(
  '"not run" is not reported once an attempt may have been recorded',
  t => {
    const uncertain = fc.constantFrom(
      'cut' as const,
      {status: 503, body: 'upstream timed out'},
      {status: 200, body: {jobId: 7}},
      refuse('internal', {problem: 'x'}),
      refuse('outcome-unknown', {requestId: 'r-1'}),
    );
    const notRun = fc.constantFrom(
      refuse('overloaded'),
      refuse('stopping'),
      refuse('unknown-workspace', {workspace: 'escorts'}),
    );
    const scripts = fc.tuple(
      fc.array(fc.constant(refuse('overloaded')), {maxLength: 1}),
      fc.array(uncertain, {minLength: 1, maxLength: 2}),
      fc.array(notRun, {minLength: 1, maxLength: 2}),
    );
    return fc.assert(
      fc.asyncProperty(scripts, async parts => {
        const responses = parts.flat();
        const entry = await startFakeEntry(t, ...responses);
        const client = createClient(t, [entry.url], {
          maxAttempts: responses.length,
        });
        const error = await client.submit(createRequest(), 0).catch(e => e);
        t.ok(isFailure(error, 'outcome-unknown'), JSON.stringify(responses));
      }),
      {numRuns: 40, seed: 11},
    );
  },
);

t.test('a response of any form results in a view or a failure', t => {
  const body = fc.oneof(
    fc.json().map(text => JSON.parse(text) as unknown),
    fc.record({code: fc.string(), message: fc.string()}),
    fc.record({...mapToArbitraries(createJobView())}, {requiredKeys: []}),
  );
  const status = fc.constantFrom(200, 202, 302, 400, 404, 409, 418, 500, 503);
  return fc.assert(
    fc.asyncProperty(status, body, async (status, body) => {
      const entry = await startFakeEntry(t, {status, body});
      const client = createClient(t, [entry.url], {maxAttempts: 1});
      const result = await client.submit(createRequest(), 0).catch(e => e);
      t.ok(isFailure(result) || typeof result.jobId === 'string');
    }),
    {numRuns: 100, seed: 12},
  );
});

function mapToArbitraries(view: object): Record<string, fc.Arbitrary<unknown>> {
  return Object.fromEntries(
    Object.entries(view).map(([key, value]) => [
      key,
      fc.oneof(fc.constant(value), fc.jsonValue()),
    ]),
  );
}
