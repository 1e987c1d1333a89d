/** HTTP client of the platform's instance list. */
import type {Agent} from 'node:http';
import {z} from 'zod';
import {
  type InstanceList,
  type ListedInstance,
  listedInstance,
} from '@galenavalve/membership';
import {describeError, Failure, type Milliseconds} from '@galenavalve/shared';
import {ConnectionPool} from '../http/connection_pool.js';
import {type JsonResponse, sendJson} from '../http/json_client.js';

/** Largest response; enough for about 10,000 instances. */
const MAX_LIST_BYTES = 4 * 1024 * 1024;

/** Options of the instance list client. */
export interface HttpInstanceListOptions {
  /** Base URL of the service, with an IP address as host. */
  baseUrl: string;
  /** Agent to send requests with; by default a new connection pool. */
  agent?: Agent;
}

/** Instance list over HTTP. Fails with `instances-unavailable`. */
export class HttpInstanceList implements InstanceList {
  private readonly url: string;
  private readonly pool: ConnectionPool;

  constructor({baseUrl, agent}: HttpInstanceListOptions) {
    this.url = `${baseUrl.replace(/\/+$/, '')}/v1/instances`;
    this.pool = new ConnectionPool(agent);
  }

  async list(timeoutMs: Milliseconds): Promise<ListedInstance[]> {
    const {status, body} = await this.fetch(timeoutMs);
    const list = z.array(listedInstance).safeParse(body);
    if (status === 200 && list.success) {
      return list.data;
    }
    const problem = `the response with status ${status} is not an instance list`;
    throw new Failure('instances-unavailable', {problem});
  }

  /** Closes the connections. */
  close(): void {
    this.pool.close();
  }

  private async fetch(timeoutMs: Milliseconds): Promise<JsonResponse> {
    try {
      return await sendJson(this.pool, {
        method: 'GET',
        url: this.url,
        timeoutMs,
        maxResponseBytes: MAX_LIST_BYTES,
      });
    } catch (error) {
      const problem = describeError(error);
      throw new Failure('instances-unavailable', {problem}, {cause: error});
    }
  }
}
