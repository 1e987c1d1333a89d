/** A small HTTP server on a loopback port, for stand-ins. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import getRawBody from 'raw-body';

/** Largest body, in bytes. */
const MAX_BODY_BYTES = 4_194_304;

/** A request as stand-ins see it. */
export interface StandinRequest {
  path: string;
  query: URLSearchParams;
  body: Buffer;
}

/** A response; undefined leaves the caller without one. */
export type StandinResponse =
  {status: number; body: Buffer | object} | undefined;

/** A running stand-in. */
export interface Standin {
  /** IP:PORT. */
  address: string;
  close(): void;
}

/** Serves on a port of the kernel's choice. */
export async function serveHttp(
  answer: (request: StandinRequest) => Promise<StandinResponse>,
): Promise<Standin> {
  const server = createServer((request, response) => {
    void respond(answer, request, response);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${port}`, close: () => closeAll(server)};
}

async function respond(
  answer: (request: StandinRequest) => Promise<StandinResponse>,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const body = await getRawBody(request, {limit: MAX_BODY_BYTES});
    const url = new URL(request.url ?? '/', 'http://standin');
    const reply = await answer({
      path: url.pathname,
      query: url.searchParams,
      body,
    });
    if (!reply) {
      // The connection stays open and silent, as it does behind a cut.
      return;
    }
    response.statusCode = reply.status;
    const isBytes = Buffer.isBuffer(reply.body);
    response.end(isBytes ? reply.body : JSON.stringify(reply.body));
  } catch {
    // The caller went away, or what it asked for failed: either way it gets no answer.
    request.destroy();
  }
}

function closeAll(server: Server): void {
  server.close();
  server.closeAllConnections();
}
