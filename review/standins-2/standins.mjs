/**
 * Stand-ins of the second review: the platform's store, workers (targets), the
 * operator's records, and daemons that run with the commands of the deploy file.
 * Everything listens on loopback addresses and uses the real clock.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createHash} from 'node:crypto';
import {createServer, request as httpRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const REPOSITORY = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
const LOOPBACK = '127.0.0.1';

/** Limits of the store, as in the settings file of the users' pages. */
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;

/** Interval of the workers' entries in the store (`heartbeat_ms`). */
const BEAT_MS = 1500;

/** Time after a restart until the worker's first entry; `lag_ms` under `discovery` in the site files. */
const REPORT_LAG_MS = 800;

/** Time that the store takes for an answer. */
const STORE_ANSWER_MS = 4;

/** Delay after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 500;

/** Longest duration of a case. */
const CASE_TIMEOUT_MS = 115_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes lines with the time since the start to `record.txt` of a case. */
export class Recorder {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.file, '');
  }

  write(...parts) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    const text = parts
      .map(part => (typeof part === 'string' ? part : JSON.stringify(part)))
      .join(' ');
    appendFileSync(this.file, `${seconds.padStart(8)} ${text}\n`);
  }
}

/** Returns a free port of the loopback interface, below those of outgoing connections. */
export async function findFreePort() {
  for (;;) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    const isFree = await new Promise(resolve => {
      const server = createTcpServer();
      server.once('error', () => resolve(false));
      server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
    });
    if (isFree) {
      return port;
    }
  }
}

