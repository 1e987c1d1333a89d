/** Fixtures: entry instances that answer by script, and views. */
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Test} from 'tap';
import type {ConfigurationView, Entity, JobView} from '@galenavalve/model';
import {getEntityKey} from '@galenavalve/model';
import {ERROR_TEMPLATES, type ErrorCode, Failure} from '@galenavalve/shared';

/** One scripted answer; 'silent' never answers, 'cut' closes the connection. */
export type ScriptedResponse =
  | 'silent'
  | 'cut'
  | {status: number; body: unknown; headers?: Record<string, string>};

/** A request as an entry instance saw it. */
export interface ReceivedRequest {
  method: string;
  path: string;
  body: unknown;
}

/** A fake entry instance. */
export interface FakeEntry {
  url: string;
  requests: ReceivedRequest[];
}

/** Starts an entry instance that gives the scripted answers; the last one again and again. */
export async function startFakeEntry(
  test: Test,
  ...scripts: ScriptedResponse[]
): Promise<FakeEntry> {
  return startEntry(test, () =>
    scripts.length > 1 ? scripts.shift() : scripts[0],
  );
}

/** Starts an entry instance whose answer depends on the request. */
export async function startEntry(
  test: Test,
  answer: (request: ReceivedRequest) => ScriptedResponse | undefined,
): Promise<FakeEntry> {
  const seen: ReceivedRequest[] = [];
  const server = createServer(async (request, response) => {
    const {method = '', url: path = ''} = request;
    const seenRequest = {method, path, body: await readBody(request)};
    seen.push(seenRequest);
    const script = answer(seenRequest) ?? 'silent';
    if (script === 'cut') {
      request.socket.destroy();
    } else if (script !== 'silent') {
      response.writeHead(script.status, script.headers);
      response.end(JSON.stringify(script.body));
    }
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  test.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as AddressInfo;
  return {url: `http://127.0.0.1:${port}`, requests: seen};
}

/** A daemon's refusal. */
export function refuse(
  code: ErrorCode,
  details: Record<string, string | number> = {},
  headers: Record<string, string> = {},
): ScriptedResponse {
  const {status} = ERROR_TEMPLATES[code];
  return {status, body: new Failure(code, details).toJSON(), headers};
}

/** A job's view. */
export function createJobView(fields: Partial<JobView> = {}): JobView {
  return {
    jobId: 'job-1',
    requestId: 'r-1',
    workspace: 'escorts',
    domain: 'jnb',
    phase: 'finished',
    urgent: false,
    attempts: 1,
    submittedAt: 1_700_000_000_000,
    outcome: 'succeeded',
    cancelRequested: false,
    ...fields,
  };
}

/** The configuration in force, every entity at the same version. */
export function createConfigurationView(
  values: readonly Entity[],
  version: number,
): ConfigurationView {
  const entities = values.map(value => ({
    entity: getEntityKey(value),
    version,
    value,
  }));
  return {offset: 10, entities};
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  let text = '';
  for await (const chunk of request) {
    text += chunk;
  }
  return text === '' ? undefined : JSON.parse(text);
}
