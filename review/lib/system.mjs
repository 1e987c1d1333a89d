/**
 * Runs a small deployment: the project's program as separate processes with the
 * command and the settings template of the deploy file, the stand-ins of the
 * store and the workers, and a requester.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {Store} from './store.mjs';
import {Gangs, Worker} from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Bounds of txingudi-sched, a small deployment. */
export const BOUNDS = {
  hold_max_ms: 6000,
  stop_ms: 400,
  gang_ms: 3000,
  reclaim_ms: 2900,
  far_factor: 3,
  restore_ms: 100,
  save_s: 0.5,
  early_ms: 250,
  status_s: 120,
  grace_s: 6,
};
export const HOST = 'queues.example';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const SERVICE = 'pool';
const MIN_PORT = 12_000;
const MAX_PORT = 31_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

export class System {
  daemons = [];
  workers = [];
  gangs = new Gangs();
  lines = [];
  events = [];
  startedAt = performance.now();

  constructor({recordFile, describeTask}) {
    this.recordFile = recordFile;
    this.describeTask = describeTask;
    this.folder = mkdtempSync(join(tmpdir(), 'galenavalve-review-'));
  }

  /** Returns the time since the start in milliseconds. */
  now() {
    return performance.now() - this.startedAt;
  }

  /** Adds a line to the record. */
  record(text) {
    const seconds = (this.now() / 1000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  writeRecord() {
    writeFileSync(this.recordFile, this.lines.join('\n') + '\n');
  }

  async start({
    instances,
    workers,
    config,
    cpu = 32_000,
    chooseKind = () => 'a',
  }) {
    this.store = new Store();
    await this.store.start();
    this.store.onAppended = (topic, records) => this.watchLeader(records);
    this.store.write('keyed.op', 'config', JSON.stringify(config));
    for (let index = 0; index < workers; index++) {
      const worker = new Worker(
        {
          id: `w${index}-${'0123456789abcdef'[index % 16]}7`,
          zone: ZONES[index % ZONES.length],
          service: SERVICE,
          labels: [chooseKind(index), `r${index % ZONES.length}-1`],
          capacity: {cpu, mem_mb: 65_536, gpu: 8},
        },
        {
          store: this.store,
          maxLeaseMs: BOUNDS.hold_max_ms,
          describeTask: this.describeTask,
          onEvent: (kind, details) => this.onEvent(kind, details),
          gangs: this.gangs,
        },
      );
      await worker.start();
      this.workers.push(worker);
      this.gangs.workers.push(worker);
    }
    const ports = await findFreePorts(instances * 4);
    for (let index = 0; index < instances; index++) {
      this.daemons.push(this.createDaemon(index, ports.slice(index * 4)));
    }
    this.daemons.forEach(daemon => this.startDaemon(daemon));
    await this.waitUntilReady();
  }

  /** The instance that holds leadership, from the records of the system's own log. */
  watchLeader(records) {
    for (const {key, value} of records) {
      if (key === 'lead' && value.length > 0) {
        const {holder, hasResigned} = JSON.parse(value.toString());
        this.leader = hasResigned ? undefined : holder;
      }
    }
  }

  onEvent(kind, details) {
    const {leader} = this;
    this.events.push({kind, at: this.now(), leader, ...details});
    this.record(`worker: ${kind} ${JSON.stringify(details)}`);
  }

  createDaemon(index, [front, ready, metrics, peer]) {
    const name = `front-${index + 1}`;
    const settingsFile = join(this.folder, `${name}.jsonc`);
    const fields = {
      node: name,
      zone: ZONES[index % ZONES.length],
      ip: '127.0.0.1',
      listen: {front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`},
      internal_ports: [metrics, peer],
      limits: {cores: 1, cpu_share: 0.675},
      platform: {address: this.store.address},
      bounds: BOUNDS,
    };
    writeFileSync(settingsFile, renderTemplate(fields));
    return {
      name,
      zone: fields.zone,
      settingsFile,
      front,
      ready,
      exits: 0,
      wanted: false,
    };
  }

  startDaemon(daemon) {
    const [program, ...words] = readRunCommand().split(' ');
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GALENAVALVE_SETTINGS: daemon.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    daemon.child = child;
    daemon.wanted = true;
    daemon.tail = '';
    const keep = chunk => {
      daemon.tail = (daemon.tail + chunk).slice(-4000);
      this.onLog?.(daemon, String(chunk));
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      if (daemon.wanted && daemon.child === child) {
        daemon.exits++;
        const reason = /FATAL ERROR:[^\n]*/.exec(daemon.tail)?.[0] ?? '';
        this.record(
          `${daemon.name} ended by itself: code ${code}, signal ${signal} ${reason}`,
        );
        // The platform restarts a process that ends after a short delay.
        setTimeout(() => daemon.wanted && this.startDaemon(daemon), 500);
      }
    });
  }

  /** Returns the index of the instance that wrote as the leader last. */
  findLeader() {
    const holder = this.leader?.split('/')[0];
    const index = this.daemons.findIndex(({name}) => name === holder);
    if (index < 0) {
      throw new Error('there is no leader');
    }
    return index;
  }

  /** Stops the leader, and starts it again. */
  stopLeader() {
    this.endDaemon(this.findLeader(), 'SIGTERM', 300);
  }

  /** Sends a signal to an instance, and starts it again `delayMs` after its end. */
  endDaemon(index, signal, delayMs) {
    const daemon = this.daemons[index];
    this.record(`${daemon.name} gets ${signal}`);
    daemon.wanted = false;
    const {child} = daemon;
    child.once('exit', () => {
      this.record(`${daemon.name} has ended, and is started again`);
      setTimeout(() => this.isStopped || this.startDaemon(daemon), delayMs);
    });
    child.kill(signal);
  }

  async waitUntilReady(timeoutMs = 20_000) {
    const deadline = performance.now() + timeoutMs;
    for (const daemon of this.daemons) {
      for (;;) {
        const {status} = await call({port: daemon.ready, path: '/v1/ready'});
        if (status === 200) {
          break;
        }
        if (performance.now() > deadline) {
          throw new Error(`${daemon.name} is not ready`);
        }
        await sleep(100);
      }
    }
    this.record('all instances are ready');
  }

  /** Calls an instance as a requester, and records the call. */
  async request(index, method, path, {key, body, timeoutMs = 3000} = {}) {
    const daemon = this.daemons[index];
    const headers = {
      host: HOST,
      'deadline-ms': String(timeoutMs),
      ...(key ? {authorization: `Bearer ${key}`} : {}),
      ...(body ? {'content-type': 'application/json'} : {}),
    };
    const what = `${method} ${path} at ${daemon.name}`;
    this.record(`sent: ${what}${key ? ` with key ${key}` : ''}`);
    const answer = await call({
      port: daemon.front,
      method,
      path,
      headers,
      body: body && JSON.stringify(body),
      timeoutMs,
    });
    const text = answer.text ? ` ${answer.text.slice(0, 160)}` : '';
    this.record(`answered: ${what}: ${answer.status ?? 'no answer'}${text}`);
    return answer;
  }

  async stop() {
    this.isStopped = true;
    for (const daemon of this.daemons) {
      daemon.wanted = false;
      daemon.child?.kill('SIGKILL');
    }
    this.workers.forEach(worker => worker.isUp && worker.halt());
    this.store?.stop();
    this.writeRecord();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Exit codes of a case, which `run.sh` translates; 1 is left to unexpected errors. */
const HELD = 0;
const COULD_NOT_RUN = 2;
const BROKEN = 10;

/** Runs a case. `play` resolves with what was broken; undefined if the rule held. */
export async function runCase(system, play) {
  const limit = setTimeout(() => finish(COULD_NOT_RUN, 'out of time'), 115_000);
  const finish = async (code, text) => {
    clearTimeout(limit);
    system.record(text);
    console.log(text);
    await system.stop();
    process.exit(code);
  };
  process.once('SIGTERM', () => finish(COULD_NOT_RUN, 'stopped'));
  process.once('SIGINT', () => finish(COULD_NOT_RUN, 'stopped'));
  try {
    const broken = await play();
    await finish(
      broken ? BROKEN : HELD,
      broken ? `rule broken: ${broken}` : 'the rule held',
    );
  } catch (error) {
    await finish(COULD_NOT_RUN, `could not run: ${error.stack}`);
  }
}

/** Builds a desired state. */
export function createConfig(routes, tenants, version = 7) {
  return {
    version,
    services: [{name: SERVICE, admission_check: false}],
    limits: {},
    routes: routes.map(route => ({
      host: HOST,
      service: SERVICE,
      priority: 1,
      max_attempts: 3,
      stretch: 3,
      target_latency_ms: 1000,
      ...route,
    })),
    tenants,
  };
}

function readRunCommand() {
  const file = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(file)[1];
}

/** Fills in the settings template of the deploy file as the platform does. */
function renderTemplate(fields) {
  const file = join(ROOT, 'deploy', 'settings.jsonc');
  return readFileSync(file, 'utf8').replaceAll(
    /\{\{([\w.]+)(\|json)?\}\}/g,
    (_, path, isJson) => {
      const value = path.split('.').reduce((at, name) => at?.[name], fields);
      return isJson ? JSON.stringify(value ?? null) : String(value ?? '');
    },
  );
}

/** Finds ports below those that the system gives to outgoing connections. */
async function findFreePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = MIN_PORT + Math.floor(Math.random() * (MAX_PORT - MIN_PORT));
    if (await isFree(port)) {
      ports.add(port);
    }
  }
  return [...ports];
}

function isFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

function call({port, method = 'GET', path, headers, body, timeoutMs = 3000}) {
  return new Promise(resolve => {
    const request = sendRequest(
      {host: '127.0.0.1', port, method, path, headers, agent: false},
      response => {
        let text = '';
        response.on('data', chunk => (text += chunk));
        response.on('end', () => done({status: response.statusCode, text}));
        response.on('error', () => done({}));
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      done({});
    }, timeoutMs);
    const done = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    request.on('error', () => done({}));
    request.end(body);
  });
}
