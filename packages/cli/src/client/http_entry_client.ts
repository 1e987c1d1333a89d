/** The entry instances over HTTP. */
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

/** Longest time that one request asks an instance to wait; a longer one would hide its silence. */
const MAX_WAIT_MS = 5000;

/** Where the entry instances are, and how to call them. */
export interface HttpEntryClientOptions {
  /** Base URLs of entry instances, at least one. */
  entries: readonly string[];
  policy?: Partial<RetryPolicy>;
  clock?: Clock;
  random?: Random;
  onRetry?: RetryListener;
}

/** Calls the entry instances over HTTP, and the next one when one is silent. */
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

  submit(request: JobRequest, wait: Milliseconds): Promise<JobView> {
    return this.caller.call({
      method: 'POST',
      path: `/v1/jobs${waitQuery(wait)}`,
      body: request,
      schema: jobView,
      waitMs: boundWait(wait),
      commandId: request.requestId,
    });
  }

  cancel(jobId: string): Promise<JobView> {
    return this.caller.call({
      method: 'DELETE',
      path: jobPath(jobId),
      schema: jobView,
      commandId: `cancel ${jobId}`,
    });
  }

  approve(jobId: string, author: string): Promise<JobView> {
    return this.caller.call({
      method: 'POST',
      path: `${jobPath(jobId)}/approve`,
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

  readJob(jobId: string, wait: Milliseconds): Promise<JobView> {
    return this.caller.call({
      method: 'GET',
      path: `${jobPath(jobId)}${waitQuery(wait)}`,
      schema: jobView,
      waitMs: boundWait(wait),
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
    return this.get(`${jobPath(jobId)}/explain`, explanationView);
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

function jobPath(jobId: string): string {
  return `/v1/jobs/${encodeURIComponent(jobId)}`;
}

function boundWait(wait: Milliseconds): Milliseconds {
  return Math.min(wait, MAX_WAIT_MS);
}

function waitQuery(wait: Milliseconds): string {
  return wait > 0 ? `?wait=${boundWait(wait) / 1000}` : '';
}
