/** Implements `bench memory`: heap per open task in the leader and in its followers, and the time of a pass, by number of tasks in one job and in many. */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Command} from 'commander';
import {createActiveJob, decide} from '@galenavalve/dispatch';
import {SilentLogger} from '@galenavalve/shared';
import {
  type AcceptedJob,
  JobTable,
  MAX_STEPS,
  MAX_STEP_TASKS,
  encodeAccepted,
  encodeProgress,
} from '@galenavalve/workload';
import {
  createLoadedSnapshot,
  createWideProgress,
  createWideSpec,
} from '../dispatch/fixture.js';

/** Figures at one number of open tasks. */
interface MemoryFigures {
  tasks: number;
  jobs: number;
  /** Heap per task of a table that has read the records of the jobs, in bytes. */
  followerBytes: number;
  /** Heap per task that a leader needs in addition, in bytes. */
  leaderBytes: number;
  /** Median time of a pass over the jobs while all targets are full, in milliseconds. */
  passMs: number;
}

const TASK_COUNTS: readonly number[] = [10_000, 100_000, 300_000];

/** Tasks of each of many jobs. */
const TASKS_OF_SMALL_JOB = 100;
const TARGETS = 245;
const REPETITIONS = 5;
const NOW_MS = 100_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Registers the command `memory`. */
export function registerMemoryCommand(program: Command): void {
  program
    .command('memory')
    .description('measures heap per open task and the time of a pass')
    .option('--json', 'prints JSON')
    .action((options: {json?: boolean}) => {
      const figures = TASK_COUNTS.flatMap(tasks => [
        measure(Math.min(tasks, MAX_STEPS * MAX_STEP_TASKS), 1),
        measure(tasks, tasks / TASKS_OF_SMALL_JOB),
      ]);
      if (options.json) {
        console.log(JSON.stringify(figures, null, 2));
      } else {
        console.table(figures);
      }
    });
}

function measure(tasks: number, jobs: number): MemoryFigures {
  const before = readHeap();
  const table = new JobTable(new SilentLogger());
  const width = tasks / jobs;
  for (let index = 0; index < jobs; index++) {
    const id = index.toString(16).padStart(16, '0');
    const job: AcceptedJob = {
      queue: 'q',
      workspace: 'w',
      acceptedAt: NOW_MS,
      terms: {pool: 'p', priority: 1, maxAttempts: 3, stretch: 3, latencyMs: 0},
      spec: createWideSpec(width),
    };
    const progress = createWideProgress(width);
    for (const unit of progress.occurrences[0]!.steps.flat()) {
      unit.placedOn = undefined;
    }
    table.apply({...encodeAccepted(id, job), offset: 2 * index});
    table.apply({...encodeProgress(id, progress), offset: 2 * index + 1});
  }
  const afterTable = readHeap();
  const active = [...table.listEntries()].map(entry =>
    createActiveJob(entry, NOW_MS, NOW_MS),
  );
  const afterLeader = readHeap();
  const loaded = createLoadedSnapshot(
    {targets: TARGETS, workspaces: 10, waiting: 0},
    NOW_MS,
  );
  const snapshot = {...loaded, jobs: [...loaded.jobs, ...active]};
  const times = Array.from({length: REPETITIONS}, () => {
    const startedAt = performance.now();
    decide(snapshot, NOW_MS);
    return performance.now() - startedAt;
  }).sort((a, b) => a - b);
  return {
    tasks,
    jobs,
    followerBytes: Math.round((afterTable - before) / tasks),
    leaderBytes: Math.round((afterLeader - afterTable) / tasks),
    passMs: Math.round(times[REPETITIONS >> 1]!),
  };
}

function readHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
