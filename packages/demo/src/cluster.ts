/** Starts the stand-ins and the daemons of the demonstration. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {ChildProcesses} from './child_processes.js';
import {EntryApi} from './entry_api.js';
import {DOMAINS, createConfiguration, listTargets} from './deployment.js';

const HOST = '127.0.0.1';
const ENTRIES_PER_DOMAIN = 2;
const HTTP_PORT_BASE = 18_100;
const PEER_PORT_BASE = 19_100;

/** One daemon of the demonstration. */
export interface EntryInstance {
  instance: string;
  domain: string;
  url: string;
  httpPort: number;
  peerPort: number;
}

/** What of the deployment can be changed. */
export interface ClusterOptions {
  /** First HTTP port and first peer port of the daemons. */
  httpPortBase?: number;
  peerPortBase?: number;
  /** Settings that are merged into those of every daemon. */
  settings?: Record<string, unknown>;
  /** The log as an instance reaches it, given its URL; by default directly. */
  resolveLogUrl?: (instance: string, logUrl: string) => Promise<string>;
  /** Waiting jobs that each workspace may have. */
  queueLimit?: number;
}

/** The running demonstration. */
export interface Cluster {
  processes: ChildProcesses;
  entries: EntryInstance[];
  /** Server of the targets, by failure domain. */
  targetUrls: Map<string, string>;
  logUrl: string;
  instanceListUrl: string;
  api: EntryApi;
  startEntry(entry: EntryInstance): Promise<void>;
}

/** Starts everything and puts the configuration in force. `dir` holds settings and output. */
export async function startCluster(
  dir: string,
  options: ClusterOptions = {},
): Promise<Cluster> {
  mkdirSync(dir, {recursive: true});
  const processes = new ChildProcesses(join(dir, 'output'));
  const entries = listEntries(options);
  const logUrl = await startStandin(processes, 'log', []);
  const instanceListUrl = await startStandin(processes, 'instances', [
    '--file',
    writeJson(dir, 'instances.json', listInstances(entries)),
  ]);
  const targetUrls = new Map<string, string>();
  for (const domain of DOMAINS) {
    const url = await startTargets(processes, dir, domain);
    targetUrls.set(domain, url);
  }
  const api = new EntryApi(entries.map(entry => entry.url));
  const startEntry = async (entry: EntryInstance) => {
    const ownLogUrl =
      (await options.resolveLogUrl?.(entry.instance, logUrl)) ?? logUrl;
    const file = writeSettings(dir, entry, entries, {
      ...options.settings,
      platform: {logUrl: ownLogUrl, instanceListUrl},
    });
    processes.start({
      name: entry.instance,
      script: scriptOf('daemon'),
      args: [file],
    });
    await api.waitUntilReady(entry.url);
  };
  await Promise.all(entries.map(startEntry));
  const answer = await api.configure(
    createConfiguration(targetUrls, options.queueLimit),
  );
  if (answer.status !== 200) {
    throw new Error(`configuration refused: ${JSON.stringify(answer.body)}`);
  }
  return {
    processes,
    entries,
    targetUrls,
    logUrl,
    instanceListUrl,
    api,
    startEntry,
  };
}

function listEntries(options: ClusterOptions): EntryInstance[] {
  const httpPortBase = options.httpPortBase ?? HTTP_PORT_BASE;
  const peerPortBase = options.peerPortBase ?? PEER_PORT_BASE;
  return DOMAINS.flatMap((domain, domainIndex) =>
    Array.from({length: ENTRIES_PER_DOMAIN}, (_, index) => {
      const port = domainIndex * ENTRIES_PER_DOMAIN + index;
      return {
        instance: `${domain}-entry-${index + 1}`,
        domain,
        url: `http://${HOST}:${httpPortBase + port}`,
        httpPort: httpPortBase + port,
        peerPort: peerPortBase + port,
      };
    }),
  );
}

function listInstances(entries: EntryInstance[]): unknown[] {
  const entryList = entries.map(({instance, domain, peerPort}) => ({
    id: instance,
    domain,
    role: 'entry',
    state: 'live',
    host: HOST,
    port: peerPort,
  }));
  const targetList = DOMAINS.flatMap(domain =>
    listTargets(domain).map(id => ({
      id,
      domain,
      role: 'target',
      state: 'live',
    })),
  );
  return [...entryList, ...targetList];
}

function startTargets(
  processes: ChildProcesses,
  dir: string,
  domain: string,
): Promise<string> {
  const targets = listTargets(domain).map(id => ({
    id,
    slots: 8,
    accelerators: 8,
    processors: 64,
    memoryMb: 130 * 1024,
  }));
  const file = writeJson(dir, `targets-${domain}.json`, targets);
  return processes.startServer({
    name: `targets-${domain}`,
    script: scriptOf('standins'),
    args: ['targets', '--host', HOST, '--file', file],
  });
}

function startStandin(
  processes: ChildProcesses,
  name: string,
  args: string[],
): Promise<string> {
  return processes.startServer({
    name,
    script: scriptOf('standins'),
    args: [name, '--host', HOST, ...args],
  });
}

function writeSettings(
  dir: string,
  entry: EntryInstance,
  entries: EntryInstance[],
  settings: Record<string, unknown>,
): string {
  const seeds = entries
    .filter(other => other !== entry)
    .map(({instance, domain, peerPort}) => ({
      instance,
      domain,
      host: HOST,
      port: peerPort,
    }));
  return writeJson(dir, `${entry.instance}.jsonc`, {
    instance: entry.instance,
    domain: entry.domain,
    http: {host: HOST, port: entry.httpPort},
    peer: {host: HOST, port: entry.peerPort},
    seeds,
    ...settings,
  });
}

function writeJson(dir: string, name: string, value: unknown): string {
  const file = join(dir, name);
  writeFileSync(file, JSON.stringify(value, null, 2));
  return file;
}

function scriptOf(packageName: string): string {
  const url = new URL(
    `../../../${packageName}/dist/src/main.js`,
    import.meta.url,
  );
  return fileURLToPath(url);
}
