/** Fixtures: fake entry instances with scripted responses, and views. */
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Test} from 'tap';
import type {ConfigurationView, Entity, JobView} from '@galenavalve/model';
import {getEntityKey} from '@galenavalve/model';
import {ERROR_TEMPLATES, type ErrorCode, Failure} from '@galenavalve/shared';

/** A scripted response; 'silent' sends none, 'cut' closes the connection. */
export type ScriptedResponse =
  | 'silent'
  | 'cut'
  | {status: number; body: unknown; headers?: Record<string, string>};

/** A request that a fake entry instance received. */
export interface ReceivedRequest {
  method: string;
  path: string;
  body: unknown;
}

/** A fake entry instance that runs. */
export interface FakeEntry {
  url: string;
  /** Requests received so far, in order. */
  requests: ReceivedRequest[];
}

/**
 * Starts an entry instance that sends the scripted responses in order and
 * repeats the last one.
 */
export async function startFakeEntry(
  test: Test,
  ...responses: ScriptedResponse[]
): Promise<FakeEntry> {
  return startEntry(test, () =>
    responses.length > 1 ? responses.shift() : responses[0],
  );
}

/** Starts an entry instance whose response depends on the request; undefined sends none. */
export async function startEntry(
  test: Test,
  respond: (request: ReceivedRequest) => ScriptedResponse | undefined,
): Promise<FakeEntry> {
  const requests: ReceivedRequest[] = [];
  const server = createServer(async (request, response) => {
    const {method = '', url: path = ''} = request;
    const receivedRequest = {method, path, body: await readBody(request)};
    requests.push(receivedRequest);
    const script = respond(receivedRequest) ?? 'silent';
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
  return {url: `http://127.0.0.1:${port}`, requests};
}

/** Creates an error response of a daemon. */
export function refuse(
  code: ErrorCode,
  details: Record<string, string | number> = {},
  headers: Record<string, string> = {},
): ScriptedResponse {
  const {status} = ERROR_TEMPLATES[code];
  return {status, body: new Failure(code, details).toJSON(), headers};
}

/** Creates the view of a job, by default one that has succeeded. */
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

/** Creates the view of a configuration whose entities all have the same version. */
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
