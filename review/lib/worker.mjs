/**
 * Stand-in for a worker. It runs tasks for their duration under one lease,
 * checks fences and run numbers, lists running tasks and ends, and reports
 * itself in the store. It starts whatever it is told to (`admission_check`
 * false).
 */
import {createServer} from 'node:http';

/** Limits of the platform's settings. */
const HEARTBEAT_MS = 1500;
const MISSED_HEARTBEATS = 3;
const STOP_MS = 150;
const MAX_WAIT_MS = 2000;
const CHECK_MS = 10;
/** Time that a member of a gang waits for the others. */
const GANG_MS = 3000;

/** The gangs on all workers: their members work and end together. */
export class Gangs {
  workers = [];

  /** Whether all members of a run's gang were present at one time. */
  isWhole(run) {
    if (run.gangSize === undefined || run.isWhole) {
      return true;
    }
    const members = this.findMembers(run);
    if (members.length === run.gangSize) {
      members.forEach(member => (member.isWhole = true));
    }
    return run.isWhole ?? false;
  }

  /** The end of a member ends the others. */
  onEnd(run, how) {
    if (run.gangSize === undefined || how === 'alone') {
      return;
    }
    for (const worker of this.workers) {
      for (const member of [...worker.running.values()]) {
        if (worker.isUp && this.isSameGang(member, run)) {
          worker.end(member, how === 'done' ? 'done' : 'broken');
        }
      }
    }
  }

  findMembers(run) {
    return this.workers
      .filter(({isUp}) => isUp)
      .flatMap(({running}) => [...running.values()])
      .filter(other => this.isSameGang(other, run));
  }

  isSameGang(a, b) {
    const getStep = ({task}) => task.slice(0, task.lastIndexOf('.'));
    return a.run === b.run && getStep(a) === getStep(b);
  }
}

export class Worker {
  /**
   * `info` has id, zone, service, labels and capacity. `describeTask` returns
   * the duration of a task in milliseconds and, optionally, `crashMs`: when the
   * task crashes its worker. `onEvent` receives what happens.
   */
  constructor(info, {store, maxLeaseMs, describeTask, onEvent, gangs}) {
    Object.assign(this, {
      info,
      store,
      maxLeaseMs,
      describeTask,
      onEvent,
      gangs,
    });
  }

