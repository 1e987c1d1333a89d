/** HTTP server on a loopback port, for stand-ins of the platform's services. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import getRawBody from 'raw-body';

/** Largest accepted request body. */
const MAX_BODY_BYTES = 4_194_304;

/** A request to a stand-in. */
export interface StandinRequest {
  path: string;
  query: URLSearchParams;
  body: Buffer;
}

/** A response; undefined if none is sent. An object is sent as JSON. */
export type StandinResponse =
  {status: number; body: Buffer | object} | undefined;

/** A running stand-in. */
export interface Standin {
  /** IP:PORT. */
  address: string;
  close(): void;
}

/** Serves requests on an ephemeral port of the loopback interface. */
export async function serveHttp(
  handleRequest: (request: StandinRequest) => Promise<StandinResponse>,
): Promise<Standin> {
  const server = createServer((request, response) => {
    void respond(handleRequest, request, response);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, close: () => closeAll(server)};
}

async function respond(
  handleRequest: (request: StandinRequest) => Promise<StandinResponse>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await getRawBody(request, {limit: MAX_BODY_BYTES});
    const url = new URL(request.url ?? '/', 'http://standin');
    const result = await handleRequest({
      path: url.pathname,
      query: url.searchParams,
      body,
    });
    if (!result) {
      // The connection stays open without a response, as in a network partition.
      return;
    }
    response.statusCode = result.status;
    const isBytes = Buffer.isBuffer(result.body);
    response.end(isBytes ? result.body : JSON.stringify(result.body));
  } catch {
    // The caller disconnected or its request failed; in both cases no response is sent.
    request.destroy();
  }
}

function closeAll(server: Server): void {
  server.close();
  server.closeAllConnections();
}
