/** HTTP server shared by the stand-ins. */
import restify from 'restify';

/** Largest request body, in bytes. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** Options of the JSON parser; `maxBodySize` is passed on to its body reader. */
const BODY_PARSER_OPTIONS = {mapParams: false, maxBodySize: MAX_BODY_BYTES};

/** Address on which a stand-in listens. */
export interface ListenAddress {
  /** IP address. */
  host: string;
  /** Port; 0 selects any free port. */
  port: number;
}

/** Handle of a stand-in that accepts connections. */
export interface RunningServer {
  /** Base URL with the actual port. */
  url: string;
  /** Stops listening and closes every connection, also those with open requests. */
  close(): Promise<void>;
}

/** Creates a server that parses JSON bodies and query strings. */
export function createHttpServer(name: string): restify.Server {
  const server = restify.createServer({name});
  server.use(restify.plugins.queryParser({mapParams: false}));
  server.use(restify.plugins.jsonBodyParser(BODY_PARSER_OPTIONS));
  return server;
}

/** Starts listening. Rejects when the address is in use. */
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
