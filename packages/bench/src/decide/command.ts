/** Implements `bench decide`: time and memory of a placement, a reclaim and a queue pass, by size of the domain. */
import {GuaranteePolicy, type WaitingJob} from '@galenavalve/placement';
import type {Command} from 'commander';
import {
  type DecideSize,
  createFilledCells,
  createWaitingJob,
  hasPlace,
} from './fixture.js';

/** Time of one kind of decision, in milliseconds. */
interface DecisionTime {
  median: number;
  /** 99th percentile; with 31 repetitions this is the longest time. */
  p99: number;
  /** Number of placements and victims of the last repetition. */
  decided: number;
}

/** Figures of one size. */
export interface DecideFigures extends DecideSize {
  /** Heap that the filled cells take, in MiB. */
  heapMb: number;
  /** Time of the first assignment of all guaranteed cells, in milliseconds. */
  planMs: number;
  /** Placement of one gang, by its number of tasks; an entry is absent when the gang does not fit. */
  placement: Record<string, DecisionTime>;
  reclaim: DecisionTime;
  /** Pass over a queue of `queued` waiting jobs. */
  queuePass: DecisionTime & {queued: number};
}

const DOMAIN_SIZES: readonly DecideSize[] = [
  {targets: 30, workspaces: 4, tasks: 150},
  {targets: 300, workspaces: 20, tasks: 4000},
  {targets: 1200, workspaces: 80, tasks: 24_000},
  {targets: 8200, workspaces: 540, tasks: 190_000},
];
const GANG_TASK_COUNTS: readonly number[] = [1, 8, 64, 512];
const REPETITIONS = 31;
const QUEUED_JOBS = 1000;
const NOW_MS = 1000;

const policy = new GuaranteePolicy();

/** Registers the command `decide`. */
export function registerDecideCommand(program: Command): void {
  program
    .command('decide')
    .description('measures single decisions from 30 to 8,200 targets')
    .option('--json', 'prints JSON')
    .action((options: {json?: boolean}) => {
      const figures = DOMAIN_SIZES.map(measureSize);
      const text = options.json
        ? JSON.stringify({sizes: figures}, null, 2)
        : figures.map(formatFigures).join('\n\n');
      console.log(text);
    });
}

function measureSize(size: DecideSize): DecideFigures {
  const heapBeforeBytes = process.memoryUsage().heapUsed;
  const cells = createFilledCells(size);
  const heapMb = (process.memoryUsage().heapUsed - heapBeforeBytes) / 2 ** 20;
  const startedAt = performance.now();
  void cells.guaranteedCells;
  const planMs = performance.now() - startedAt;
  const placement: Record<string, DecisionTime> = {};
  for (const tasks of GANG_TASK_COUNTS) {
    const job = createWaitingJob('job', 'w0', {tasks, accelerators: 1});
    if (hasPlace(cells, job)) {
      placement[tasks] = measureDecision(() =>
        policy.decide(cells, [job], NOW_MS),
      );
    }
  }
  const reclaim = measureReclaim(size);
  const queue = createQueue(size.workspaces);
  const passTime = measureDecision(() => policy.decide(cells, queue, NOW_MS));
  const queuePass = {...passTime, queued: queue.length};
  return {...size, heapMb, planMs, placement, reclaim, queuePass};
}

/** Measures a reclaim in a domain where every accelerator is borrowed. */
function measureReclaim(size: DecideSize): DecisionTime {
  const cells = createFilledCells(size);
  for (const target of cells.targets.values()) {
    const job = createWaitingJob(`full/${target.id}`, 'w1', {
      tasks: 1,
      accelerators: 8,
    });
    if (target.freeAccelerators === 8) {
      const accelerators = target.free.accelerators;
      cells.addGang({
        ...job,
        assignments: [
          {target: target.id, firstTask: 0, tasks: 1, accelerators},
        ],
        guaranteed: false,
        startedAt: 0,
        savedAt: 0,
        stopping: false,
      });
    }
  }
  const job = createWaitingJob('job', 'w0', {
    accelerators: 8,
    adjacency: 'target',
  });
  return measureDecision(() => policy.decide(cells, [job], NOW_MS));
}

function createQueue(workspaces: number): WaitingJob[] {
  return Array.from({length: QUEUED_JOBS}, (_, i) =>
    createWaitingJob(`q${i}`, `w${i % workspaces}`, {
      tasks: 1 + (i % 16),
      accelerators: 1 + (i % 3),
      adjacency: i % 2 === 0 ? 'rack' : 'domain',
    }),
  );
}

function measureDecision(
  decide: () => ReturnType<GuaranteePolicy['decide']>,
): DecisionTime {
  const timesMs: number[] = [];
  let decided = 0;
  for (let i = 0; i < REPETITIONS; i++) {
    const startedAt = performance.now();
    const {placements, reclaims} = decide();
    timesMs.push(performance.now() - startedAt);
    const victims = reclaims.flatMap(reclaim => reclaim.victims);
    decided = placements.length + victims.length;
  }
  timesMs.sort((a, b) => a - b);
  const median = timesMs[Math.floor(REPETITIONS / 2)]!;
  return {median, p99: timesMs[REPETITIONS - 1]!, decided};
}

function formatFigures(figures: DecideFigures): string {
  const {targets, workspaces, tasks, heapMb, planMs} = figures;
  const line = (name: string, {median, p99, decided}: DecisionTime) =>
    `  ${name.padEnd(24)} median ${median.toFixed(3)} ms, p99 ${p99.toFixed(3)} ms, decided ${decided}`;
  return [
    `${targets} targets, ${workspaces} workspaces, ${tasks} tasks: ${heapMb.toFixed(1)} MiB, assignment of guaranteed cells ${planMs.toFixed(1)} ms`,
    ...Object.entries(figures.placement).map(([count, time]) =>
      line(`gang of ${count}`, time),
    ),
    line('reclaim of a target', figures.reclaim),
    line(`pass over ${figures.queuePass.queued}`, figures.queuePass),
  ].join('\n');
}
