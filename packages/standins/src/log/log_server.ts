/** The log stand-in over HTTP. */
import type {Request, Response} from 'restify';
import {z} from 'zod';
import {appendBody, type LogRefusal} from '@galenavalve/platform';
import {type Clock, isFailure, SystemClock} from '@galenavalve/shared';
import {
  createHttpServer,
  listen,
  type ListenAddress,
  type RunningServer,
} from '../http/http_server.js';
import {LogControl, logFaults} from './log_control.js';
import {LogStore} from './log_store.js';

const DEFAULT_APPENDS_PER_SECOND = 400;
const DEFAULT_RETENTION_RECORDS = 1_000_000;

/** Longest time that a read waits for a record, in milliseconds. */
const MAX_WAIT_MS = 30_000;

/** Most records of one page. */
const MAX_PAGE_RECORDS = 10_000;

/** The query of `GET /v1/records`. */
const readQuery = z.object({
  offset: z.coerce.number().int().nonnegative(),
  limit: z.coerce.number().int().positive().max(MAX_PAGE_RECORDS),
  waitMs: z.coerce.number().nonnegative().max(MAX_WAIT_MS).default(0),
});

/** Address and limits of the log stand-in. */
export interface LogServerOptions extends ListenAddress {
  appendsPerSecond?: number;
  retentionRecords?: number;
  clock?: Clock;
}

/** A log stand-in that listens. */
export interface RunningLog extends RunningServer {
  control: LogControl;
  store: LogStore;
}

/** Starts the log stand-in. */
export async function startLogServer(
  options: LogServerOptions,
): Promise<RunningLog> {
  const clock = options.clock ?? new SystemClock();
  const store = new LogStore({
    appendsPerSecond: options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
    retentionRecords: options.retentionRecords ?? DEFAULT_RETENTION_RECORDS,
    clock,
  });
  const control = new LogControl();
  const handlers = new LogHandlers(store, control, clock);
  const server = createHttpServer('log');
  server.post('/v1/records', async (request, response) =>
    handlers.append(request, response),
  );
  server.get('/v1/records', async (request, response) =>
    handlers.read(request, response),
  );
  server.post('/control', async (request, response) =>
    handlers.setFaults(request, response),
  );
  return {...(await listen(server, options)), control, store};
}

class LogHandlers {
  constructor(
    private readonly store: LogStore,
    private readonly control: LogControl,
    private readonly clock: Clock,
  ) {}

  async append(request: Request, response: Response): Promise<void> {
    const body = appendBody.safeParse(request.body);
    if (!body.success) {
      refuse(response, 400, 'bad-request', z.prettifyError(body.error));
      return;
    }
    if (!(await this.isServing(response))) {
      return;
    }
    await this.clock.sleep(this.control.current.delayedAppendMs);
    try {
      const receipt = this.store.append(body.data.values);
      await this.answerAppend(response, receipt);
    } catch (error) {
      if (!isFailure(error, 'append-rejected')) {
        throw error;
      }
      refuse(response, 429, 'append-budget-used', error.message);
    }
  }

  async read(request: Request, response: Response): Promise<void> {
    const query = readQuery.safeParse(request.query);
    if (!query.success) {
      refuse(response, 400, 'bad-request', z.prettifyError(query.error));
      return;
    }
    const {offset, limit, waitMs} = query.data;
    if (!(await this.isServing(response))) {
      return;
    }
    await this.store.waitFor(offset, waitMs);
    if (!(await this.isServing(response))) {
      return;
    }
    try {
      const page = this.store.read(offset, limit);
      await this.clock.sleep(this.control.current.delayMs);
      response.send(200, page);
    } catch (error) {
      if (!isFailure(error, 'offset-expired')) {
        throw error;
      }
      const oldestOffset = Number(error.details.oldest);
      refuse(response, 410, 'offset-expired', error.message, oldestOffset);
    }
  }

  async setFaults(request: Request, response: Response): Promise<void> {
    const faults = logFaults.safeParse(request.body);
    if (!faults.success) {
      response.send(400, {message: z.prettifyError(faults.error)});
      return;
    }
    this.control.set(faults.data);
    response.send(200, this.control.current);
  }

  private async answerAppend(
    response: Response,
    receipt: object,
  ): Promise<void> {
    if (this.control.takeLostAnswer()) {
      response.socket?.destroy();
      return;
    }
    await this.clock.sleep(this.control.current.delayMs);
    response.send(200, receipt);
  }

  /** False when a fault keeps the request from being served; it was answered if it is answered at all. */
  private async isServing(response: Response): Promise<boolean> {
    const {outage, silent} = this.control.current;
    if (outage && !silent) {
      refuse(response, 503, 'outage', 'the log has an outage');
    }
    return !outage && !silent;
  }
}

function refuse(
  response: Response,
  status: number,
  code: LogRefusal['code'],
  message: string,
  oldestOffset?: number,
): void {
  const body: LogRefusal = {code, message, written: false, oldestOffset};
  response.send(status, body);
}
