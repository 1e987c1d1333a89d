/** HTTP client of the entry instances; spreads calls over them as a load balancer would. */
import got, {type Got} from 'got';
import type {
  ConfigurationResult,
  Entity,
  ExplanationView,
  InventoryView,
  JobRequest,
  JobView,
  WorkspaceView,
} from '@galenavalve/model';
import {getEntityKey} from '@galenavalve/model';

/** Maximum number of attempts of a call, over all entry instances. */
const MAX_ATTEMPTS = 40;

/** Delay before the next attempt. */
const RETRY_DELAY_MS = 250;

/** Timeout of one attempt. */
const CALL_TIMEOUT_MS = 12_000;

/** Response of an entry instance. */
export interface ApiResponse<T> {
  status: number;
  body: T;
}

/** Job request as the demonstration submits it; the server's schema fills in defaults. */
export type JobDraft = Pick<
  JobRequest,
  'requestId' | 'workspace' | 'expectedSeconds' | 'payload'
> &
  Partial<JobRequest> & {gang: unknown};

/** Client that calls the entry instances in turn, until one of them responds. */
export class EntryApi {
  private readonly http: Got;
  private callCount = 0;

  constructor(private readonly entries: string[]) {
    this.http = got.extend({
      responseType: 'json',
      throwHttpErrors: false,
      retry: {limit: 0},
      timeout: {request: CALL_TIMEOUT_MS},
    });
  }

  /** Submits a job; the response arrives when the job has ended or after `waitSeconds`, whichever is first. */
  submit(draft: JobDraft, waitSeconds: number): Promise<ApiResponse<JobView>> {
    return this.call('post', `/v1/jobs?wait=${waitSeconds}`, draft);
  }

  /** Gets a job; waits for its end for up to `waitSeconds`. */
  getJob(jobId: string, waitSeconds = 0): Promise<ApiResponse<JobView>> {
    return this.call('get', `/v1/jobs/${jobId}?wait=${waitSeconds}`);
  }

  /** Gets the explanation of a job's state. */
  explain(jobId: string): Promise<ApiResponse<ExplanationView>> {
    return this.call('get', `/v1/jobs/${jobId}/explain`);
  }

  /** Cancels a job. */
  cancel(jobId: string): Promise<ApiResponse<JobView>> {
    return this.call('delete', `/v1/jobs/${jobId}`);
  }

  /** Gets the state of domains and targets. */
  getInventory(): Promise<ApiResponse<InventoryView>> {
    return this.call('get', '/v1/inventory');
  }

  /** Gets the workspaces. */
  getWorkspaces(): Promise<ApiResponse<{workspaces: WorkspaceView[]}>> {
    return this.call('get', '/v1/workspaces');
  }

  /** Creates `entities` in a configuration that has none of them yet. */
  configure(entities: Entity[]): Promise<ApiResponse<ConfigurationResult>> {
    return this.call('post', '/v1/config', {
      changeId: 'demo-configuration',
      author: 'demo',
      edits: entities.map(value => ({
        entity: getEntityKey(value),
        baseVersion: 0,
        value,
      })),
    });
  }

  /** Drains a failure domain, or restores it to service. */
  setDomainState(
    domain: string,
    verb: 'drain' | 'restore',
  ): Promise<ApiResponse<ConfigurationResult>> {
    return this.call('post', `/v1/domains/${domain}/${verb}`, {author: 'demo'});
  }

  /** Resolves when the entry at this base URL reports that it is ready. */
  async waitUntilReady(entry: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS * 2; attempt++) {
      const response = await this.http(`${entry}/readyz`).catch(
        () => undefined,
      );
      if (response?.statusCode === 200) {
        return;
      }
      await waitBeforeRetry();
    }
    throw new Error(`${entry} did not become ready`);
  }

  /**
   * Sends a request to one entry after another until one gives a final response,
   * which is any status except 429, 503 and 504. Retries are safe because every
   * request is idempotent.
   */
  private async call<T>(
    method: 'get' | 'post' | 'delete',
    path: string,
    json?: unknown,
  ): Promise<ApiResponse<T>> {
    let lastResponse: ApiResponse<T> | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const entry = this.entries[this.callCount++ % this.entries.length];
      const response = await this.http<T>(`${entry}${path}`, {
        method,
        json,
      }).catch(() => undefined);
      if (response) {
        lastResponse = {status: response.statusCode, body: response.body};
        if (![429, 503, 504].includes(lastResponse.status)) {
          return lastResponse;
        }
      }
      await waitBeforeRetry();
    }
    if (lastResponse) {
      return lastResponse;
    }
    throw new Error(`no entry instance responded to ${method} ${path}`);
  }
}

function waitBeforeRetry(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, RETRY_DELAY_MS));
}
