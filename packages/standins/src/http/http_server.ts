/** The HTTP server that every stand-in listens with. */
import restify from 'restify';

/** Largest request body, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** `maxBodySize` is an option of the body reader inside the JSON parser. */
const bodyOptions = {mapParams: false, maxBodySize: MAX_BODY_BYTES};

/** Where a stand-in listens. */
export interface ListenAddress {
  /** IP number. */
  host: string;
  /** Port; 0 for any free one. */
  port: number;
}

/** A stand-in that listens. */
export interface RunningServer {
  url: string;
  /** Closes the listener and every connection. */
  close(): Promise<void>;
}

/** Creates a server that reads JSON bodies and query strings. */
export function createHttpServer(name: string): restify.Server {
  const server = restify.createServer({name});
  server.use(restify.plugins.queryParser({mapParams: false}));
  server.use(restify.plugins.jsonBodyParser(bodyOptions));
  return server;
}

/** Starts to listen. Rejects when the address is taken. */
export async function listen(
  server: restify.Server,
  {host, port}: ListenAddress,
): Promise<RunningServer> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
  return {
    url: `http://${host}:${server.address().port}`,
    close: () => close(server),
  };
}

function close(server: restify.Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.server.closeAllConnections();
  });
}
