/** The HTTP interface for callers and operators, by restify. */
import restify, {type Request, type Response, type Server} from 'restify';
import {MAX_REQUEST_BYTES} from '@galenavalve/model';
import {Failure, describeError} from '@galenavalve/shared';
import type {DaemonContext} from '../daemon_context.js';
import {getBodyBytes, createBodyReader} from './body_reader.js';
import {addClusterRoutes} from './cluster_routes.js';
import {addJobRoutes} from './job_routes.js';
import {addProbeRoutes} from './probe_routes.js';

/** Largest body of a configuration change, in bytes. */
const MAX_CONFIGURATION_BYTES = 4_194_304;

/** Seconds after which a caller that was told "not run" may try again. */
const RETRY_AFTER_SECONDS = 1;

/** Answers one request. What it returns is the body; errors become typed bodies. */
export type RouteHandler = (
  request: Request,
  response: Response,
) => Promise<HttpResponse> | HttpResponse;

/** A status with its body. */
export interface HttpResponse {
  status: number;
  body: unknown;
  /** Content type; JSON when absent. */
  contentType?: string;
}

/** Registers routes on the server. */
export interface Router {
  add(method: 'get' | 'post' | 'del', path: string, route: RouteHandler): void;
}

/** The running server. */
export interface HttpServer {
  port: number;
  /** Stops taking connections and resolves when the last answer is sent. */
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
      // Lets the balancer move its connections to other instances.
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

/** Throws `body-too-large` for a job request that is too long. */
export function checkRequestSize(request: Request): void {
  if (getBodyBytes(request) > MAX_REQUEST_BYTES) {
    throw new Failure('body-too-large', {limitBytes: MAX_REQUEST_BYTES});
  }
}

function createRouter(context: DaemonContext, server: Server): Router {
  return {
    add(method, path, route) {
      server[method](path, async (request: Request, response: Response) => {
        const reply = await answer(context, route, request, response);
        context.metrics.requests.inc({route: path, status: reply.status});
        send(response, reply);
      });
    },
  };
}

async function answer(
  context: DaemonContext,
  route: RouteHandler,
  request: Request,
  response: Response,
): Promise<HttpResponse> {
  try {
    return await route(request, response);
  } catch (error) {
    const failure = toFailure(error);
    if (failure.status === 429 || failure.status === 503) {
      response.setHeader('Retry-After', String(RETRY_AFTER_SECONDS));
    }
    context.logger.info('refused', {
      path: request.path(),
      code: failure.code,
      text: failure.message,
    });
    return {status: failure.status, body: failure.toJSON()};
  }
}

function send(response: Response, reply: HttpResponse): void {
  if (reply.contentType) {
    response.sendRaw(reply.status, String(reply.body), {
      'Content-Type': reply.contentType,
    });
    return;
  }
  response.sendRaw(reply.status, JSON.stringify(reply.body), {
    'Content-Type': 'application/json',
  });
}

/** Errors of restify itself, such as a body that is not JSON, get a typed body too. */
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
