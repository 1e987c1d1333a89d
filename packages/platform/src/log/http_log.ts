/** HTTP client of the platform's log. */
import type {Agent} from 'node:http';
import type {
  AppendReceipt,
  Log,
  LogPage,
  ReadOptions,
} from '@galenavalve/ledger';
import {describeError, Failure, type Milliseconds} from '@galenavalve/shared';
import {ConnectionPool} from '../http/connection_pool.js';
import {type JsonResponse, NoResponse, sendJson} from '../http/json_client.js';
import {appendReceipt, logPage, logRefusal} from './log_protocol.js';

/** Largest response to an append. */
const MAX_RECEIPT_BYTES = 4096;

/** Largest page of records. */
const MAX_PAGE_BYTES = 64 * 1024 * 1024;

/** Options of the log client. */
export interface HttpLogOptions {
  /** Base URL of the service, with an IP address as host. */
  baseUrl: string;
  /** Agent to send requests with; by default a new connection pool. */
  agent?: Agent;
}

/**
 * Log over HTTP. Does not retry: only the caller, who knows the record ids, can
 * decide whether an append may be repeated.
 *
 * An append fails with `append-rejected` when nothing was written and with
 * `append-uncertain` when it may have taken effect. A read fails with
 * `offset-expired` or `read-failed`.
 */
export class HttpLog implements Log {
  private readonly url: string;
  private readonly pool: ConnectionPool;

  constructor({baseUrl, agent}: HttpLogOptions) {
    this.url = `${baseUrl.replace(/\/+$/, '')}/v1/records`;
    this.pool = new ConnectionPool(agent);
  }

  async append(
    values: readonly unknown[],
    timeoutMs: Milliseconds,
  ): Promise<AppendReceipt> {
    const response = await this.send(values, timeoutMs);
    const receipt = appendReceipt.safeParse(response.body);
    if (response.status === 200 && isReceiptFor(values.length, receipt.data)) {
      return receipt.data;
    }
    throw createAppendFailure(response);
  }

  async read(offset: number, options: ReadOptions): Promise<LogPage> {
    const response = await this.fetchPage(offset, options);
    const page = logPage.safeParse(response.body);
    if (response.status === 200 && page.success) {
      return checkPage(offset, page.data as LogPage);
    }
    throw createReadFailure(offset, response);
  }

  /** Closes the connections. */
  close(): void {
    this.pool.close();
  }

  private async send(
    values: readonly unknown[],
    timeoutMs: Milliseconds,
  ): Promise<JsonResponse> {
    try {
      return await sendJson(this.pool, {
        method: 'POST',
        url: this.url,
        body: {values},
        timeoutMs,
        maxResponseBytes: MAX_RECEIPT_BYTES,
      });
    } catch (error) {
      const isRejected = error instanceof NoResponse && !error.wasSent;
      const code = isRejected ? 'append-rejected' : 'append-uncertain';
      throw new Failure(code, {problem: describeError(error)}, {cause: error});
    }
  }

  private async fetchPage(
    offset: number,
    {limit, wait, timeout}: ReadOptions,
  ): Promise<JsonResponse> {
    const query = `offset=${offset}&limit=${limit}&waitMs=${Math.round(wait)}`;
    try {
      return await sendJson(this.pool, {
        method: 'GET',
        url: `${this.url}?${query}`,
        timeoutMs: timeout,
        maxResponseBytes: MAX_PAGE_BYTES,
      });
    } catch (error) {
      const problem = describeError(error);
      throw new Failure('read-failed', {offset, problem}, {cause: error});
    }
  }
}

/** Whether the receipt covers exactly `count` values. */
function isReceiptFor(
  count: number,
  receipt: AppendReceipt | undefined,
): receipt is AppendReceipt {
  return (
    receipt !== undefined && receipt.nextOffset - receipt.firstOffset === count
  );
}

/** Treats an append as rejected only if the log service itself states that nothing was written. */
function createAppendFailure({status, body}: JsonResponse): Failure {
  const refusal = logRefusal.safeParse(body);
  if (status >= 400 && refusal.success) {
    return new Failure('append-rejected', {problem: refusal.data.message});
  }
  const problem = `the response with status ${status} does not follow the log protocol`;
  return new Failure('append-uncertain', {problem});
}

function createReadFailure(offset: number, response: JsonResponse): Failure {
  const refusal = logRefusal.safeParse(response.body);
  if (refusal.data?.code === 'offset-expired') {
    const oldest = refusal.data.oldestOffset ?? offset + 1;
    return new Failure('offset-expired', {offset, oldest});
  }
  const problem =
    refusal.data?.message ??
    `the response with status ${response.status} does not follow the log protocol`;
  return new Failure('read-failed', {offset, problem});
}

/** Checks that the page continues at `offset` without gaps; the fold would otherwise skip or repeat records. */
function checkPage(offset: number, page: LogPage): LogPage {
  let expected = offset;
  for (const entry of page.entries) {
    if (entry.offset !== expected) {
      throw createGapFailure(offset, expected, entry.offset);
    }
    expected++;
  }
  if (page.nextOffset !== expected || page.endOffset < expected) {
    throw createGapFailure(offset, expected, page.nextOffset);
  }
  return page;
}

function createGapFailure(
  offset: number,
  expected: number,
  found: number,
): Failure {
  const problem = `expected offset ${expected}, but received ${found}`;
  return new Failure('read-failed', {offset, problem});
}
