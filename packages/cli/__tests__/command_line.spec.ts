import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import t, {type Test} from 'tap';
import type {Entity} from '@galenavalve/model';
import {ExitCode, runCommandLine} from '../src/index.js';
import {
  createConfigurationView,
  createJobView,
  refuse,
  type ScriptedResponse,
  type ReceivedRequest,
  startEntry,
  startFakeEntry,
} from './fake_entry.js';

interface CommandResult {
  exitCode: ExitCode;
  out: string;
  error: string;
}

async function runCli(...args: string[]): Promise<CommandResult> {
  let out = '';
  let error = '';
  const exitCode = await runCommandLine(args, {
    environment: {USER: 'thandi'},
    writeOut: text => (out += text),
    writeError: text => (error += text),
  });
  return {exitCode, out, error};
}

async function runAgainstEntry(
  test: Test,
  script: ScriptedResponse,
  ...args: string[]
): Promise<CommandResult> {
  const {url} = await startFakeEntry(test, script);
  return runCli('--entry', url, '--deadline', '0.1', ...args);
}

function writeFile(test: Test, value: unknown): string {
  const file = join(test.testdir(), 'file.jsonc');
  writeFileSync(file, `// a comment\n${JSON.stringify(value)}`);
  return file;
}

function createDomain(state?: 'out'): Entity {
  return {
    kind: 'domain',
    id: 'jnb',
    region: 'za',
    state: state ?? 'in-service',
  };
}

const SUBMIT_ARGS = [
  'submit',
  ...['--workspace', 'escorts', '--accelerators', '4', '--request-id', 'r-1'],
  ...['--expected-seconds', '60', '--created-at', '5', '--wait', '0.2'],
];

t.test('the exit code of submit depends on its outcome', async t => {
  const running = createJobView({phase: 'running', outcome: undefined});
  const cases: [string, ScriptedResponse, ExitCode][] = [
    ['success', {status: 200, body: createJobView()}, ExitCode.ok],
    ['not run', refuse('overloaded'), ExitCode.notRun],
    ['rejected', refuse('request-conflict'), ExitCode.rejected],
    ['unknown', 'cut', ExitCode.unknown],
    [
      'a failed job',
      {status: 200, body: createJobView({outcome: 'lost'})},
      ExitCode.failedJob,
    ],
    ['still running', {status: 202, body: running}, ExitCode.unfinished],
  ];
  for (const [name, script, exitCode] of cases) {
    t.test(name, async t => {
      t.equal(
        (await runAgainstEntry(t, script, ...SUBMIT_ARGS)).exitCode,
        exitCode,
      );
    });
  }
  t.test('invalid arguments', async t => {
    t.equal((await runCli('submit', '--tasks', 'x')).exitCode, ExitCode.usage);
    t.equal((await runCli('list')).exitCode, ExitCode.usage);
  });
});

t.test('a submit', async t => {
  t.test('prints how to retry when its outcome is unknown', async t => {
    const {error} = await runAgainstEntry(t, 'cut', ...SUBMIT_ARGS);
    t.match(error, '--request-id r-1 --created-at 5');
  });

  t.test(
    'follows the job when an entry has not read its record yet',
    async t => {
      const queued = createJobView({phase: 'queued', outcome: undefined});
      const {url} = await startFakeEntry(
        t,
        {status: 202, body: queued},
        refuse('not-found', {kind: 'job', id: 'job-1'}),
        {status: 200, body: createJobView()},
      );
      const result = await runCli(
        '--entry',
        url,
        ...SUBMIT_ARGS,
        '--wait',
        '20',
      );
      t.equal(result.exitCode, ExitCode.ok);
      t.match(result.error, 'job job-1 queued in jnb');
    },
  );

  t.test('prefers options to the fields of its file', async t => {
    const file = writeFile(t, {
      workspace: 'escorts',
      gang: {tasks: 2, perTask: {accelerators: 8}, adjacency: 'rack'},
      expectedSeconds: 9,
      repeatable: false,
    });
    const {url, requests} = await startFakeEntry(t, {
      status: 200,
      body: createJobView(),
    });
    await runCli('--entry', url, 'submit', file, '--tasks', '4');
    t.match(requests[0]?.body, {
      gang: {tasks: 4, perTask: {accelerators: 8}, adjacency: 'rack'},
      repeatable: false,
    });
  });
});

t.test('results are printed as tables, or as JSON with --json', async t => {
  const job = createJobView({text: 'waits for its turn'});
  const script = {status: 200, body: {jobs: [job]}};
  const table = await runAgainstEntry(t, script, 'list');
  t.equal(
    table.out,
    [
      'JOB    WORKSPACE  DOMAIN  STATE      ATTEMPTS  SUBMITTED             REASON',
      'job-1  escorts    jnb     succeeded         1  2023-11-14T22:13:20Z  waits for its turn',
      '',
    ].join('\n'),
  );
  const json = await runAgainstEntry(t, script, '--json', 'list');
  t.same(JSON.parse(json.out), [job]);
  const refusal = refuse('not-found', {kind: 'job', id: 'x'});
  const error = await runAgainstEntry(t, refusal, '--json', 'status', 'x');
  t.equal(JSON.parse(error.out).error.code, 'not-found');
});

