import {request as httpRequest} from 'node:http';
import {fileURLToPath} from 'node:url';
import {gzipSync} from 'node:zlib';
import fc from 'fast-check';
import t from 'tap';
import {isFailure} from '@galenavalve/shared';
import {loadSettings, parseSettings} from '../src/index.js';
import {
  createConfigured,
  createSettings,
  type RunningDaemon,
  startDaemon,
} from './fixtures.js';

const JSON_HEADERS = {'content-type': 'application/json'};

interface TestResponse {
  status: number;
  body: {code?: string};
}

function send(
  {url}: RunningDaemon,
  path: string,
  body: string | Buffer,
  headers: Record<string, string> = {},
): Promise<TestResponse> {
  return new Promise((resolve, reject) => {
    const call = httpRequest(
      url + path,
      {method: 'POST', agent: false, headers: {...JSON_HEADERS, ...headers}},
      response => {
        let text = '';
        response.on('data', chunk => (text += chunk));
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            body: text === '' ? {} : JSON.parse(text),
          }),
        );
      },
    );
    call.on('error', reject);
    call.end(body);
  });
}

function createNestedArrays(depth: number): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

function createRequest(payload: unknown): object {
  return {
    requestId: 'r-1',
    workspace: 'escorts',
    gang: {tasks: 1, perTask: {accelerators: 1}},
    expectedSeconds: 1,
    createdAt: Date.now(),
    payload,
  };
}

/** Generates variants of `valid` in which values are replaced, left out or added. */
function mutateJson(valid: unknown): fc.Arbitrary<unknown> {
  if (typeof valid !== 'object' || valid === null) {
    return fc.oneof(
      {weight: 6, arbitrary: fc.constant(valid)},
      {weight: 1, arbitrary: fc.jsonValue()},
    );
  }
  if (Array.isArray(valid)) {
    return fc.tuple(...valid.map(mutateJson));
  }
  const fields = Object.entries(valid).map(
    ([key, value]) => [key, mutateJson(value)] as const,
  );
  return fc
    .tuple(
      fc.record(Object.fromEntries(fields), {requiredKeys: []}),
      fc.dictionary(fc.string(), fc.jsonValue(), {maxKeys: 1}),
    )
    .map(([known, unknown]) => ({...unknown, ...known}));
}

t.test('the example settings are valid', async t => {
  for (const user of ['kestrelway', 'txingudi']) {
    // Compiled specs are in packages/daemon/dist/__tests__.
    const path = `../../../../examples/${user}/daemon.jsonc`;
    const file = fileURLToPath(new URL(path, import.meta.url));
    t.equal(loadSettings(file).seeds.length, 5);
  }
});

t.test(
  'settings of any form are accepted or refused with a remedy',
  async t => {
    const text = fc.oneof(
      mutateJson(createSettings()).map(value => JSON.stringify(value)),
      fc.string(),
    );
    fc.assert(
      fc.property(text, text => {
        try {
          parseSettings(text, 'settings.jsonc');
        } catch (error) {
          t.ok(isFailure(error, 'settings-invalid'), String(error));
        }
      }),
      {numRuns: 500, seed: 21},
    );
  },
);

t.test('bodies of any form get a typed response', async t => {
  const running = await startDaemon(t);
  const edits = [{entity: 'domain/jnb', baseVersion: 0, value: null}];
  const call = fc.oneof(
    fc.tuple(fc.constant('/v1/jobs'), mutateJson(createRequest({a: [1]}))),
    fc.tuple(fc.constant('/v1/plan'), mutateJson(createRequest({}))),
    fc.tuple(
      fc.constantFrom('/v1/config', '/v1/jobs', '/v1/domains/jnb/drain'),
      mutateJson({changeId: 'c', author: 'a', edits}),
    ),
  );
  await fc.assert(
    fc.asyncProperty(call, fc.boolean(), async ([path, body], isTruncated) => {
      const text = JSON.stringify(body) ?? '';
      const sent = isTruncated ? text.slice(0, text.length / 2) : text;
      const response = await send(running, path, sent);
      t.ok(response.status < 500, `${path} ${sent} ${response.status}`);
      t.type(response.body.code, 'string', `${path} ${sent}`);
    }),
    {numRuns: 200, seed: 22},
  );
});

