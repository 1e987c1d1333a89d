/** One JSON request over HTTP with a deadline, without retries. */
import got, {RequestError, TimeoutError} from 'got';
import {describeError, type Milliseconds} from '@galenavalve/shared';
import type {ConnectionPool} from './connection_pool.js';

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Codes of errors that precede the first byte of a request. */
const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** Phases of a request, by got's names, in which nothing was sent yet. */
const CONNECT_PHASES = new Set(['lookup', 'connect']);

/** A request with a JSON body and a JSON answer. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'DELETE';
  url: string;
  body?: unknown;
  timeoutMs: Milliseconds;
  /** A longer answer is given up, in bytes. */
  maxResponseBytes: number;
}

/** An answer that came whole; `body` is undefined when it is not JSON. */
export interface JsonResponse {
  status: number;
  body: unknown;
  /** Time that the service asks to wait before another request. */
  retryAfterMs?: Milliseconds;
}

/** No whole answer came. */
export class NoResponse extends Error {
  constructor(
    /** False only when no byte of the request can have reached the service. */
    readonly wasSent: boolean,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(problem, options);
    this.name = 'NoResponse';
  }
}

/** Sends one request. Throws `NoResponse`. */
export async function sendJson(
  pool: ConnectionPool,
  request: JsonRequest,
): Promise<JsonResponse> {
  const call = got(request.url, {
    method: request.method,
    json: request.body,
    agent: {http: pool.agent},
    retry: {limit: 0},
    timeout: {
      connect: Math.min(CONNECT_TIMEOUT_MS, request.timeoutMs),
      request: request.timeoutMs,
    },
    throwHttpErrors: false,
    followRedirect: false,
    decompress: false,
    responseType: 'text',
  });
  let isTooLong = false;
  void call.on('downloadProgress', ({transferred}) => {
    if (transferred > request.maxResponseBytes && !isTooLong) {
      isTooLong = true;
      call.cancel();
    }
  });
  try {
    const answer = await call;
    return {
      status: answer.statusCode,
      body: parseJson(answer.body),
      retryAfterMs: parseRetryAfter(answer.headers['retry-after']),
    };
  } catch (error) {
    if (isTooLong) {
      const problem = `the answer has more than ${request.maxResponseBytes} bytes`;
      throw new NoResponse(true, problem, {cause: error});
    }
    if (error instanceof TimeoutError) {
      pool.closeIdle();
      const problem = `no answer within ${request.timeoutMs} ms`;
      throw new NoResponse(wasSent(error), problem, {cause: error});
    }
    throw new NoResponse(wasSent(error), describeError(error), {cause: error});
  }
}

function wasSent(error: unknown): boolean {
  if (error instanceof TimeoutError) {
    return !CONNECT_PHASES.has(error.event);
  }
  return !(error instanceof RequestError && CONNECT_ERRORS.has(error.code));
}

/** Reads a Retry-After header in seconds; dates are ignored. */
function parseRetryAfter(value: string | undefined): Milliseconds | undefined {
  return value && /^\d{1,5}$/.test(value) ? Number(value) * 1000 : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