/** Serves HTTP on a free port; `handle` returns `{status, body}`, or undefined to leave the call without an answer. */
async function serve(handle, port = 0) {
  const server = createServer(async (request, response) => {
    const chunks = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://standin');
    const result = await handle(
      {
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: Buffer.concat(chunks),
      },
      response,
    );
    if (!result || response.destroyed) {
      return;
    }
    const isBytes = Buffer.isBuffer(result.body);
    response.writeHead(result.status, {
      'content-type': isBytes ? 'application/octet-stream' : 'application/json',
    });
    response.end(isBytes ? result.body : JSON.stringify(result.body ?? {}));
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => server.listen(port, LOOPBACK, resolve));
  return {
    server,
    address: `${LOOPBACK}:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** One partition of a keyed topic. */
class Topic {
  records = [];
  newest = new Map();
  waiters = new Set();
  epoch = -1;
  lastSequence = -1;
  answers = new Map();

  get end() {
    return this.records.length;
  }

  append(records) {
    const offset = this.end;
    for (const {key, value, raw} of records) {
      const record = {key, value, raw, offset: this.end};
      this.records.push(record);
      if (value.length === 0) {
        this.newest.delete(key);
      } else {
        this.newest.set(key, record);
      }
    }
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach(wake => wake());
    return offset;
  }

  put(key, value) {
    const raw = encodeContent(key, Buffer.from(value));
    this.append([{key, value: Buffer.from(value), raw}]);
  }
}

function encodeContent(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
}

function decodeRecords(body) {
  const records = [];
  for (let position = 0; position < body.length;) {
    const length = body.readUInt32BE(position);
    const raw = body.subarray(position + 4, position + 4 + length);
    const keyLength = raw[0];
    records.push({
      raw,
      key: raw.toString('utf8', 1, 1 + keyLength),
      value: raw.subarray(1 + keyLength),
    });
    position += 4 + length;
  }
  return records;
}

/** The platform's store as a log. Each daemon gets an address of its own, so that trouble can concern one of them. */
export class Store {
  topics = new Map();
  /** Called for each call; returns 'silent' to leave it unanswered, a status to refuse it, or undefined. */
  trouble = () => undefined;

  constructor(recorder) {
    this.recorder = recorder;
  }

  topic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, new Topic());
    }
    return this.topics.get(name);
  }

  serveFor(daemon) {
    return serve(async (call, response) => {
      const trouble = this.trouble(daemon, call);
      if (trouble === 'silent') {
        return undefined;
      }
      await sleep(STORE_ANSWER_MS);
      if (typeof trouble === 'number') {
        return {status: trouble};
      }
      const result = await this.handle(call, response);
      return trouble === 'lost' ? undefined : result;
    });
  }

  handle(call, response) {
    const topic = this.topic(call.query.get('topic'));
    switch (call.path) {
      case '/v1/log-append':
        return this.append(topic, call);
      case '/v1/log-read':
        return this.read(topic, call, response);
      case '/v1/log-newest':
        return this.readNewest(topic, call);
      default:
        return {status: 404};
    }
  }

  append(topic, {query, body}) {
    const name = query.get('topic');
    if (name === 'keyed.op' || name === 'keyed.servers') {
      return {status: 403};
    }
    const records = decodeRecords(body);
    const largest = Math.max(0, ...records.map(({raw}) => raw.length));
    if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
      this.recorder?.write(
        'store refuses append: largest record',
        largest,
        'bytes, call',
        body.length,
        'bytes',
      );
      return {status: 413};
    }
    if (query.has('at') && Number(query.get('at')) !== topic.end) {
      return {status: 412, body: {end: topic.end}};
    }
    if (query.has('producer')) {
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('seq'));
      if (epoch < topic.epoch) {
        return {status: 409, body: {reason: 'fenced'}};
      }
      if (epoch > topic.epoch) {
        topic.epoch = epoch;
        topic.answers.clear();
      } else if (topic.answers.has(sequence)) {
        return topic.answers.get(sequence);
      } else if (sequence !== topic.lastSequence + 1) {
        return {
          status: 409,
          body: {reason: 'seq', expected: topic.lastSequence + 1},
        };
      }
      topic.lastSequence = sequence;
      const answer = {
        status: 200,
        body: {offset: topic.append(records), end: topic.end},
      };
      topic.answers.set(sequence, answer);
      topic.answers.delete(sequence - 5);
      return answer;
    }
    return {
      status: 200,
      body: {offset: topic.append(records), end: topic.end},
    };
  }

  async read(topic, {query}, response) {
    const from = Number(query.get('from'));
    const wait = Number(query.get('wait_ms') ?? 0);
    const maxBytes = Number(query.get('max_kb') ?? 1024) * 1024;
    if (from >= topic.end && wait > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, wait);
        topic.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
        response.once('close', resolve);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(topic.end), 0);
    const parts = [header];
    let size = 0;
    for (let offset = from; offset < topic.end && size < maxBytes; offset++) {
      const {raw} = topic.records[offset];
      const length = Buffer.alloc(4);
      length.writeUInt32BE(raw.length);
      parts.push(length, raw);
      size += raw.length;
    }
    return {status: 200, body: Buffer.concat(parts)};
  }

  readNewest(topic, {query}) {
    const after = query.get('depends_on');
    const keys = [...topic.newest.keys()].sort();
    const rest = after === null ? keys : keys.filter(key => key > after);
    const items = [];
    let size = 0;
    for (const key of rest) {
      const {value, offset} = topic.newest.get(key);
      if (items.length >= 500 || size > 1_000_000) {
        break;
      }
      items.push({key, value: value.toString('base64'), offset});
      size += value.length;
    }
    return {
      status: 200,
      body: {items, has_more: items.length < rest.length, end: topic.end},
    };
  }
}

/** A worker: runs tasks by the rules of PROTOCOL.md. `work` returns the duration of a task in milliseconds. */
export class Worker {
  running = new Map();
  ended = [];
  highestRun = new Map();
  nextEnd = 1;
  lapsesAtEnd = new Map();
  fence = 0;
  leaseUntil = -Infinity;
  /** Number of times that the lease had expired before it was extended again. */
  lapses = 0;
  waiters = new Set();
  /** Whether the worker is lost: it answers nothing, runs nothing and writes no entry. */
  isLost = false;
  /** Called for each call; returns 'silent' to leave it unanswered and undone, or the time after which it is carried out without an answer. */
  trouble = () => undefined;

  constructor(store, recorder, options) {
    this.store = store;
    this.recorder = recorder;
    this.options = {
      service: 'svc',
      zone: 'z-a',
      cpu: 64_000,
      mem_mb: 131_072,
      gpu: 8,
      labels: ['a', 'r1-1'],
      stopMs: 100,
      maxHoldMs: 6000,
      workMs: () => 1000,
      onStart: () => undefined,
      onEnd: () => undefined,
      onNoted: () => undefined,
      ...options,
    };
    this.id = options.id;
    this.born = Date.now();
    this.startedAt = performance.now();
  }

  get clock() {
    return Math.floor(performance.now() - this.startedAt) + 1000;
  }

  async start(port = 0, reportDelayMs = 0) {
    this.http = await serve(call => this.handle(call), port);
    if (reportDelayMs > 0) {
      this.firstBeat = setTimeout(() => this.beat(), reportDelayMs);
    } else {
      this.beat();
    }
    this.beatTimer = setInterval(() => this.beat(), BEAT_MS);
    this.leaseTimer = setInterval(() => this.checkLease(), 20);
  }

  beat() {
    const {service, zone, cpu, mem_mb, gpu, labels} = this.options;
    const entry = {
      service,
      address: this.http.address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: {cpu, mem_mb, gpu},
      labels,
      born: this.born,
      clock_ms: this.clock,
      seq: (this.seq = (this.seq ?? 0) + 1),
    };
    this.store.topic('keyed.servers').put(this.id, JSON.stringify(entry));
  }

  /** The worker crashes, and starts again at its address under its id after `downMs`. */
  async restart(downMs) {
    const {address} = this.http;
    this.isLost = true;
    clearInterval(this.beatTimer);
    clearInterval(this.leaseTimer);
    this.dropRuns();
    // Without power the worker is silent; once it is back, it resets what it doesn't know.
    await sleep(downMs);
    this.http.close();
    this.running.clear();
    this.highestRun.clear();
    this.ended = [];
    this.lapsesAtEnd.clear();
    this.nextEnd = 1;
    this.fence = 0;
    this.leaseUntil = -Infinity;
    this.seq = 0;
    this.born = Date.now();
    this.startedAt = performance.now();
    this.isLost = false;
    await this.start(Number(address.split(':')[1]), REPORT_LAG_MS);
  }

  dropRuns() {
    for (const run of this.running.values()) {
      clearTimeout(run.timer);
      this.options.onEnd(this, run, 'lost');
    }
    this.running.clear();
  }

  /** The worker crashes and never returns; its port is closed, and its entry goes after three intervals of silence. */
  lose() {
    this.isLost = true;
    this.http.close();
    clearInterval(this.beatTimer);
    clearInterval(this.leaseTimer);
    this.dropRuns();
    this.removal = setTimeout(
      () => this.store.topic('keyed.servers').put(this.id, ''),
      3 * BEAT_MS,
    );
  }

  close() {
    clearInterval(this.beatTimer);
    clearInterval(this.leaseTimer);
    clearTimeout(this.removal);
    clearTimeout(this.firstBeat);
    for (const {timer} of this.running.values()) {
      clearTimeout(timer);
    }
    this.http.close();
  }

  checkLease() {
    if (this.running.size > 0 && this.clock > this.leaseUntil) {
      for (const run of [...this.running.values()]) {
        this.end(run, 'lapsed');
      }
    }
  }

  extendLease(until) {
    if (until !== undefined) {
      this.lapses += this.clock > this.leaseUntil ? 1 : 0;
      const limit = this.clock + this.options.maxHoldMs;
      this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, limit));
    }
  }

  end(run, how) {
    if (this.running.get(run.task) !== run) {
      return;
    }
    clearTimeout(run.timer);
    this.running.delete(run.task);
    this.lapsesAtEnd.set(this.nextEnd, this.lapses);
    this.ended.push([this.nextEnd++, run.task, run.run, how, this.saved(run)]);
    this.options.onEnd(this, run, how);
    const waiters = [...this.waiters];
    this.waiters.clear();
    waiters.forEach(wake => wake());
  }

  /** The checkpoint of a run; a new value with each second of work. */
  saved(run) {
    const seconds = Math.floor((performance.now() - run.startedAt) / 1000);
    if (!this.options.saves || seconds === 0) {
      return run.checkpoint;
    }
    const tag = createHash('sha256').update(run.task).digest('hex');
    return seconds.toString(16).padStart(8, '0') + tag.slice(0, 8);
  }

  percent(run) {
    const share = (performance.now() - run.startedAt) / run.workMs;
    return Math.min(99, Math.floor(share * 100));
  }

  answer(status, body = {}) {
    return {status, body: {clock_ms: this.clock, born: this.born, ...body}};
  }

  async handle(call) {
    if (this.isLost) {
      return undefined;
    }
    const trouble = this.trouble(call);
    if (typeof trouble === 'number') {
      setTimeout(() => {
        if (!this.isLost) {
          this.carryOut(call);
        }
      }, trouble);
    }
    return trouble === undefined ? this.carryOut(call) : undefined;
  }

  carryOut(call) {
    const expected = call.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      return {status: 421};
    }
    const body = JSON.parse(call.body.toString());
    if ((body.fence ?? 0) < this.fence) {
      return this.answer(409, {reason: 'fence'});
    }
    this.fence = Math.max(this.fence, body.fence ?? 0);
    switch (call.path) {
      case '/v1/run-start':
        return this.startRun(body);
      case '/v1/run-stop':
        return this.stopRun(body);
      case '/v1/hold':
        return this.hold(body);
      default:
        return {status: 404};
    }
  }

  startRun({task, run, spec, until_ms, checkpoint}) {
    this.extendLease(until_ms);
    const present = this.running.get(task);
    if (present?.run === run) {
      return this.answer(200);
    }
    if (run <= (this.highestRun.get(task) ?? 0)) {
      return this.answer(409, {reason: 'old'});
    }
    if (until_ms <= this.clock) {
      return this.answer(409, {reason: 'late'});
    }
    const workMs = this.options.workMs(task, run);
    const entry = {
      task,
      run,
      spec,
      workMs,
      checkpoint: checkpoint ?? '',
      startedAt: performance.now(),
    };
    entry.timer = setTimeout(() => this.end(entry, 'done'), workMs);
    this.running.set(task, entry);
    this.highestRun.set(task, run);
    this.options.onStart(this, entry);
    return this.answer(200);
  }

  stopRun({task, run}) {
    this.highestRun.set(task, Math.max(run, this.highestRun.get(task) ?? 0));
    const present = this.running.get(task);
    if (present && present.run <= run) {
      setTimeout(() => this.end(present, 'stopped'), this.options.stopMs);
    }
    return this.answer(200);
  }

  async hold({ack_offset = 0, until_ms, wait_ms = 0}) {
    this.extendLease(until_ms);
    const isNoted = ([number]) => number <= ack_offset;
    for (const [number, task, run, how] of this.ended.filter(isNoted)) {
      // An end isn't taken note of if the lease lapsed between the two.
      const hasLapsed =
        this.lapsesAtEnd.get(number) !== this.lapses ||
        this.clock > this.leaseUntil;
      if (!hasLapsed) {
        this.options.onNoted(this, {task, run}, how);
      }
    }
    this.ended = this.ended.filter(end => !isNoted(end));
    if (wait_ms > 0 && this.ended.length === 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, wait_ms);
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      if (this.isLost) {
        return undefined;
      }
    }
    return this.answer(200, {
      running: [...this.running.values()].map(run => [
        run.task,
        run.run,
        this.saved(run),
        this.percent(run),
        this.options.cpuInUse ?? 0,
      ]),
      ended: this.ended.slice(0, 500),
    });
  }
}

/** Fills the template of the deploy file with the values of one machine. */
function renderTemplate(text, values) {
  const find = path =>
    path.split('.').reduce((value, name) => value?.[name], values);
  return text
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) => JSON.stringify(find(path)))
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ''));
}

/** Reads the start command and the template of the deploy file. */
function readDeployFile() {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8');
  const find = name => new RegExp(`^${name} = "(.*)"$`, 'm').exec(text)[1];
  return {
    command: find('run').split(' '),
    template: readFileSync(join(REPOSITORY, find('template')), 'utf8'),
  };
}

/** A daemon that runs as a process of its own. */
export class Daemon {
  /** Number of times that the process has ended without a signal of the script. */
  ownEnds = 0;
  isStopped = false;
  isSignalled = false;

  constructor(name, storeAddress, folder, recorder, bounds = {}) {
    this.name = name;
    this.recorder = recorder;
    this.storeAddress = storeAddress;
    this.folder = folder;
    this.bounds = bounds;
  }

  async prepare() {
    const [front, ready, metrics, peer] = await Promise.all(
      [0, 1, 2, 3].map(findFreePort),
    );
    this.front = `${LOOPBACK}:${front}`;
    this.ready = `${LOOPBACK}:${ready}`;
    const {command, template} = readDeployFile();
    this.command = command;
    this.settingsFile = join(this.folder, `${this.name}.json`);
    writeFileSync(
      this.settingsFile,
      renderTemplate(template, {
        node: this.name,
        zone: 'z-a',
        ip: LOOPBACK,
        listen: {front: this.front, ready: this.ready},
        internal_ports: [metrics, peer],
        limits: {cores: 1, cpu_share: 0.675},
        platform: {address: this.storeAddress},
        bounds: {
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
          ...this.bounds,
        },
      }),
    );
  }

  start() {
    const [program, ...parameters] = this.command;
    const child = spawn(program, parameters, {
      cwd: REPOSITORY,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? 'C',
        GALENAVALVE_SETTINGS: this.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.log ??= createWriteStream(join(this.folder, `${this.name}.log`));
    child.stdout.pipe(this.log, {end: false});
    child.stderr.pipe(this.log, {end: false});
    this.child = child;
    this.exited = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        resolve();
        this.onExit(child, code, signal);
      }),
    );
  }

  /** The platform starts a process again that has ended. */
  onExit(child, code, signal) {
    if (child !== this.child || this.isStopped) {
      return;
    }
    this.ownEnds += this.isSignalled ? 0 : 1;
    this.recorder?.write(
      `daemon ${this.name} ended`,
      this.isSignalled ? 'by a signal of the script' : 'by itself',
      `(code ${code}, signal ${signal})`,
    );
    this.isSignalled = false;
    setTimeout(() => {
      if (!this.isStopped) {
        this.start();
      }
    }, RESTART_DELAY_MS);
  }

  /** Sends a signal as the platform does; the process starts again after its end. */
  kill(signal) {
    this.isSignalled = true;
    this.child?.kill(signal);
  }

  /** Ends the process for good. */
  stop() {
    this.isStopped = true;
    this.child?.kill('SIGKILL');
    return this.exited;
  }

  /** Resolves when the daemon is ready for callers. */
  async waitUntilReady(timeoutMs = 15_000) {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      const answer = await call(this.ready, 'GET', '/v1/ready', {
        timeoutMs: 500,
      });
      if (answer?.status === 200) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }
}

/** Sends one HTTP request; resolves to undefined without a complete answer. */
export function call(
  address,
  method,
  path,
  {headers = {}, body, timeoutMs = 3000} = {},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = httpRequest(
      {host, port, method, path, headers, agent: false},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => resolve(undefined));
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            body: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    request.setTimeout(timeoutMs, () => request.destroy());
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('close', () => clearTimeout(timer));
    request.on('error', () => resolve(undefined));
    request.end(body);
  });
}

/** Desired state with one tenant and three queues, as the operator writes it. */
export function createConfig(version) {
  const route = (name, priority, maxAttempts) => ({
    name: `r-${name}`,
    host: 'q.example',
    path_prefix: `/${name}/`,
    kind: 'non_idempotent',
    timeout_ms: 3000,
    target_latency_ms: 1000,
    priority,
    service: 'svc',
    max_attempts: maxAttempts,
    stretch: 3,
    no_auth: false,
  });
  return {
    version,
    routes: [route('urgent', 0, 3), route('plain', 1, 4), route('batch', 2, 3)],
    services: [{name: 'svc', admission_check: false}],
    tenants: [{name: 't-1', api_keys: ['key-1'], guaranteed: {gpu: 8}}],
    limits: {},
  };
}

/** A requester that holds the key of the tenant. */
export class Requester {
  constructor(recorder, daemons) {
    this.recorder = recorder;
    this.daemons = daemons;
    this.next = 0;
    this.key = 'key-1';
  }

  async send(method, queue, id, body, {quiet = false, daemon} = {}) {
    const node = daemon ?? this.daemons[this.next++ % this.daemons.length];
    const answer = await call(node.front, method, `/${queue}/${id}`, {
      headers: {
        host: 'q.example',
        authorization: `Bearer ${this.key}`,
        'content-type': 'application/json',
        'deadline-ms': '3000',
      },
      body: body && JSON.stringify(body),
    });
    if (!quiet) {
      this.recorder.write(
        method,
        queue,
        id,
        'at',
        node.name,
        '->',
        answer ? `${answer.status} ${answer.body.slice(0, 80)}` : 'no answer',
      );
    }
    return answer;
  }

  /** Submits a job; repeats attempts without a definite answer. Returns whether it was accepted. */
  async submit(queue, id, job) {
    for (let attempt = 0; attempt < 5; attempt++) {
      const answer = await this.send('POST', queue, id, job);
      if (answer && answer.status >= 200 && answer.status < 300) {
        return true;
      }
      if (answer && (answer.status === 400 || answer.status === 404)) {
        return false;
      }
      await sleep(300);
    }
    return false;
  }

  async state(queue, id, options = {quiet: true}) {
    const answer = await this.send('GET', queue, id, undefined, options);
    if (answer?.status === 200) {
      return JSON.parse(answer.body).state;
    }
    return answer ? String(answer.status) : 'no answer';
  }
}

/** Creates a temporary folder for settings and logs. */
export function createFolder() {
  return mkdtempSync(join(tmpdir(), 'galenavalve-review-'));
}

export function removeFolder(folder) {
  rmSync(folder, {recursive: true, force: true});
}

/** Starts daemons, each with its own address of the store; resolves when all are ready. */
export async function startDaemons(store, folder, recorder, count, bounds) {
  const daemons = [];
  const services = [];
  for (let index = 1; index <= count; index++) {
    const name = `front-z-a-${index}`;
    const service = await store.serveFor(name);
    services.push(service);
    const daemon = new Daemon(name, service.address, folder, recorder, bounds);
    await daemon.prepare();
    daemons.push(daemon);
  }
  daemons.forEach(daemon => daemon.start());
  const ready = await Promise.all(
    daemons.map(daemon => daemon.waitUntilReady()),
  );
  return {daemons, services, isReady: ready.every(Boolean)};
}

/**
 * Runs a case: `play` gets the stand-ins' folder and recorder and resolves to the
 * list of what breaks the rule. Ends the process with 0 if the rule held, 1 if it
 * was broken and 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const recorder = new Recorder(folder);
  const scratch = createFolder();
  const cleanups = [];
  const finish = async code => {
    for (const cleanup of cleanups.reverse()) {
      await cleanup();
    }
    removeFolder(scratch);
    process.exit(code);
  };
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.on(signal, () => void finish(2));
  }
  setTimeout(() => {
    recorder.write('the case took too long');
    void finish(2);
  }, CASE_TIMEOUT_MS).unref();
  try {
    const problems = await play({
      recorder,
      scratch,
      isTrouble: process.env.TROUBLE !== '0',
      onEnd: cleanup => cleanups.push(cleanup),
    });
    problems.forEach(problem => recorder.write('BROKEN:', problem));
    recorder.write(
      problems.length > 0 ? 'the rule was broken' : 'the rule held',
    );
    await finish(problems.length > 0 ? 1 : 0);
  } catch (error) {
    recorder.write('the case could not run:', String(error?.stack ?? error));
    await finish(2);
  }
}