  async start() {
    this.reset();
    this.server = createServer((request, response) => {
      this.respond(request, response).catch(() => request.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => (socket.born = this.born));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.port ?? 0, '127.0.0.1', resolve);
    });
    this.port = this.server.address().port;
    this.isUp = true;
    clearTimeout(this.expiry);
    this.startReports();
    this.check = setInterval(() => this.advance(), CHECK_MS);
  }

  /** A worker that starts again knows nothing of before. */
  reset() {
    this.born = Date.now();
    this.startedAt = performance.now();
    this.seq = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.running = new Map();
    this.ended = [];
    this.endCount = 0;
    this.closedRuns = new Map();
    this.waiters = new Set();
  }

  get clock() {
    return Math.floor(performance.now() - this.startedAt);
  }

  report() {
    const {id, ...info} = this.info;
    const entry = {
      ...info,
      address: `127.0.0.1:${this.port}`,
      version: '1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: ++this.seq,
      born: this.born,
    };
    this.store.write('keyed.servers', id, JSON.stringify(entry));
  }

  /** Ends the process of the worker, which is back after `downMs`. */
  crash(downMs) {
    this.halt();
    this.onEvent('crash', {
      worker: this.info.id,
      runs: [...this.running.keys()],
    });
    this.running.clear();
    this.expiry = setTimeout(
      () => this.store.write('keyed.servers', this.info.id, ''),
      MISSED_HEARTBEATS * HEARTBEAT_MS,
    );
    setTimeout(() => {
      this.onEvent('back', {worker: this.info.id});
      void this.start();
    }, downMs);
  }

  /** Cuts the worker off from all instances; it runs on. */
  cut(durationMs) {
    this.onEvent('cut off', {worker: this.info.id});
    this.isCutOff = true;
    setTimeout(() => {
      this.isCutOff = false;
      this.onEvent('reached again', {worker: this.info.id});
    }, durationMs);
  }

  /**
   * The machine of the worker loses power for `downMs`: calls get no answer. It
   * then starts again at its address and under its id, and reports itself after
   * `reportMs`.
   */
  loseMachine(downMs, reportMs) {
    const runs = [...this.running.keys()];
    this.onEvent('crash', {worker: this.info.id, runs});
    this.isCutOff = true;
    clearInterval(this.heartbeat);
    this.reset();
    setTimeout(() => {
      this.reset();
      this.isCutOff = false;
      this.onEvent('back', {worker: this.info.id});
      setTimeout(() => this.startReports(), reportMs);
    }, downMs);
  }

  startReports() {
    this.report();
    this.heartbeat = setInterval(() => this.report(), HEARTBEAT_MS);
  }

  halt() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    clearInterval(this.check);
    this.server.close();
    this.server.closeAllConnections();
  }

  advance() {
    const {clock} = this;
    for (const run of [...this.running.values()]) {
      if (!this.isUp) {
        return;
      }
      const age = clock - run.startedAt;
      const isAlone = !this.gangs.isWhole(run);
      if (clock >= this.leaseUntil) {
        this.end(run, 'lapsed');
      } else if (run.stopAt !== undefined && clock >= run.stopAt) {
        this.end(run, 'stopped');
      } else if (run.crashMs !== undefined && age >= run.crashMs) {
        this.crash(run.downMs);
      } else if (isAlone && age >= GANG_MS) {
        this.end(run, 'alone');
      } else if (run.stopAt === undefined && age >= run.durationMs) {
        this.end(run, 'done');
      }
    }
  }

  end(run, how) {
    this.running.delete(run.task);
    this.closeRun(run.task, run.run);
    this.ended.push([++this.endCount, run.task, run.run, how, '']);
    this.onEvent('end', {
      worker: this.info.id,
      task: run.task,
      run: run.run,
      how,
    });
    this.waiters.forEach(wake => wake());
    this.gangs.onEnd(run, how);
  }

  closeRun(task, run) {
    this.closedRuns.set(task, Math.max(run, this.closedRuns.get(task) ?? 0));
  }

  async respond(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (this.isCutOff) {
      // The call does not arrive.
      return;
    }
    if (request.socket.born !== this.born) {
      // A worker that has started again knows no earlier connection.
      request.socket.resetAndDestroy();
      return;
    }
    const expected = request.headers['expect-instance'];
    const body = JSON.parse(Buffer.concat(chunks).toString());
    const {born} = this;
    const reply =
      expected !== undefined && expected !== this.info.id
        ? {status: 421, body: {}}
        : await this.handle(request.url, body);
    if (this.isCutOff || this.born !== born) {
      // The answer is lost.
      return;
    }
    response.statusCode = reply.status;
    response.end(JSON.stringify({...reply.body, clock_ms: this.clock}));
  }

  async handle(path, body) {
    if ((body.fence ?? 0) < this.fence) {
      return {status: 409, body: {reason: 'fence'}};
    }
    this.fence = body.fence ?? 0;
    switch (path) {
      case '/v1/run-start':
        return this.startRun(body);
      case '/v1/run-stop':
        return this.stopRun(body);
      case '/v1/hold':
        return this.hold(body);
      default:
        return {status: 404, body: {}};
    }
  }

  extendLease(until) {
    if (until !== undefined) {
      const latest = this.clock + this.maxLeaseMs;
      this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, latest));
    }
  }

  startRun({task, run, until_ms: until}) {
    if (until <= this.clock) {
      return {status: 409, body: {reason: 'late'}};
    }
    this.extendLease(until);
    if (this.running.get(task)?.run === run) {
      return {status: 200, body: {}};
    }
    if (this.running.has(task) || run <= (this.closedRuns.get(task) ?? 0)) {
      return {status: 409, body: {reason: 'old'}};
    }
    const plan = this.describeTask(task);
    this.running.set(task, {task, run, startedAt: this.clock, ...plan});
    this.onEvent('start', {worker: this.info.id, task, run});
    return {status: 200, body: {}};
  }

  stopRun({task, run}) {
    const current = this.running.get(task);
    this.closeRun(task, run);
    if (current && current.run <= run) {
      current.stopAt ??= this.clock + STOP_MS;
    }
    return {status: 200, body: {}};
  }

  forgetEnds(acknowledged) {
    const noted = this.ended.filter(([number]) => number <= acknowledged);
    this.ended = this.ended.filter(([number]) => number > acknowledged);
    for (const [number, task, run, how] of noted) {
      this.onEvent('noted', {worker: this.info.id, number, task, run, how});
    }
  }

  async hold({ack_offset: acknowledged, until_ms: until, wait_ms: wait = 0}) {
    this.extendLease(until);
    this.forgetEnds(acknowledged);
    if (this.ended.length === 0 && wait > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.min(wait, MAX_WAIT_MS));
        this.waiters.add(wake);
      });
    }
    return {
      status: 200,
      body: {
        born: this.born,
        running: [...this.running.values()].map(run => [
          run.task,
          run.run,
          '',
          Math.min(
            99,
            Math.floor((100 * (this.clock - run.startedAt)) / run.durationMs),
          ),
        ]),
        ended: this.ended.slice(0, 500),
      },
    };
  }
}
