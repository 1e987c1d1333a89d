/** HTTP stand-in for the platform's log. */
import type {Request, Response} from 'restify';
import {z} from 'zod';
import {MemoryLog} from '@galenavalve/ledger';
import {appendBody, type LogRefusal} from '@galenavalve/platform';
import {
  type Clock,
  describeError,
  isFailure,
  SystemClock,
} from '@galenavalve/shared';
import {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from '../http/http_server.js';
import {applyLogControl, type LogControl, logControl} from './log_control.js';

const DEFAULT_APPENDS_PER_SECOND = 400;
const DEFAULT_RETENTION_RECORDS = 1_000_000;

/** Longest `waitMs` of a read. */
const MAX_WAIT_MS = 30_000;

/** Largest `limit` of a read. */
const MAX_PAGE_RECORDS = 10_000;

/** Query parameters of `GET /v1/records`. */
const readQuery = z.object({
  offset: z.coerce.number().int().nonnegative(),
  limit: z.coerce.number().int().positive().max(MAX_PAGE_RECORDS),
  waitMs: z.coerce.number().nonnegative().max(MAX_WAIT_MS).default(0),
});

/** Options of the log stand-in. */
export interface LogServerOptions extends ListenAddress {
  /** Rate limit in appends per second, regardless of their size; 400 by default. */
  appendsPerSecond?: number;
  /** Number of latest records to keep; 1,000,000 by default. */
  retentionRecords?: number;
  /** Clock of the rate limit and the injected delays; the system clock by default. */
  clock?: Clock;
}

/** Handle of a running log stand-in. */
export interface RunningLogServer extends RunningServer {
  /** Log behind the server, for direct access. */
  log: MemoryLog;
  /** Has the same effect as `POST /control`. */
  applyControl(control: LogControl): void;
}

/** Starts the log stand-in. */
export async function startLogServer(
  options: LogServerOptions,
): Promise<RunningLogServer> {
  const log = new MemoryLog(options.clock ?? new SystemClock(), {
    appendsPerSecond: options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
    retention: options.retentionRecords ?? DEFAULT_RETENTION_RECORDS,
  });
  const server = createHttpServer('log');
  server.post('/v1/records', async (request, response) =>
    serveAppend(log, request, response),
  );
  server.get('/v1/records', async (request, response) =>
    serveRead(log, request, response),
  );
  server.post('/control', async (request, response) =>
    serveControl(log, request, response),
  );
  const running = await listen(server, options);
  return {
    ...running,
    log,
    applyControl: control => applyLogControl(log, control),
  };
}

/**
 * Serves `POST /v1/records`. Closes the connection without a response when the
 * outcome of the append is uncertain.
 */
async function serveAppend(
  log: MemoryLog,
  request: Request,
  response: Response,
): Promise<void> {
  const body = appendBody.safeParse(request.body);
  if (!body.success) {
    sendRefusal(response, 400, 'bad-request', z.prettifyError(body.error));
    return;
  }
  const {outage, appendLatency} = log.faults;
  if (outage === 'silent') {
    return;
  }
  try {
    response.send(200, await log.append(body.data.values, appendLatency));
  } catch (error) {
    if (!isFailure(error, 'append-rejected')) {
      response.socket?.destroy();
    } else if (outage === 'refused') {
      sendRefusal(response, 503, 'outage', error.message);
    } else {
      sendRefusal(response, 429, 'append-budget-used', error.message);
    }
  }
}

/** Serves `GET /v1/records`. */
async function serveRead(
  log: MemoryLog,
  request: Request,
  response: Response,
): Promise<void> {
  const query = readQuery.safeParse(request.query);
  if (!query.success) {
    sendRefusal(response, 400, 'bad-request', z.prettifyError(query.error));
    return;
  }
  const {offset, limit, waitMs} = query.data;
  if (log.faults.outage === 'silent') {
    return;
  }
  try {
    const options = {limit, wait: waitMs, timeout: waitMs};
    response.send(200, await log.read(offset, options));
  } catch (error) {
    if (isFailure(error, 'offset-expired')) {
      const oldest = Number(error.details['oldest']);
      sendRefusal(response, 410, 'offset-expired', error.message, oldest);
    } else {
      sendRefusal(response, 503, 'outage', describeError(error));
    }
  }
}

/** Serves `POST /control`; responds with the faults in force. */
async function serveControl(
  log: MemoryLog,
  request: Request,
  response: Response,
): Promise<void> {
  const control = logControl.safeParse(request.body);
  if (!control.success) {
    response.send(400, {message: z.prettifyError(control.error)});
    return;
  }
  applyLogControl(log, control.data);
  response.send(200, log.faults);
}

/** Sends a refusal, which states that nothing was written. */
function sendRefusal(
  response: Response,
  status: number,
  code: LogRefusal['code'],
  message: string,
  oldestOffset?: number,
): void {
  const body: LogRefusal = {code, message, written: false, oldestOffset};
  response.send(status, body);
}
