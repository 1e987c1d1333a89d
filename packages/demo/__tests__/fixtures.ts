/** Fixtures: a cluster of child processes whose log connections go through proxies, and streams of jobs. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {JobView} from '@galenavalve/model';
import {SeededRandom} from '@galenavalve/shared';
import {type FaultProxy, startFaultProxy} from '@galenavalve/standins';
import {
  type Cluster,
  type EntryInstance,
  type JobDraft,
  type OutOfServicePeriod,
  checkPromises,
  createJobs,
  readRuns,
  startCluster,
} from '../src/index.js';

const WAIT_SECONDS = 8;
const POLL_INTERVAL_MS = 100;
const TAKEOVER_TIMEOUT_MS = 30_000;

/** Cluster whose daemons each reach the log through a proxy of their own. */
export interface ProxiedCluster extends Cluster {
  /** Proxies by instance. */
  proxies: Map<string, FaultProxy>;
  /** Kills every process and closes the proxies. */
  stop(): Promise<void>;
}

/** Starts a cluster; uses HTTP ports from `portBase` and peer ports from `portBase + 50`. */
export async function startProxiedCluster(
  portBase: number,
): Promise<ProxiedCluster> {
  const proxies = new Map<string, FaultProxy>();
  const dir = mkdtempSync(join(tmpdir(), 'galenavalve-failures-'));
  const cluster = await startCluster(dir, {
    httpPortBase: portBase,
    peerPortBase: portBase + 50,
    resolveLogUrl: async (instance, logUrl) => {
      const {hostname, port} = new URL(logUrl);
      const proxy =
        proxies.get(instance) ??
        (await startFaultProxy(hostname, Number(port)));
      proxies.set(instance, proxy);
      return `http://${proxy.host}:${proxy.port}`;
    },
  });
  const stop = async () => {
    await cluster.processes.stopAll();
    await Promise.all([...proxies.values()].map(proxy => proxy.close()));
  };
  return {...cluster, proxies, stop};
}

/** Submits jobs concurrently and checks the promises against their outcomes. */
export class JobStream {
  private readonly drafts: JobDraft[] = [];
  private readonly calls: Promise<[string, JobView]>[] = [];

  constructor(
    private readonly cluster: Cluster,
    private readonly random = new SeededRandom(11),
  ) {}

  /** Submits `count` jobs without waiting; each caller retries until its job has ended. */
  submit(prefix: string, count: number): void {
    const jobs = createJobs(prefix, count, this.random);
    this.drafts.push(...jobs);
    this.calls.push(...jobs.map(draft => this.submitUntilFinished(draft)));
  }

  /** Waits until every job has ended and returns the violations of all promises. */
  async findViolations(
    outOfServicePeriods: OutOfServicePeriod[] = [],
  ): Promise<string[]> {
    const finalJobs = new Map(await Promise.all(this.calls));
    const runs = await readRuns(this.cluster.targetUrls.values());
    const {drafts} = this;
    const promiseResults = checkPromises({
      drafts,
      finalJobs,
      runs,
      outOfServicePeriods,
    });
    return promiseResults.flatMap(({promise, violations}) =>
      violations.map(violation => `${promise}: ${violation}`),
    );
  }

  private async submitUntilFinished(
    draft: JobDraft,
  ): Promise<[string, JobView]> {
    const {api} = this.cluster;
    let response = await api.submit(draft, WAIT_SECONDS);
    while (response.status === 202) {
      response = await api.submit(draft, WAIT_SECONDS);
    }
    return [draft.requestId, response.body];
  }
}

/** Waits until a failure domain has a scheduler other than `excluded`, and returns its instance. */
export async function findScheduler(
  {api, entries}: Cluster,
  domain: string,
  excluded?: EntryInstance,
): Promise<EntryInstance> {
  for (
    let waitedMs = 0;
    waitedMs < TAKEOVER_TIMEOUT_MS;
    waitedMs += POLL_INTERVAL_MS
  ) {
    const {body} = await api.getInventory();
    const name = body.domains.find(({id}) => id === domain)?.scheduler;
    const entry = entries.find(({instance}) => instance === name);
    if (entry && entry !== excluded) {
      return entry;
    }
    await pause(POLL_INTERVAL_MS);
  }
  throw new Error(`${domain} did not get a new scheduler in time`);
}

/** Sets faults of the log stand-in. */
export async function setLogFaults(
  {logUrl}: Cluster,
  faults: Record<string, unknown>,
): Promise<void> {
  await fetch(`${logUrl}/control`, {
    method: 'POST',
    headers: {'Content-Type': 'application/json'},
    body: JSON.stringify(faults),
  });
}

/** Waits for a number of milliseconds. */
export function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
