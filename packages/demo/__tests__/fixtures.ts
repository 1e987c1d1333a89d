/** Fixtures: a cluster of processes of its own, and a stream of jobs through it. */
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
const POLL_MS = 100;
const TAKEOVER_LIMIT_MS = 30_000;

/** A cluster whose daemons reach the log through relays of their own. */
export interface ProxiedCluster extends Cluster {
  proxies: Map<string, FaultProxy>;
  stop(): Promise<void>;
}

/** Starts a cluster on ports of its own. */
export async function startProxiedCluster(
  portBase: number,
): Promise<ProxiedCluster> {
  const relays = new Map<string, FaultProxy>();
  const dir = mkdtempSync(join(tmpdir(), 'galenavalve-failures-'));
  const cluster = await startCluster(dir, {
    httpPortBase: portBase,
    peerPortBase: portBase + 50,
    resolveLogUrl: async (instance, logUrl) => {
      const {hostname, port} = new URL(logUrl);
      const relay =
        relays.get(instance) ?? (await startFaultProxy(hostname, Number(port)));
      relays.set(instance, relay);
      return `http://${relay.host}:${relay.port}`;
    },
  });
  const stop = async () => {
    await cluster.processes.stopAll();
    await Promise.all([...relays.values()].map(relay => relay.close()));
  };
  return {...cluster, proxies: relays, stop};
}

/** Jobs on their way, and what became of them. */
export class JobStream {
  private readonly drafts: JobDraft[] = [];
  private readonly calls: Promise<[string, JobView]>[] = [];

  constructor(
    private readonly cluster: Cluster,
    private readonly random = new SeededRandom(11),
  ) {}

  /** Submits `count` jobs; each caller holds on until it knows the end. */
  submit(prefix: string, count: number): void {
    const jobs = createJobs(prefix, count, this.random);
    this.drafts.push(...jobs);
    this.calls.push(...jobs.map(draft => this.follow(draft)));
  }

  /** The violations of every promise, once each caller has its answer. */
  async findViolations(outages: OutOfServicePeriod[] = []): Promise<string[]> {
    const answers = new Map(await Promise.all(this.calls));
    const runs = await readRuns(this.cluster.targetUrls.values());
    const {drafts} = this;
    const verdicts = checkPromises({
      drafts,
      finalJobs: answers,
      runs,
      outOfServicePeriods: outages,
    });
    return verdicts.flatMap(({promise, violations}) =>
      violations.map(violation => `${promise}: ${violation}`),
    );
  }

  private async follow(draft: JobDraft): Promise<[string, JobView]> {
    const {api} = this.cluster;
    let answer = await api.submit(draft, WAIT_SECONDS);
    while (answer.status === 202) {
      answer = await api.submit(draft, WAIT_SECONDS);
    }
    return [draft.requestId, answer.body];
  }
}

/** The instance that schedules a failure domain; waits until it is another than `not`. */
export async function findScheduler(
  {api, entries}: Cluster,
  domain: string,
  not?: EntryInstance,
): Promise<EntryInstance> {
  for (let waited = 0; waited < TAKEOVER_LIMIT_MS; waited += POLL_MS) {
    const {body} = await api.getInventory();
    const name = body.domains.find(({id}) => id === domain)?.scheduler;
    const entry = entries.find(({instance}) => instance === name);
    if (entry && entry !== not) {
      return entry;
    }
    await pause(POLL_MS);
  }
  throw new Error(`${domain} has no new scheduler`);
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

export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
