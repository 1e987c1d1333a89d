/** The HTTP interface for callers and operators, implemented with restify. */
import restify, {type Request, type Response, type Server} from 'restify';
import {MAX_REQUEST_BYTES} from '@galenavalve/model';
import {Failure, describeError} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {getBodyBytes, createBodyReader} from './body_reader.js';
import {addClusterRoutes} from './cluster_routes.js';
import {addJobRoutes} from './job_routes.js';
import {addProbeRoutes} from './probe_routes.js';

/** Maximum size of the body of any request, in bytes; configuration changes need the most. */
const MAX_CONFIGURATION_BYTES = 4_194_304;

/** Value of the `Retry-After` header of a request that was refused as "not run". */
const RETRY_AFTER_SECONDS = 1;

/** Handles a request and returns the response. Errors that it throws become responses with a typed body. */
export type RouteHandler = (
  request: Request,
  response: Response,
) => Promise<HttpResponse> | HttpResponse;

/** An HTTP response. */
export interface HttpResponse {
  status: number;
  body: unknown;
  /** Content type; JSON when absent. */
  contentType?: string;
}

/** Registers request handlers on the server. */
export interface Router {
  add(
    method: 'get' | 'post' | 'del',
    path: string,
    handler: RouteHandler,
  ): void;
}

/** The running server. */
export interface HttpServer {
  port: number;
  /** Stops accepting connections; resolves when the last response has been sent. */
  close(): Promise<void>;
}

/** Starts the server of a daemon. */
export async function startHttpServer(
  context: DaemonContext,
): Promise<HttpServer> {
  const server = restify.createServer({
    name: 'galenavalved',
    handleUncaughtExceptions: false,
  });
  server.pre((request: Request, response: Response, next: restify.Next) => {
    if (context.stage === 'stopping') {
      // Makes the load balancer move its connections to other instances.
      response.setHeader('Connection', 'close');
    }
    next();
  });
  server.use(restify.plugins.queryParser({mapParams: false}));
  server.use(...createBodyReader(MAX_CONFIGURATION_BYTES));
  server.on('restifyError', onRestifyError);
  const router = createRouter(context, server);
  addJobRoutes(context, router);
  addClusterRoutes(context, router);
  addProbeRoutes(context, router);
  await listen(server, context.settings.http.port, context.settings.http.host);
  return {port: server.address().port, close: () => closeServer(server)};
}

/** Throws `body-too-large` for a job request above `MAX_REQUEST_BYTES`. */
export function checkRequestSize(request: Request): void {
  if (getBodyBytes(request) > MAX_REQUEST_BYTES) {
    throw new Failure('body-too-large', {limitBytes: MAX_REQUEST_BYTES});
  }
}

function createRouter(context: DaemonContext, server: Server): Router {
  return {
    add(method, path, handler) {
      server[method](path, async (request: Request, response: Response) => {
        const result = await handleRequest(context, handler, request, response);
        context.metrics.requests.inc({route: path, status: result.status});
        sendResponse(response, result);
      });
    },
  };
}

async function handleRequest(
  context: DaemonContext,
  handler: RouteHandler,
  request: Request,
  response: Response,
): Promise<HttpResponse> {
  try {
    return await handler(request, response);
  } catch (error) {
    const failure = toFailure(error);
    if (failure.status === 429 || failure.status === 503) {
      response.setHeader('Retry-After', String(RETRY_AFTER_SECONDS));
    }
    // Logged for every request that fails in a handler, also with an internal error.
    context.logger.info('refused', {
      path: request.path(),
      code: failure.code,
      text: failure.message,
    });
    return {status: failure.status, body: failure.toJSON()};
  }
}

function sendResponse(response: Response, result: HttpResponse): void {
  if (result.contentType) {
    response.sendRaw(result.status, String(result.body), {
      'Content-Type': result.contentType,
    });
    return;
  }
  response.sendRaw(result.status, JSON.stringify(result.body), {
    'Content-Type': 'application/json',
  });
}

/** Gives errors of restify itself, such as a body that is not JSON, a typed body. */
function onRestifyError(
  _request: Request,
  _response: Response,
  error: Error & {statusCode?: number; toJSON?: () => unknown},
  next: restify.Next,
): void {
  const status = error.statusCode ?? 500;
  const failure =
    status === 413
      ? new Failure('body-too-large', {limitBytes: MAX_CONFIGURATION_BYTES})
      : status === 404 || status === 405
        ? new Failure('not-found', {kind: 'route', id: error.message})
        : new Failure('bad-request', {problem: error.message});
  error.toJSON = () => failure.toJSON();
  next();
}

function toFailure(error: unknown): Failure {
  return error instanceof Failure
    ? error
    : new Failure('internal', {problem: describeError(error)}, {cause: error});
}

function listen(server: Server, port: number, host: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.server.closeIdleConnections();
  });
}
