/** Seeded streams of jobs. */
import {
  SeededRandom,
  type Milliseconds,
  nextInteger,
} from '@galenavalve/shared';
import type {JobSpec, Step} from '@galenavalve/workload';
import type {StreamPattern} from './stream_pattern.js';
import type {JobKind, WorkloadProfile} from './workload_profile.js';

/** A job of a stream, with what the scheduler does not know in advance. */
export interface StreamJob {
  id: string;
  kind: JobKind;
  workspace: string;
  /** Failure domain of the caller. */
  domain: number;
  submittedAt: Milliseconds;
  cancelledAt?: Milliseconds;
  spec: JobSpec;
  /** Work of each task by step, in milliseconds on an unimpaired target. */
  work: Milliseconds[][];
  /** Number of runs of each task that fail, by step. */
  failures: number[][];
  isHopeless: boolean;
}

/** Length of a stream; callers submit until then. */
export const STREAM_LENGTH_MS: Milliseconds = 34_000;

/** Rate of submissions is evaluated anew after each of these intervals. */
const SUBMISSION_STEP_MS: Milliseconds = 20;

/** Creates the jobs of a stream in the order of submission. */
export function createJobStream(
  profile: WorkloadProfile,
  pattern: StreamPattern,
  seed: number,
): StreamJob[] {
  const random = new SeededRandom(seed);
  const jobs: StreamJob[] = [];
  for (let at = 0; at < STREAM_LENGTH_MS; at += SUBMISSION_STEP_MS) {
    for (const kind of profile.kinds) {
      const burst = pattern.bursts.find(
        other =>
          other.kind === kind.name && at >= other.from && at < other.until,
      );
      const rate = kind.perSecond * pattern.load * (burst?.factor ?? 1);
      if (random.next() < (rate * SUBMISSION_STEP_MS) / 1000) {
        const id = (jobs.length + 1).toString(16).padStart(16, '0');
        jobs.push(createJob(profile, pattern, kind, id, at, random));
      }
    }
  }
  return jobs;
}

/** Returns the longest chain of dependent work of a job, in milliseconds. */
export function computeChain({work}: StreamJob): Milliseconds {
  return work.reduce((sum, tasks) => sum + Math.max(...tasks), 0);
}

/** Returns the work of a job in core-milliseconds, in which an accelerator counts as `coresPerAccelerator`. */
export function computeJobWork(
  {spec, work}: StreamJob,
  coresPerAccelerator: number,
): number {
  return spec.steps.reduce((sum, step, index) => {
    const cores = countCores(step, coresPerAccelerator);
    const tasks = work[index]!;
    const total = step.isGang
      ? Math.max(...tasks) * tasks.length
      : tasks.reduce((a, b) => a + b, 0);
    return sum + cores * total;
  }, 0);
}

/** Returns the cores that one task of a step takes. */
export function countCores(
  {demand}: Pick<Step, 'demand'>,
  coresPerAccelerator: number,
): number {
  return demand.cpu / 1000 + demand.accelerators * coresPerAccelerator;
}

function createJob(
  profile: WorkloadProfile,
  pattern: StreamPattern,
  kind: JobKind,
  id: string,
  submittedAt: Milliseconds,
  random: SeededRandom,
): StreamJob {
  const stepCount = random.next() < kind.secondStepShare ? 2 : 1;
  const work: Milliseconds[][] = [];
  const failures: number[][] = [];
  const steps: Step[] = [];
  const isHopeless = random.next() < kind.hopelessShare;
  for (let index = 0; index < stepCount; index++) {
    const step = createStep(profile, kind, index, random);
    const mean = drawWork(kind, random);
    steps.push({
      ...step,
      estimateMs: Math.round(mean * (1 + spread(kind.estimateError, random))),
    });
    const count = step.count;
    work.push(
      Array.from(
        {length: count},
        () => mean * (1 + spread(kind.unevenness / 2, random)),
      ),
    );
    failures.push(
      Array.from({length: count}, () =>
        isHopeless
          ? kind.maxAttempts
          : random.next() < kind.failureShare
            ? 1
            : 0,
      ),
    );
  }
  const cancelShare = Math.max(kind.cancelShare, pattern.cancelShare ?? 0);
  const isCancelled = random.next() < cancelShare;
  const cancelDelay = 1000 + nextInteger(random, 3000);
  return {
    id,
    kind,
    workspace: `workspace-${nextInteger(random, profile.workspaces)}`,
    domain: nextInteger(random, profile.domains),
    submittedAt,
    cancelledAt: isCancelled ? submittedAt + cancelDelay : undefined,
    spec: {payload: kind.name, steps},
    work,
    failures,
    isHopeless,
  };
}

function createStep(
  profile: WorkloadProfile,
  kind: JobKind,
  index: number,
  random: SeededRandom,
): Step {
  const accelerators =
    kind.accelerators[nextInteger(random, kind.accelerators.length)]!;
  const demand = {cpu: kind.cpu, memoryMb: kind.memoryMb, accelerators};
  // Half of the mean or more, with a tail of wide steps.
  const width = kind.tasks.mean * (0.5 - 0.5 * Math.log(1 - random.next()));
  const isRackSensitive =
    kind.isGang && random.next() < kind.rackSensitiveShare;
  const limit = isRackSensitive
    ? countRackMembers(profile, demand)
    : kind.tasks.max;
  return {
    count: Math.max(1, Math.min(Math.round(width), kind.tasks.max, limit)),
    demand,
    estimateMs: 0,
    dependsOn: index === 0 ? [] : [index - 1],
    isGang: kind.isGang,
    isRackSensitive,
    savesProgress: random.next() < kind.savesShare,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
  };
}

/** Returns how many tasks fit one empty rack. */
function countRackMembers(
  {target, targetsPerRack}: WorkloadProfile,
  demand: Step['demand'],
): number {
  const perTarget = Math.min(
    Math.floor(target.cpu / demand.cpu),
    Math.floor(target.memoryMb / demand.memoryMb),
    Math.floor(target.accelerators / demand.accelerators),
  );
  return perTarget * targetsPerRack;
}

function drawWork({workMs}: JobKind, random: SeededRandom): Milliseconds {
  // The sum of three uniform numbers approximates a normal distribution.
  const normal = random.next() + random.next() + random.next() - 1.5;
  const work = workMs.mean * (1 + 2 * workMs.spread * normal);
  return Math.min(workMs.max, Math.max(workMs.mean / 4, work));
}

/** Returns a number between -`size` and `size`. */
function spread(size: number, random: SeededRandom): number {
  return (random.next() * 2 - 1) * size;
}
