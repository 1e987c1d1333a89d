/** Starts the stand-ins and daemons of the demonstration as child processes. */
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

/** Daemon of the demonstration, which serves callers as an entry instance. */
export interface EntryInstance {
  instance: string;
  domain: string;
  /** Base URL of its HTTP API. */
  url: string;
  httpPort: number;
  peerPort: number;
}

/** Options of the cluster. */
export interface ClusterOptions {
  /** HTTP port of the first daemon; the others use the following ports. */
  httpPortBase?: number;
  /** Peer port of the first daemon; the others use the following ports. */
  peerPortBase?: number;
  /** Settings that override those of every daemon, except `platform`. */
  settings?: Record<string, unknown>;
  /** Returns the URL at which an instance reaches the log; by default the log's own. */
  resolveLogUrl?: (instance: string, logUrl: string) => Promise<string>;
  /** Largest number of waiting jobs of a workspace. */
  queueLimit?: number;
}

/** Running cluster of the demonstration. */
export interface Cluster {
  processes: ChildProcesses;
  entries: EntryInstance[];
  /** Base URL of the target stand-in, by failure domain. */
  targetUrls: Map<string, string>;
  logUrl: string;
  instanceListUrl: string;
  api: EntryApi;
  /** Starts a daemon and waits until it is ready. */
  startEntry(entry: EntryInstance): Promise<void>;
}

/**
 * Starts the stand-ins and daemons and applies the configuration. `dir` receives
 * the settings and the output of the processes.
 */
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
    const instanceLogUrl =
      (await options.resolveLogUrl?.(entry.instance, logUrl)) ?? logUrl;
    const file = writeSettings(dir, entry, entries, {
      ...options.settings,
      platform: {logUrl: instanceLogUrl, instanceListUrl},
    });
    processes.start({
      name: entry.instance,
      script: getScriptPath('daemon'),
      args: [file],
    });
    await api.waitUntilReady(entry.url);
  };
  await Promise.all(entries.map(startEntry));
  const response = await api.configure(
    createConfiguration(targetUrls, options.queueLimit),
  );
  if (response.status !== 200) {
    throw new Error(`configuration refused: ${JSON.stringify(response.body)}`);
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
      const portOffset = domainIndex * ENTRIES_PER_DOMAIN + index;
      return {
        instance: `${domain}-entry-${index + 1}`,
        domain,
        url: `http://${HOST}:${httpPortBase + portOffset}`,
        httpPort: httpPortBase + portOffset,
        peerPort: peerPortBase + portOffset,
      };
    }),
  );
}

/** Lists the daemons and targets in the form of the instance list. */
function listInstances(entries: EntryInstance[]): unknown[] {
  const listedEntries = entries.map(({instance, domain, peerPort}) => ({
    id: instance,
    domain,
    role: 'entry',
    state: 'live',
    host: HOST,
    port: peerPort,
  }));
  const listedTargets = DOMAINS.flatMap(domain =>
    listTargets(domain).map(id => ({
      id,
      domain,
      role: 'target',
      state: 'live',
    })),
  );
  return [...listedEntries, ...listedTargets];
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
    script: getScriptPath('standins'),
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
    script: getScriptPath('standins'),
    args: [name, '--host', HOST, ...args],
  });
}

/** Writes the settings of a daemon, with the other daemons as seeds; returns the file's path. */
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

function getScriptPath(packageName: string): string {
  const url = new URL(
    `../../../${packageName}/dist/src/main.js`,
    import.meta.url,
  );
  return fileURLToPath(url);
}
