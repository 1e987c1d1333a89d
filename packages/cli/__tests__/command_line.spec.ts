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

interface Run {
  exitCode: ExitCode;
  out: string;
  error: string;
}

async function run(...args: string[]): Promise<Run> {
  let out = '';
  let error = '';
  const exitCode = await runCommandLine(args, {
    environment: {USER: 'thandi'},
    writeOut: text => (out += text),
    writeError: text => (error += text),
  });
  return {exitCode, out, error};
}

async function runAgainst(
  test: Test,
  script: ScriptedResponse,
  ...args: string[]
): Promise<Run> {
  const {url} = await startFakeEntry(test, script);
  return run('--entry', url, '--deadline', '0.1', ...args);
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

const submitArgs = [
  'submit',
  ...['--workspace', 'escorts', '--accelerators', '4', '--request-id', 'r-1'],
  ...['--expected-seconds', '60', '--created-at', '5', '--wait', '0.2'],
];

t.test('the exit code tells how a submit ended', async t => {
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
      t.equal((await runAgainst(t, script, ...submitArgs)).exitCode, exitCode);
    });
  }
  t.test('wrong arguments', async t => {
    t.equal((await run('submit', '--tasks', 'x')).exitCode, ExitCode.usage);
    t.equal((await run('list')).exitCode, ExitCode.usage);
  });
});

t.test('a submit', async t => {
  t.test('tells how to ask again when its fate is unknown', async t => {
    const {error} = await runAgainst(t, 'cut', ...submitArgs);
    t.match(error, '--request-id r-1 --created-at 5');
  });

  t.test('follows the job past an entry that lags behind', async t => {
    const queued = createJobView({phase: 'queued', outcome: undefined});
    const {url} = await startFakeEntry(
      t,
      {status: 202, body: queued},
      refuse('not-found', {kind: 'job', id: 'job-1'}),
      {status: 200, body: createJobView()},
    );
    const result = await run('--entry', url, ...submitArgs, '--wait', '20');
    t.equal(result.exitCode, ExitCode.ok);
    t.match(result.error, 'job job-1 queued in jnb');
  });

  t.test('takes options before the fields of its file', async t => {
    const file = writeFile(t, {
      workspace: 'escorts',
      gang: {tasks: 2, perTask: {accelerators: 8}, adjacency: 'rack'},
      expectedSeconds: 9,
      repeatable: false,
    });
    const {url, requests: seen} = await startFakeEntry(t, {
      status: 200,
      body: createJobView(),
    });
    await run('--entry', url, 'submit', file, '--tasks', '4');
    t.match(seen[0]?.body, {
      gang: {tasks: 4, perTask: {accelerators: 8}, adjacency: 'rack'},
      repeatable: false,
    });
  });
});

t.test('results are tables, or JSON on request', async t => {
  const job = createJobView({text: 'waits for its turn'});
  const script = {status: 200, body: {jobs: [job]}};
  const table = await runAgainst(t, script, 'list');
  t.equal(
    table.out,
    [
      'JOB    WORKSPACE  DOMAIN  STATE      ATTEMPTS  SUBMITTED             REASON',
      'job-1  escorts    jnb     succeeded         1  2023-11-14T22:13:20Z  waits for its turn',
      '',
    ].join('\n'),
  );
  const json = await runAgainst(t, script, '--json', 'list');
  t.same(JSON.parse(json.out), [job]);
  const refusal = refuse('not-found', {kind: 'job', id: 'x'});
  const error = await runAgainst(t, refusal, '--json', 'status', 'x');
  t.equal(JSON.parse(error.out).error.code, 'not-found');
});

t.test('config apply', async t => {
  t.test('sends only what differs, with base versions', async t => {
    const seen = await applyFile(t, {
      entities: [createDomain(), {...createDomain(), id: 'cpt'}],
    });
    t.match(seen.body, {
      author: 'thandi',
      edits: [{entity: 'domain/cpt', baseVersion: 0}],
    });
  });

  t.test('leaves a service state that the file does not name', async t => {
    const domain = {kind: 'domain', id: 'jnb', region: 'south'};
    const seen = await applyFile(t, {entities: [domain]}, createDomain('out'));
    t.match(seen.body, {edits: [{value: {state: 'out', region: 'south'}}]});
  });

  t.test('uses the versions that the file was made from', async t => {
    const domain = {...createDomain(), region: 'south'};
    const versions = {'domain/jnb': 2};
    const seen = await applyFile(t, {entities: [domain], versions});
    t.match(seen.body, {edits: [{baseVersion: 2}]});
  });

  t.test('names who made the change that came first', async t => {
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
    const result = await run('--entry', url, 'config', 'apply', file);
    t.equal(result.exitCode, ExitCode.rejected);
    t.match(result.error, 'changed by pieter at 2023-11-14T22:13:20Z');
  });

  t.test('names the wrong key of a file', async t => {
    const file = writeFile(t, {entities: [{...createDomain(), colour: 1}]});
    const result = await run('check', file);
    t.equal(result.exitCode, ExitCode.usage);
    t.match(result.error, /entities\.0.*colour/s);
  });
});

t.test('check names the guarantee that the inventory cannot hold', async t => {
  const guarantees = [{level: 'target', count: 1}];
  const workspace = {kind: 'workspace', id: 'escorts', guarantees};
  const file = writeFile(t, {entities: [createDomain(), workspace]});
  const {exitCode, out} = await run('check', file);
  t.equal(exitCode, ExitCode.rejected);
  t.match(out, 'escorts is promised 1 cells of level target in jnb');
});

t.test('drain waits until nothing runs in the failure domain', async t => {
  let reads = 0;
  const {url} = await startEntry(t, ({method}) => {
    if (method === 'POST') {
      return {status: 200, body: {changeId: 'c', offset: 5, versions: {}}};
    }
    reads++;
    return {status: 200, body: createInventory(reads)};
  });
  const result = await run('--entry', url, 'drain', 'jnb');
  t.equal(result.exitCode, ExitCode.ok);
  t.match(result.error, 'jnb is out: 1 job running');
  t.equal(reads, 3);
});

/** The first read is older than the change; the second still shows a running job. */
function createInventory(reads: number): object {
  const domain = {
    id: 'jnb',
    region: 'za',
    version: 2,
    state: reads === 1 ? 'in-service' : 'out',
    queued: 0,
    running: reads === 2 ? 1 : 0,
    targets: [],
  };
  const freshnessAgeMs = reads === 1 ? null : 10;
  return {offset: 4 + reads, freshnessAgeMs, domains: [domain]};
}

async function applyFile(
  test: Test,
  file: object,
  present: Entity = createDomain(),
): Promise<ReceivedRequest> {
  const {url, requests: seen} = await startEntry(test, ({method}) =>
    method === 'GET'
      ? {status: 200, body: createConfigurationView([present], 3)}
      : {status: 200, body: {changeId: 'c', offset: 12, versions: {}}},
  );
  const path = writeFile(test, file);
  const result = await run('--entry', url, 'config', 'apply', path);
  test.equal(result.exitCode, ExitCode.ok, result.error);
  return seen.at(-1) as ReceivedRequest;
}
