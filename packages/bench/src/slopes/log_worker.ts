/** A thread with a log stand-in that holds the records of a number of jobs. */
import {parentPort, workerData} from 'node:worker_threads';
import {startLogServer} from '@galenavalve/standins';
import {
  TASKS_PER_PART,
  createConfigured,
  createEntities,
  createEntries,
  createJobRecords,
} from './fixtures.js';

/** How many jobs the log holds. */
export interface LogWorkerSettings {
  jobs: number;
}

if (parentPort) {
  const {jobs} = workerData as LogWorkerSettings;
  const server = await startLogServer({host: '127.0.0.1', port: 0});
  const bodies = [createConfigured(createEntities(64, 4), 0)];
  for (let index = 0; index < jobs; index++) {
    bodies.push(...createJobRecords(index, TASKS_PER_PART).slice(0, 1));
  }
  const entries = createEntries(bodies, 0);
  server.log.write(...entries.map(entry => entry.value));
  parentPort.postMessage(server.url);
}
