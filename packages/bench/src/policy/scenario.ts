/** Generates a seeded workload stream for each scenario. */
import type {GangShape} from '@galenavalve/model';
import {type Random, SeededRandom, nextInteger} from '@galenavalve/shared';
import {
  type Deployment,
  type JobKind,
  TOTAL_ACCELERATORS,
} from './deployment.js';

/** Names of the benchmark scenarios. */
export const SCENARIO_NAMES = [
  'steady',
  'small-burst',
  'large-burst',
  'wrong-runtimes',
  'domain-out-and-back',
  'bad-targets',
] as const;
/** Name of a benchmark scenario. */
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** Job of a workload stream. */
export interface StreamJob {
  id: string;
  workspace: string;
  kind: string;
  gang: GangShape;
  checkpointable: boolean;
  /** Seconds since the start of the stream. */
  arrivalSeconds: number;
  /** Actual run time, in seconds. */
  runSeconds: number;
  /** Run time that the caller declares, in seconds. */
  declaredSeconds: number;
}

/** Workload stream with the failures that its scenario injects. */
export interface Scenario {
  name: ScenarioName;
  jobs: StreamJob[];
  /** Interval in which domain d2 is out of service, in seconds since the start of the stream. */
  domainOut?: {from: number; to: number};
  /** Targets that fail every task, and the interval in seconds since the start of the stream. */
  badTargets?: {ids: string[]; from: number; to: number};
}

/** Length of the period in which jobs arrive, in seconds. */
export const STREAM_SECONDS = 6 * 3600;

const BURST_INTERVAL_SECONDS = 3600;
/** Work of one burst as a share of the accelerator time of one hour. */
const BURST_SHARE = 0.35;
/** Standard deviation of the natural logarithm of run times. */
const RUN_TIME_SIGMA = 0.6;
/** The same of the ratio of declared to actual run time. */
const DECLARED_SIGMA = 0.25;
/** The same in the scenario wrong-runtimes. */
const WRONG_DECLARED_SIGMA = 0.9;
const PROCESSORS_PER_ACCELERATOR = 2;
const MEMORY_PER_ACCELERATOR_MB = 4096;

/** Offered work divided by capacity, without bursts. */
const OFFERED_LOADS: Readonly<Record<ScenarioName, number>> = {
  steady: 0.95,
  'small-burst': 0.7,
  'large-burst': 0.7,
  'wrong-runtimes': 0.95,
  'domain-out-and-back': 0.75,
  'bad-targets': 0.85,
};

/** Median ratio of declared to actual run time by kind of job in the scenario wrong-runtimes. */
const DECLARED_TIME_FACTORS = [0.3, 2.5, 0.6];

/** Creates the workload stream and the injected failures of one scenario; the same seed gives the same stream. */
export function createScenario(
  deployment: Deployment,
  name: ScenarioName,
  seed: number,
): Scenario {
  const random = new SeededRandom(seed);
  const jobs: StreamJob[] = [];
  deployment.kinds.forEach((kind, index) => {
    const work = OFFERED_LOADS[name] * TOTAL_ACCELERATORS * STREAM_SECONDS;
    const count = countJobs(kind, work * kind.workShare);
    for (let i = 0; i < count; i++) {
      const arrivalSeconds = random.next() * STREAM_SECONDS;
      jobs.push(createJob(kind, index, arrivalSeconds, name, random));
    }
  });
  jobs.push(...createBursts(deployment, name, random));
  jobs.sort((a, b) => a.arrivalSeconds - b.arrivalSeconds);
  jobs.forEach((job, i) => {
    job.id = `j${i}`;
  });
  return {name, jobs, ...createDisturbances(name)};
}

function createBursts(
  {kinds}: Deployment,
  name: ScenarioName,
  random: Random,
): StreamJob[] {
  const index = name === 'small-burst' ? 0 : kinds.length - 1;
  if (name !== 'small-burst' && name !== 'large-burst') {
    return [];
  }
  const jobs: StreamJob[] = [];
  const work = BURST_SHARE * TOTAL_ACCELERATORS * BURST_INTERVAL_SECONDS;
  const start = BURST_INTERVAL_SECONDS / 2;
  for (let at = start; at < STREAM_SECONDS; at += BURST_INTERVAL_SECONDS) {
    const kind = kinds[index]!;
    for (let i = 0; i < countJobs(kind, work); i++) {
      jobs.push(createJob(kind, index, at + random.next() * 30, name, random));
    }
  }
  return jobs;
}

function countJobs(kind: JobKind, work: number): number {
  const meanTasks =
    kind.tasks.reduce((sum, n) => sum + n, 0) / kind.tasks.length;
  const meanSeconds = kind.medianSeconds * Math.exp(RUN_TIME_SIGMA ** 2 / 2);
  return Math.round(
    work / (meanTasks * kind.acceleratorsPerTask * meanSeconds),
  );
}

function createJob(
  kind: JobKind,
  kindIndex: number,
  arrivalSeconds: number,
  scenario: ScenarioName,
  random: Random,
): StreamJob {
  const runSeconds = drawLognormal(kind.medianSeconds, RUN_TIME_SIGMA, random);
  const isWrong = scenario === 'wrong-runtimes';
  const factor = isWrong ? DECLARED_TIME_FACTORS[kindIndex]! : 1;
  const sigma = isWrong ? WRONG_DECLARED_SIGMA : DECLARED_SIGMA;
  const accelerators = kind.acceleratorsPerTask;
  return {
    id: '',
    workspace: chooseWorkspace(kind, random),
    kind: kind.name,
    gang: {
      tasks: kind.tasks[nextInteger(random, kind.tasks.length)]!,
      perTask: {
        accelerators,
        processors: accelerators * PROCESSORS_PER_ACCELERATOR,
        memoryMb: accelerators * MEMORY_PER_ACCELERATOR_MB,
      },
      adjacency: kind.adjacency,
    },
    checkpointable: kind.checkpointable,
    arrivalSeconds,
    runSeconds,
    declaredSeconds: drawLognormal(runSeconds * factor, sigma, random),
  };
}

function chooseWorkspace({workspaces}: JobKind, random: Random): string {
  let remainingShare = random.next();
  const entries = Object.entries(workspaces);
  for (const [workspace, share] of entries) {
    remainingShare -= share;
    if (remainingShare < 0) {
      return workspace;
    }
  }
  return entries[entries.length - 1]![0];
}

function drawLognormal(median: number, sigma: number, random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(sigma * normal);
}

function createDisturbances(
  name: ScenarioName,
): Pick<Scenario, 'domainOut' | 'badTargets'> {
  const from = STREAM_SECONDS / 3;
  const to = (STREAM_SECONDS * 2) / 3;
  if (name === 'domain-out-and-back') {
    return {domainOut: {from, to}};
  }
  if (name === 'bad-targets') {
    return {badTargets: {ids: ['d1-t3', 'd2-t5'], from, to}};
  }
  return {};
}