t.test('malicious bodies are refused', async t => {
  const running = await startDaemon(t);
  const cases: [string, string | Buffer, Record<string, string>, number][] = [
    ['deep nesting', `{"payload":${createNestedArrays(30_000)}}`, {}, 400],
    ['corrupt gzip data', 'not gzip', {'content-encoding': 'gzip'}, 400],
    [
      'a gzip that unpacks to 64 MB',
      gzipSync(Buffer.alloc(64 * 1024 * 1024, ' ')),
      {'content-encoding': 'gzip'},
      400,
    ],
    [
      'a form with a file',
      '--x\r\ncontent-disposition: form-data; name="f"; filename="f"\r\n\r\nx\r\n--x--',
      {'content-type': 'multipart/form-data; boundary=x'},
      400,
    ],
    [
      'a chunked job request over the limit',
      JSON.stringify(createRequest({a: 'x'.repeat(100_000)})),
      {'transfer-encoding': 'chunked'},
      413,
    ],
    ['a body over every limit', ' '.repeat(5_000_000), {}, 413],
  ];
  for (const [name, body, headers, status] of cases) {
    t.test(name, async t => {
      const response = await send(running, '/v1/jobs', body, headers);
      t.equal(response.status, status);
      t.type(response.body.code, 'string');
    });
  }
});

t.test('invalid log records are skipped and counted', async t => {
  const running = await startDaemon(t);
  const {log} = running;
  const {state} = running.daemon.context;
  const domain = {
    kind: 'domain',
    id: 'jnb',
    region: 'za',
    state: 'in-service',
  } as const;
  const valid = createConfigured('c-0', {...domain, id: 'cpt'});
  const values = fc.sample(mutateJson(valid), {numRuns: 300, seed: 23});
  log.write(
    ...values.map(value => value ?? null),
    {...valid, v: 2, recordId: 'of a later version'},
    {...valid, type: 'of-a-later-version', recordId: 'c-1'},
    createConfigured('c-3', domain),
  );
  await waitUntilFolded(running);
  t.ok(state.skippedCount > 100, `${state.skippedCount} were skipped`);
  t.ok(state.getDomain('jnb'), 'the valid record after them is applied');
});

t.test(
  'an otherwise valid record that is nested too deeply is skipped',
  async t => {
    const running = await startDaemon(t);
    running.log.write({
      v: 1,
      type: 'submitted',
      recordId: 'deep',
      at: 1,
      by: 'somebody',
      jobId: 'j',
      request: createRequest({a: JSON.parse(createNestedArrays(2000))}),
      bodyHash: 'h',
      domain: 'jnb',
      reason: {code: 'routed-only'},
    });
    await waitUntilFolded(running);
    t.equal(running.daemon.context.state.skippedCount, 1);
  },
);

t.test('a change that is sent again keeps its outcome', async t => {
  const running = await startDaemon(t);
  const domain = {kind: 'domain', id: 'jnb', region: 'za'};
  const createChange = (changeId: string) =>
    JSON.stringify({
      changeId,
      author: 'thandi',
      edits: [{entity: 'domain/jnb', baseVersion: 0, value: domain}],
    });
  const first = await send(running, '/v1/config', createChange('c-1'));
  t.equal(first.status, 200);
  const repeated = await send(running, '/v1/config', createChange('c-1'));
  t.equal(repeated.status, 200, 'repeated after the response was lost');
  const conflicting = await send(running, '/v1/config', createChange('c-2'));
  t.equal(conflicting.body.code, 'config-conflict');
});

async function waitUntilFolded({daemon, log}: RunningDaemon): Promise<void> {
  const {state, clock} = daemon.context;
  while (state.nextOffset < log.endOffset) {
    await clock.sleep(10);
  }
}
