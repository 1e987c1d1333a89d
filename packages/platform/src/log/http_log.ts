/** The platform's log over HTTP. */
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

/** Largest answer to an append, in bytes. */
const MAX_RECEIPT_BYTES = 4096;

/** Largest page of records, in bytes. */
const MAX_PAGE_BYTES = 64 * 1024 * 1024;

/** Where the log service is. */
export interface HttpLogOptions {
  /** Base URL of the service, by IP number. */
  baseUrl: string;
  /** Connections to use; by default a pool of its own. */
  agent?: Agent;
}

/**
 * The log service over HTTP. Requests are never repeated here: whether an
 * append may be repeated is for the caller to decide, who knows its record ids.
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
    timeout: Milliseconds,
  ): Promise<AppendReceipt> {
    const answer = await this.send(values, timeout);
    const receipt = appendReceipt.safeParse(answer.body);
    if (answer.status === 200 && isReceiptFor(values.length, receipt.data)) {
      return receipt.data;
    }
    throw createAppendFailure(answer);
  }

  async read(offset: number, options: ReadOptions): Promise<LogPage> {
    const answer = await this.fetchPage(offset, options);
    const page = logPage.safeParse(answer.body);
    if (answer.status === 200 && page.success) {
      return checkPage(offset, page.data as LogPage);
    }
    throw createReadFailure(offset, answer);
  }

  /** Closes the connections. */
  close(): void {
    this.pool.close();
  }

  private async send(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<JsonResponse> {
    try {
      return await sendJson(this.pool, {
        method: 'POST',
        url: this.url,
        body: {values},
        timeoutMs: timeout,
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

function isReceiptFor(
  count: number,
  receipt: AppendReceipt | undefined,
): receipt is AppendReceipt {
  return (
    receipt !== undefined && receipt.nextOffset - receipt.firstOffset === count
  );
}

/** A refusal counts only when the service itself says that it wrote nothing. */
function createAppendFailure({status, body}: JsonResponse): Failure {
  const refusal = logRefusal.safeParse(body);
  if (status >= 400 && refusal.success) {
    return new Failure('append-rejected', {problem: refusal.data.message});
  }
  const problem = `the answer with status ${status} is not one of the log's`;
  return new Failure('append-uncertain', {problem});
}

function createReadFailure(offset: number, answer: JsonResponse): Failure {
  const refusal = logRefusal.safeParse(answer.body);
  if (refusal.data?.code === 'offset-expired') {
    const oldest = refusal.data.oldestOffset ?? offset + 1;
    return new Failure('offset-expired', {offset, oldest});
  }
  const problem =
    refusal.data?.message ??
    `the answer with status ${answer.status} is not one of the log's`;
  return new Failure('read-failed', {offset, problem});
}

/** Offsets that do not fit the question would make the fold skip or repeat records. */
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
  const problem = `offset ${expected} was expected, but ${found} was sent`;
  return new Failure('read-failed', {offset, problem});
}
