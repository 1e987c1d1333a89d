/** Implements the entry client over HTTP. */
import {z} from 'zod';
import {
  changeListView,
  type ChangeView,
  type ConfigurationChange,
  configurationResult,
  type ConfigurationResult,
  type ConfigurationView,
  configurationView,
  type ExplanationView,
  explanationView,
  type InventoryView,
  inventoryView,
  jobListView,
  type JobRequest,
  type JobView,
  jobView,
  type PlanView,
  planView,
  workspaceListView,
  type WorkspaceView,
} from '@galenavalve/model';
import {
  type Clock,
  type Milliseconds,
  type Random,
  SeededRandom,
  SystemClock,
} from '@galenavalve/shared';
import type {EntryClient, JobFilter} from './entry_client.js';
import {EntryCaller, type RetryListener} from './entry_caller.js';
import {DEFAULT_RETRY_POLICY, type RetryPolicy} from './retry_policy.js';

/**
 * Longest wait of one request; a longer one would delay the detection of an
 * unresponsive instance.
 */
const MAX_WAIT_MS = 5000;

/** Options of an `HttpEntryClient`. */
export interface HttpEntryClientOptions {
  /** Base URLs of entry instances, at least one. */
  entries: readonly string[];
  /** Overrides fields of `DEFAULT_RETRY_POLICY`. */
  policy?: Partial<RetryPolicy>;
  clock?: Clock;
  /** Source of the jitter. */
  random?: Random;
  onRetry?: RetryListener;
}

/** Calls the entry instances over HTTP; retries with the next one when one does not respond. */
export class HttpEntryClient implements EntryClient {
  private readonly caller: EntryCaller;

  constructor(options: HttpEntryClientOptions) {
    this.caller = new EntryCaller({
      entries: options.entries,
      policy: {...DEFAULT_RETRY_POLICY, ...options.policy},
      clock: options.clock ?? new SystemClock(),
      random: options.random ?? new SeededRandom(Date.now() % 2 ** 31),
      onRetry: options.onRetry,
    });
  }

  // Commands

  submit(request: JobRequest, waitMs: Milliseconds): Promise<JobView> {
    return this.caller.call({
      method: 'POST',
      path: `/v1/jobs${formatWaitQuery(waitMs)}`,
      body: request,
      schema: jobView,
      waitMs: capWaitMs(waitMs),
      commandId: request.requestId,
    });
  }

  cancel(jobId: string): Promise<JobView> {
    return this.caller.call({
      method: 'DELETE',
      path: getJobPath(jobId),
      schema: jobView,
      commandId: `cancel ${jobId}`,
    });
  }

  approve(jobId: string, author: string): Promise<JobView> {
    return this.caller.call({
      method: 'POST',
      path: `${getJobPath(jobId)}/approve`,
      body: {author},
      schema: jobView,
      commandId: `approve ${jobId}`,
    });
  }

  configure(change: ConfigurationChange): Promise<ConfigurationResult> {
    return this.caller.call({
      method: 'POST',
      path: '/v1/config',
      body: change,
      schema: configurationResult,
      commandId: change.changeId,
    });
  }

  drain(domain: string, author: string): Promise<ConfigurationResult> {
    return this.changeDomain(domain, 'drain', author);
  }

  restore(domain: string, author: string): Promise<ConfigurationResult> {
    return this.changeDomain(domain, 'restore', author);
  }

  // Queries

  readJob(jobId: string, waitMs: Milliseconds): Promise<JobView> {
    return this.caller.call({
      method: 'GET',
      path: `${getJobPath(jobId)}${formatWaitQuery(waitMs)}`,
      schema: jobView,
      waitMs: capWaitMs(waitMs),
    });
  }

  async listJobs(filter: JobFilter): Promise<JobView[]> {
    const query = new URLSearchParams();
    for (const [key, value] of Object.entries(filter)) {
      if (value !== undefined) {
        query.set(key, String(value));
      }
    }
    const {jobs} = await this.get(`/v1/jobs?${query}`, jobListView);
    return jobs;
  }

  explain(jobId: string): Promise<ExplanationView> {
    return this.get(`${getJobPath(jobId)}/explain`, explanationView);
  }

  plan(request: JobRequest): Promise<PlanView> {
    return this.caller.call({
      method: 'POST',
      path: '/v1/plan',
      body: request,
      schema: planView,
    });
  }

  async listWorkspaces(): Promise<WorkspaceView[]> {
    const body = await this.get('/v1/workspaces', workspaceListView);
    return body.workspaces;
  }

  readInventory(): Promise<InventoryView> {
    return this.get('/v1/inventory', inventoryView);
  }

  readConfiguration(): Promise<ConfigurationView> {
    return this.get('/v1/config', configurationView);
  }

  async listChanges(): Promise<ChangeView[]> {
    const body = await this.get('/v1/config/history', changeListView);
    return body.changes;
  }

  /** Closes the connections. */
  close(): void {
    this.caller.close();
  }

  private get<T>(path: string, schema: z.ZodType<T>): Promise<T> {
    return this.caller.call({method: 'GET', path, schema});
  }

  private changeDomain(
    domain: string,
    action: 'drain' | 'restore',
    author: string,
  ): Promise<ConfigurationResult> {
    return this.caller.call({
      method: 'POST',
      path: `/v1/domains/${encodeURIComponent(domain)}/${action}`,
      body: {author},
      schema: configurationResult,
      commandId: `${action} ${domain}`,
    });
  }
}

function getJobPath(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

function capWaitMs(waitMs: Milliseconds): Milliseconds {
  return Math.min(waitMs, MAX_WAIT_MS);
}

function formatWaitQuery(waitMs: Milliseconds): string {
  return waitMs > 0 ? `?wait=${capWaitMs(waitMs) / 1000}` : '';
}
