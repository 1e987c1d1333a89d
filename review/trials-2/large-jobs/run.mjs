/**
 * Two tenants hand in large jobs, all of which are accepted. The leader runs out
 * of heap while it starts their tasks, and so does each instance that follows it.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  Requester,
  Store,
  Worker,
  createConfig,
  runCase,
  sleep,
  startDaemons,
} from '../../standins-2/standins.mjs';

const DAEMONS = 3;
const WORKERS = 32;

/** Jobs of each of the two tenants, and the tasks of one; a task takes a fortieth of a core. */
const LARGE_JOBS = 10;
const LARGE_TASKS = 4000;
/** Tasks of the widest job of the site txingudi-sched. */
const USUAL_TASKS = 94;
const TASK_CPU = 25;
const TASK_MS = 60_000;

/** Processors of a worker. */
const CPU = 64_000;

/** Time for which small jobs are handed in, about one a second. */
const TRAFFIC_MS = 40_000;

/** `finish_s`: time after the traffic at which jobs are asked for. */
const FINISH_MS = 14_000;

/** Time for which a job must have nothing running. */
const IDLE_MS = 3000;

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(folder, async ({recorder, scratch, isTrouble, onEnd}) => {
  const store = new Store(recorder);
  const config = createConfig(1);
  config.tenants.push({
    name: 't-2',
    api_keys: ['key-2'],
    guaranteed: {gpu: 8},
  });
  store.topic('keyed.op').put('config', JSON.stringify(config));
  let starts = 0;
  const runningByJob = new Map();
  const doneByJob = new Map();
  const add = (counts, task, change) => {
    const job = task.split('.')[0];
    counts.set(job, (counts.get(job) ?? 0) + change);
  };
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker(store, recorder, {
      id: `i-${index}`,
      saves: true,
      cpu: CPU,
      labels: ['a', `r1-${1 + Math.floor(index / 8)}`],
      workMs: task => (task.startsWith('b') ? TASK_MS : 500),
      onStart: (_, {task}) => {
        starts++;
        add(runningByJob, task, 1);
      },
      onEnd: (_, {task}, how) => {
        add(runningByJob, task, -1);
        add(doneByJob, task, how === 'done' ? 1 : 0);
      },
    });
    await worker.start();
    onEnd(() => worker.close());
  }
  const {daemons, services, isReady} = await startDaemons(
    store,
    scratch,
    recorder,
    DAEMONS,
  );
  onEnd(() => services.forEach(service => service.close()));
  onEnd(() => Promise.all(daemons.map(daemon => daemon.stop())));
  if (!isReady) {
    throw new Error('a daemon did not become ready');
  }
  const requesters = ['key-1', 'key-2'].map(key => {
    const requester = new Requester(recorder, daemons);
    requester.key = key;
    return requester;
  });
  const count = isTrouble ? LARGE_TASKS : USUAL_TASKS;
  const accepted = [];
  const taskCounts = new Map();
  const submitLarge = async (requester, id) => {
    const step = {
      count,
      cpu: TASK_CPU,
      mem_mb: 20,
      estimate_ms: TASK_MS,
      saves_progress: true,
    };
    if (await requester.submit('plain', id, {spec: 'large', steps: [step]})) {
      accepted.push({requester, queue: 'plain', id});
      taskCounts.set(id, count);
    }
  };
  const submissions = [];
  for (let index = 0; index < LARGE_JOBS; index++) {
    for (const [tenant, requester] of requesters.entries()) {
      const id = `b${tenant}${index}`.padEnd(16, '0');
      submissions.push(submitLarge(requester, id));
    }
  }
  await Promise.all(submissions);
  const trafficEnd = performance.now() + TRAFFIC_MS;
  for (let second = 0; performance.now() < trafficEnd; second++) {
    await sleep(1000);
    const requester = requesters[second % 2];
    const id = (0xa00 + second).toString(16).padStart(16, '0');
    const step = {count: 2, cpu: 1000, mem_mb: 100, estimate_ms: 500};
    if (await requester.submit('urgent', id, {spec: 'small', steps: [step]})) {
      accepted.push({requester, queue: 'urgent', id});
      taskCounts.set(id, 2);
    }
    recorder.write('starts so far:', starts);
  }
  await sleep(FINISH_MS);
  const countWork = () =>
    accepted.map(({id}) => ({
      id,
      running: runningByJob.get(id) ?? 0,
      done: doneByJob.get(id) ?? 0,
    }));
  const idle = new Set(accepted.map(({id}) => id));
  const until = performance.now() + IDLE_MS;
  while (performance.now() < until) {
    for (const {id, running} of countWork()) {
      if (running > 0) {
        idle.delete(id);
      }
    }
    await sleep(20);
  }
  let inUse = 0;
  for (const {id, running, done} of countWork()) {
    recorder.write('job', id, 'running', running, 'done', done);
    inUse += running * TASK_CPU;
    if (done >= (taskCounts.get(id) ?? 0)) {
      idle.delete(id);
    }
  }
  const total = WORKERS * CPU;
  recorder.write(`in use: ${inUse} of ${total} thousandths of a core`);
  const ends = daemons.map(({name, ownEnds}) => `${name} ${ownEnds}`);
  recorder.write('ends of processes by themselves:', ends.join(', '));
  return inUse < total / 2
    ? [...idle].map(id => `LOST: job ${id} has nothing running`)
    : [];
});
