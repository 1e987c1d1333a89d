/**
 * A worker crashes for good. Jobs that come in the same second are placed on all
 * workers, the crashed one included. The job placed there stays without a run,
 * although the others are idle and the lease of the crashed worker has expired.
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
} from '../standins-2/standins.mjs';

const DAEMONS = 3;
const WORKERS = 8;

/** Jobs that come at once; each task takes all GPUs of a worker. */
const WORK_MS = 1000;

/** Time before the crash, with a few jobs that warm up the system. */
const WARM_UP_MS = 4000;

/** `finish_s`, and the time for which a job must have nothing running. */
const FINISH_MS = 14_000;
const IDLE_MS = 3000;

/** Time for which the script goes on to see when the job starts after all. */
const WATCH_MS = 15_000;

const folder = dirname(fileURLToPath(import.meta.url));

await runCase(folder, async ({recorder, scratch, isTrouble, onEnd}) => {
  const store = new Store(recorder);
  store.topic('keyed.op').put('config', JSON.stringify(createConfig(1)));
  const startedJobs = new Set();
  const workers = [];
  for (let index = 0; index < WORKERS; index++) {
    const worker = new Worker(store, recorder, {
      id: `i-${index}`,
      labels: ['a', 'r1-1'],
      workMs: () => WORK_MS,
      onStart: ({id}, {task, run}) => {
        startedJobs.add(task.split('.')[0]);
        recorder.write('start of', task, 'run', run, 'on', id);
      },
      onEnd: ({id}, {task, run}, how) =>
        recorder.write('end of', task, 'run', run, 'on', id, how),
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
  const submit = index =>
    requester.submit('plain', (0xa00 + index).toString(16).padStart(16, '0'), {
      spec: 'job',
      steps: [{count: 1, cpu: 1000, mem_mb: 100, gpu: 8, estimate_ms: WORK_MS}],
    });
  await submit(0);
  await sleep(WARM_UP_MS);
  if (isTrouble) {
    recorder.write(`worker ${workers[2].id} crashes for good`);
    workers[2].lose();
  }
  const indexes = workers.map((_, index) => index + 1);
  const answers = await Promise.all(indexes.map(submit));
  const accepted = indexes
    .filter((_, position) => answers[position])
    .map(index => (0xa00 + index).toString(16).padStart(16, '0'));
  await sleep(FINISH_MS);
  const idle = accepted.filter(id => !startedJobs.has(id));
  for (const id of idle) {
    recorder.write('job', id, 'is', await requester.state('plain', id));
  }
  await sleep(IDLE_MS);
  const problems = idle
    .filter(id => !startedJobs.has(id))
    .map(
      id =>
        `LOST: job ${id}, accepted, has nothing running for ${IDLE_MS} ms with ${WORKERS - 1} workers idle`,
    );
  if (problems.length > 0) {
    await sleep(WATCH_MS);
  }
  return problems;
});