t.test('config apply', async t => {
  t.test('sends only differences, with base versions', async t => {
    const request = await applyFile(t, {
      entities: [createDomain(), {...createDomain(), id: 'cpt'}],
    });
    t.match(request.body, {
      author: 'thandi',
      edits: [{entity: 'domain/cpt', baseVersion: 0}],
    });
  });

  t.test('keeps a service state that the file does not set', async t => {
    const domain = {kind: 'domain', id: 'jnb', region: 'south'};
    const request = await applyFile(
      t,
      {entities: [domain]},
      createDomain('out'),
    );
    t.match(request.body, {edits: [{value: {state: 'out', region: 'south'}}]});
  });

  t.test('uses the versions on which the file is based', async t => {
    const domain = {...createDomain(), region: 'south'};
    const versions = {'domain/jnb': 2};
    const request = await applyFile(t, {entities: [domain], versions});
    t.match(request.body, {edits: [{baseVersion: 2}]});
  });

  t.test('prints the author of a conflicting change', async t => {
    const change = {
      changeId: 'c-9',
      author: 'pieter',
      at: 1_700_000_000_000,
      offset: 8,
      accepted: true,
      edits: 1,
      entities: ['domain/jnb'],
    };
    const older = {...change, changeId: 'c-8', author: 'lerato'};
    const details = {entity: 'domain/jnb', currentVersion: 4, baseVersion: 3};
    const {url} = await startEntry(t, ({method, path}) => {
      if (method === 'POST') {
        return refuse('config-conflict', details);
      }
      const body = path.endsWith('/history')
        ? {changes: [change, older]}
        : createConfigurationView([createDomain('out')], 3);
      return {status: 200, body};
    });
    const file = writeFile(t, {entities: [createDomain()]});
    const result = await runCli('--entry', url, 'config', 'apply', file);
    t.equal(result.exitCode, ExitCode.rejected);
    t.match(result.error, 'changed by pieter at 2023-11-14T22:13:20Z');
  });

  t.test('prints the invalid key of a file', async t => {
    const file = writeFile(t, {entities: [{...createDomain(), colour: 1}]});
    const result = await runCli('check', file);
    t.equal(result.exitCode, ExitCode.usage);
    t.match(result.error, /entities\.0.*colour/s);
  });
});

t.test(
  'check prints the guarantee that the inventory cannot satisfy',
  async t => {
    const guarantees = [{level: 'target', count: 1}];
    const workspace = {kind: 'workspace', id: 'escorts', guarantees};
    const file = writeFile(t, {entities: [createDomain(), workspace]});
    const {exitCode, out} = await runCli('check', file);
    t.equal(exitCode, ExitCode.rejected);
    t.match(out, 'escorts is guaranteed 1 cells of level target in jnb');
  },
);

t.test('drain waits until nothing runs in the failure domain', async t => {
  let readCount = 0;
  const {url} = await startEntry(t, ({method}) => {
    if (method === 'POST') {
      return {status: 200, body: {changeId: 'c', offset: 5, versions: {}}};
    }
    readCount++;
    return {status: 200, body: createInventory(readCount)};
  });
  const result = await runCli('--entry', url, 'drain', 'jnb');
  t.equal(result.exitCode, ExitCode.ok);
  t.match(result.error, 'jnb is out: 1 job running');
  t.equal(readCount, 3);
});

/**
 * Returns the inventory of one read: the first does not show the change yet,
 * the second shows a running job.
 */
function createInventory(readCount: number): object {
  const domain = {
    id: 'jnb',
    region: 'za',
    version: 2,
    state: readCount === 1 ? 'in-service' : 'out',
    queued: 0,
    running: readCount === 2 ? 1 : 0,
    targets: [],
  };
  const freshnessAgeMs = readCount === 1 ? null : 10;
  return {offset: 4 + readCount, freshnessAgeMs, domains: [domain]};
}

/** Applies a configuration file and returns the request that applies the change. */
async function applyFile(
  test: Test,
  file: object,
  current: Entity = createDomain(),
): Promise<ReceivedRequest> {
  const {url, requests} = await startEntry(test, ({method}) =>
    method === 'GET'
      ? {status: 200, body: createConfigurationView([current], 3)}
      : {status: 200, body: {changeId: 'c', offset: 12, versions: {}}},
  );
  const path = writeFile(test, file);
  const result = await runCli('--entry', url, 'config', 'apply', path);
  test.equal(result.exitCode, ExitCode.ok, result.error);
  return requests.at(-1) as ReceivedRequest;
}
