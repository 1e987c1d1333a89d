/** Calls the entry instances over HTTP, as the callers' balancer would. */
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

const TRIES = 40;
const PAUSE_MS = 250;
const CALL_TIMEOUT_MS = 12_000;

/** What an entry instance answered. */
export interface ApiResponse<T> {
  status: number;
  body: T;
}

/** A job as the demonstration submits it: defaults are filled in by the schema. */
export type JobDraft = Pick<
  JobRequest,
  'requestId' | 'workspace' | 'expectedSeconds' | 'payload'
> &
  Partial<JobRequest> & {gang: unknown};

/** A caller that goes round the entry instances until one answers. */
export class EntryApi {
  private readonly http: Got;
  private turn = 0;

  constructor(private readonly entries: string[]) {
    this.http = got.extend({
      responseType: 'json',
      throwHttpErrors: false,
      retry: {limit: 0},
      timeout: {request: CALL_TIMEOUT_MS},
    });
  }

  /** Submits a job and holds the call until it ends or `waitSeconds` are over. */
  submit(draft: JobDraft, waitSeconds: number): Promise<ApiResponse<JobView>> {
    return this.call('post', `/v1/jobs?wait=${waitSeconds}`, draft);
  }

  getJob(jobId: string, waitSeconds = 0): Promise<ApiResponse<JobView>> {
    return this.call('get', `/v1/jobs/${jobId}?wait=${waitSeconds}`);
  }

  explain(jobId: string): Promise<ApiResponse<ExplanationView>> {
    return this.call('get', `/v1/jobs/${jobId}/explain`);
  }

  cancel(jobId: string): Promise<ApiResponse<JobView>> {
    return this.call('delete', `/v1/jobs/${jobId}`);
  }

  getInventory(): Promise<ApiResponse<InventoryView>> {
    return this.call('get', '/v1/inventory');
  }

  getWorkspaces(): Promise<ApiResponse<{workspaces: WorkspaceView[]}>> {
    return this.call('get', '/v1/workspaces');
  }

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

  setDomainState(
    domain: string,
    verb: 'drain' | 'restore',
  ): Promise<ApiResponse<ConfigurationResult>> {
    return this.call('post', `/v1/domains/${domain}/${verb}`, {author: 'demo'});
  }

  /** Resolves when `entry` says that it is ready. */
  async waitUntilReady(entry: string): Promise<void> {
    for (let attempt = 0; attempt < TRIES * 2; attempt++) {
      const response = await this.http(`${entry}/readyz`).catch(
        () => undefined,
      );
      if (response?.statusCode === 200) {
        return;
      }
      await pause();
    }
    throw new Error(`${entry} did not become ready`);
  }

  /**
   * Sends a request to one entry after another until one gives an answer that
   * is final. Every request is idempotent, so a repetition does no harm.
   */
  private async call<T>(
    method: 'get' | 'post' | 'delete',
    path: string,
    json?: unknown,
  ): Promise<ApiResponse<T>> {
    let last: ApiResponse<T> | undefined;
    for (let attempt = 0; attempt < TRIES; attempt++) {
      const entry = this.entries[this.turn++ % this.entries.length];
      const response = await this.http<T>(`${entry}${path}`, {
        method,
        json,
      }).catch(() => undefined);
      if (response) {
        last = {status: response.statusCode, body: response.body};
        if (![429, 503, 504].includes(last.status)) {
          return last;
        }
      }
      await pause();
    }
    if (last) {
      return last;
    }
    throw new Error(`no entry instance answered ${method} ${path}`);
  }
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, PAUSE_MS));
}
