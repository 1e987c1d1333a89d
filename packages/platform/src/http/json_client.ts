/** HTTP client for a single JSON request with a timeout and without retries. */
import got, {RequestError, TimeoutError} from 'got';
import {describeError, type Milliseconds} from '@galenavalve/shared';
import type {ConnectionPool} from './connection_pool.js';

/** Longest time to open a connection. */
const CONNECT_TIMEOUT_MS = 1000;

/** Error codes that occur before any byte of a request is sent. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
]);

/** Timeout phases, by got's names, in which nothing was sent yet. */
const CONNECT_PHASES = new Set(['lookup', 'connect']);

/** Request with a JSON body and a JSON response. */
export interface JsonRequest {
  method: 'GET' | 'POST' | 'DELETE';
  url: string;
  body?: unknown;
  /** Time for the whole request, including the connection. */
  timeoutMs: Milliseconds;
  /** Largest response in bytes; a larger one is aborted. */
  maxResponseBytes: number;
}

/** Complete response. */
export interface JsonResponse {
  status: number;
  /** Parsed body; undefined when it is not JSON. */
  body: unknown;
  /** Value of the Retry-After header. */
  retryAfterMs?: Milliseconds;
}

/** Error for a request without a complete response. */
export class NoResponse extends Error {
  constructor(
    /** False only when no byte of the request can have reached the service; such a request is safe to repeat. */
    readonly wasSent: boolean,
    problem: string,
    options?: ErrorOptions,
  ) {
    super(problem, options);
    this.name = 'NoResponse';
  }
}

/** Sends one request and returns its response, whatever the status. Throws `NoResponse`. */
export async function sendJson(
  pool: ConnectionPool,
  request: JsonRequest,
): Promise<JsonResponse> {
  const responsePromise = got(request.url, {
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
  void responsePromise.on('downloadProgress', ({transferred}) => {
    if (transferred > request.maxResponseBytes && !isTooLong) {
      isTooLong = true;
      responsePromise.cancel();
    }
  });
  try {
    const response = await responsePromise;
    return {
      status: response.statusCode,
      body: parseJson(response.body),
      retryAfterMs: parseRetryAfter(response.headers['retry-after']),
    };
  } catch (error) {
    if (isTooLong) {
      const problem = `the response is larger than ${request.maxResponseBytes} bytes`;
      throw new NoResponse(true, problem, {cause: error});
    }
    if (error instanceof TimeoutError) {
      pool.closeIdle();
      const problem = `no response within ${request.timeoutMs} ms`;
      throw new NoResponse(mayHaveBeenSent(error), problem, {cause: error});
    }
    throw new NoResponse(mayHaveBeenSent(error), describeError(error), {
      cause: error,
    });
  }
}

/** Whether any byte of a failed request may have been sent. */
function mayHaveBeenSent(error: unknown): boolean {
  if (error instanceof TimeoutError) {
    return !CONNECT_PHASES.has(error.event);
  }
  return !(
    error instanceof RequestError && CONNECT_ERROR_CODES.has(error.code)
  );
}

/** Parses a Retry-After header in seconds; dates are ignored. */
function parseRetryAfter(value: string | undefined): Milliseconds | undefined {
  return value && /^\d{1,5}$/.test(value) ? Number(value) * 1000 : undefined;
}

/** Returns undefined when `text` is not JSON. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
