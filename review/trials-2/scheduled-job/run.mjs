/**
 * A scheduled job whose occurrences overlap is accepted. Once its tasks run and
 * save progress, the record of its progress no longer fits into the log, and no
 * leader can record anything any more, for any job.
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
const WORKERS = 16;

/** The scheduled job: its tasks, how often and how soon it runs again. A task takes a fortieth of a core. */
const TASKS = 2000;
const TASK_CPU = 25;
const TIMES = 6;
const INTERVAL_MS = 3000;
const TASK_MS = 100_000;

/** Time until its tasks run and have saved progress. */
const BUILD_UP_MS = 20_000;

/** Small jobs that are handed in then, one a second; together they need less than the tenant's guarantee. */
const SMALL_JOBS = 5;
const SMALL_TASK_MS = 500;

/** Time after the last small job for which the script watches. */
const WATCH_MS = 20_000;

/** `reclaim_ms`: time from its ack within which an urgent job within the guarantee must have begun. */
const RECLAIM_MS = 2900;

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(folder, async ({recorder, scratch, isTrouble, onEnd}) => {
  const store = new Store(recorder);
  store.topic('keyed.op').put('config', JSON.stringify(createConfig(1)));
  const beganAt = new Map();
  let largeStarts = 0;
  const workers = [];
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker(store, recorder, {
      id: `i-${index}`,
      saves: true,
      labels: ['a', `r1-${1 + Math.floor(index / 8)}`],
      workMs: task => (task.startsWith('b') ? TASK_MS : SMALL_TASK_MS),
      onStart: (_, {task, run}) => {
        if (task.startsWith('b')) {
          largeStarts++;
        } else {
          const job = task.split('.')[0];
          beganAt.set(job, beganAt.get(job) ?? performance.now());
          recorder.write('start of', task, 'run', run);
        }
      },
      onEnd: (_, {task, run}, how) => {
        if (!task.startsWith('b')) {
          recorder.write('end of', task, 'run', run, how);
        }
      },
    });
    await worker.start();
    onEnd(() => worker.close());
    workers.push(worker);
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
  const requester = new Requester(recorder, daemons);
  const isAccepted = await requester.submit('plain', 'b'.repeat(16), {
    spec: 'large',
    times: isTrouble ? TIMES : 1,
    start_at_ms: Date.now(),
    interval_ms: INTERVAL_MS,
    steps: [
      {
        count: TASKS,
        cpu: TASK_CPU,
        mem_mb: 20,
        estimate_ms: TASK_MS,
        saves_progress: true,
      },
    ],
  });
  if (!isAccepted) {
    recorder.write('the scheduled job was not accepted');
    return [];
  }
  await sleep(BUILD_UP_MS);
  recorder.write('starts of the scheduled job:', largeStarts);
  const acceptedAt = new Map();
  for (let index = 0; index < SMALL_JOBS; index++) {
    const id = (0xa00 + index).toString(16).padStart(16, '0');
    const step = {count: 1, cpu: 1000, mem_mb: 100, gpu: 1, estimate_ms: 500};
    if (await requester.submit('urgent', id, {spec: 'small', steps: [step]})) {
      acceptedAt.set(id, performance.now());
    }
    await sleep(1000);
  }
  await sleep(WATCH_MS);
  const used = workers
    .flatMap(worker => [...worker.running.keys()])
    .reduce((sum, task) => sum + (task.startsWith('b') ? TASK_CPU : 1000), 0);
  const total = workers.length * workers[0].options.cpu;
  recorder.write(`in use: ${used} of ${total} thousandths of a core, no GPU`);
  recorder.write('starts of the scheduled job:', largeStarts);
  const epochs = new Set(
    store
      .topic('keyed.jobs')
      .records.filter(({key}) => key === 'lead')
      .map(({value}) => JSON.parse(value.toString()).epoch),
  );
  recorder.write('leaderships so far:', epochs.size);
  const problems = [];
  for (const [id, at] of acceptedAt) {
    const waitedMs = Math.round((beganAt.get(id) ?? performance.now()) - at);
    recorder.write('job', id, 'waited', waitedMs, 'ms for its start');
    if (waitedMs > RECLAIM_MS) {
      problems.push(`RECLAIM: job ${id} had not begun after ${RECLAIM_MS} ms`);
    }
  }
  return problems;
});
