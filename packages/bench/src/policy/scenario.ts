/** Seeded streams of jobs for each scenario. */
import type {GangShape} from '@galenavalve/model';
import {type Random, SeededRandom, nextInteger} from '@galenavalve/shared';
import {
  type Deployment,
  type JobKind,
  TOTAL_ACCELERATORS,
} from './deployment.js';

/** The scenarios of the benchmark. */
export const SCENARIO_NAMES = [
  'steady',
  'small-burst',
  'large-burst',
  'wrong-runtimes',
  'domain-out-and-back',
  'bad-targets',
] as const;
export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** A job of a stream. */
export interface StreamJob {
  id: string;
  workspace: string;
  kind: string;
  gang: GangShape;
  checkpointable: boolean;
  /** Seconds since the start of the stream. */
  arrivalSeconds: number;
  /** True run time, in seconds. */
  runSeconds: number;
  /** The caller's estimate, in seconds. */
  declaredSeconds: number;
}

/** A stream and the disturbances of its scenario. */
export interface Scenario {
  name: ScenarioName;
  jobs: StreamJob[];
  /** Seconds between which domain d2 is out of service. */
  domainOut?: {from: number; to: number};
  /** Targets that fail every task between these seconds. */
  badTargets?: {ids: string[]; from: number; to: number};
}

/** Length of the arrivals, in seconds. */
export const STREAM_SECONDS = 6 * 3600;

const BURST_EVERY_SECONDS = 3600;
/** Share of each burst's work in the work of an hour. */
const BURST_SHARE = 0.35;
const RUN_TIME_SIGMA = 0.6;
const DECLARED_SIGMA = 0.25;
const WRONG_SIGMA = 0.9;
const PROCESSORS_PER_ACCELERATOR = 2;
const MEMORY_PER_ACCELERATOR_MB = 4096;

/** Offered work over capacity, without bursts. */
const loads: Readonly<Record<ScenarioName, number>> = {
  steady: 0.95,
  'small-burst': 0.7,
  'large-burst': 0.7,
  'wrong-runtimes': 0.95,
  'domain-out-and-back': 0.75,
  'bad-targets': 0.85,
};

/** How far the declared run times of each kind are off in wrong-runtimes. */
const wrongFactors = [0.3, 2.5, 0.6];

/** Creates the stream of one scenario. */
export function createScenario(
  deployment: Deployment,
  name: ScenarioName,
  seed: number,
): Scenario {
  const random = new SeededRandom(seed);
  const jobs: StreamJob[] = [];
  deployment.kinds.forEach((kind, index) => {
    const work = loads[name] * TOTAL_ACCELERATORS * STREAM_SECONDS;
    const count = countJobs(kind, work * kind.workShare);
    for (let i = 0; i < count; i++) {
      const arrival = random.next() * STREAM_SECONDS;
      jobs.push(createJob(kind, index, arrival, name, random));
    }
  });
  jobs.push(...createBursts(deployment, name, random));
  jobs.sort((a, b) => a.arrivalSeconds - b.arrivalSeconds);
  jobs.forEach((job, i) => {
    job.id = `j${i}`;
  });
  return {name, jobs, ...disturbancesOf(name)};
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
  const work = BURST_SHARE * TOTAL_ACCELERATORS * BURST_EVERY_SECONDS;
  const start = BURST_EVERY_SECONDS / 2;
  for (let at = start; at < STREAM_SECONDS; at += BURST_EVERY_SECONDS) {
    const kind = kinds[index]!;
    for (let i = 0; i < countJobs(kind, work); i++) {
      jobs.push(createJob(kind, index, at + random.next() * 30, name, random));
    }
  }
  return jobs;
}

function countJobs(kind: JobKind, work: number): number {
  const tasks = kind.tasks.reduce((sum, n) => sum + n, 0) / kind.tasks.length;
  const seconds = kind.medianSeconds * Math.exp(RUN_TIME_SIGMA ** 2 / 2);
  return Math.round(work / (tasks * kind.acceleratorsPerTask * seconds));
}

function createJob(
  kind: JobKind,
  kindIndex: number,
  arrival: number,
  scenario: ScenarioName,
  random: Random,
): StreamJob {
  const seconds = lognormal(kind.medianSeconds, RUN_TIME_SIGMA, random);
  const isWrong = scenario === 'wrong-runtimes';
  const factor = isWrong ? wrongFactors[kindIndex]! : 1;
  const sigma = isWrong ? WRONG_SIGMA : DECLARED_SIGMA;
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
    arrivalSeconds: arrival,
    runSeconds: seconds,
    declaredSeconds: lognormal(seconds * factor, sigma, random),
  };
}

function chooseWorkspace({workspaces}: JobKind, random: Random): string {
  let rest = random.next();
  const entries = Object.entries(workspaces);
  for (const [workspace, share] of entries) {
    rest -= share;
    if (rest < 0) {
      return workspace;
    }
  }
  return entries[entries.length - 1]![0];
}

function lognormal(median: number, sigma: number, random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(sigma * normal);
}

function disturbancesOf(
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
