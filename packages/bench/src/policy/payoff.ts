/** Values jobs by the time at which their callers learn of the end. */
import type {Milliseconds} from '@galenavalve/shared';
import {
  type StreamJob,
  STREAM_LENGTH_MS,
  computeChain,
  computeJobWork,
} from './job_stream.js';
import {
  CORES_PER_ACCELERATOR,
  type JobResult,
  type StreamResult,
} from './stream_run.js';
import type {WorkloadProfile} from './workload_profile.js';

/** Multiple of its objective up to which a late job is of use. */
const USEFUL_LATENESS_FACTOR = 3;

/** Fixed share of a job's value, and the highest multiple of its kind's value; the rest follows its work. */
const FIXED_VALUE_SHARE = 0.3;
const MAX_VALUE_FACTOR = 4;

/** Value of a core-second of lost work. */
const LOST_WORK_VALUE = 0.0018;

/** Length of the windows of submission time that are valued on their own. */
const WINDOW_MS: Milliseconds = 2000;

/** Weights of the parts of the payoff. */
const WEIGHTS = {
  whole: 0.56,
  windows: 0.12,
  kind: 0.12,
  domain: 0.2,
  workspace: 0.16,
};

/** Payoff of one stream. Shares are earned value by owed value, from 0 to 1. */
export interface Payoff {
  /** Weighted sum of the shares less the price of lost work. */
  total: number;
  whole: number;
  /** Mean of the two worst windows, and the worst kind, failure domain and workspace. */
  worstWindows: number;
  worstKind: number;
  worstDomain: number;
  worstWorkspace: number;
  lostWorkPrice: number;
  refused: number;
  late: number;
  failed: number;
}

/** Values the result of a stream. */
export function computePayoff(
  {jobs, lostWork}: StreamResult,
  profile: WorkloadProfile,
): Payoff {
  const value = createValuation(
    jobs.map(({job}) => job),
    profile,
  );
  const owed = jobs.filter(({state}) => state !== 'cancelled');
  const share = (items: readonly JobResult[]) => {
    const total = items.reduce((sum, {job}) => sum + value(job), 0);
    const earned = items.reduce(
      (sum, item) => sum + value(item.job) * computeEarnedShare(item),
      0,
    );
    return total === 0 ? 1 : earned / total;
  };
  const shares = (key: (item: JobResult) => string | number) =>
    [...groupBy(owed, key).values()].map(share).sort((a, b) => a - b);
  const whole = share(owed);
  const windows = shares(({job}) => Math.floor(job.submittedAt / WINDOW_MS));
  const worstWindows = ((windows[0] ?? 1) + (windows[1] ?? 1)) / 2;
  const worstKind = shares(({job}) => job.kind.name)[0] ?? 1;
  const worstDomain = shares(({job}) => job.domain)[0] ?? 1;
  const worstWorkspace = shares(({job}) => job.workspace)[0] ?? 1;
  const lost = [...lostWork.values()].reduce((a, b) => a + b, 0);
  const totalOwed = owed.reduce((sum, {job}) => sum + value(job), 0);
  const lostWorkPrice = (lost * LOST_WORK_VALUE) / Math.max(1, totalOwed);
  const total =
    WEIGHTS.whole * whole +
    WEIGHTS.windows * worstWindows +
    WEIGHTS.kind * worstKind +
    WEIGHTS.domain * worstDomain +
    WEIGHTS.workspace * worstWorkspace -
    lostWorkPrice;
  const count = (test: (item: JobResult) => boolean) =>
    owed.filter(test).length;
  return {
    total,
    whole,
    worstWindows,
    worstKind,
    worstDomain,
    worstWorkspace,
    lostWorkPrice,
    refused: count(({state}) => state === 'refused'),
    late: count(item => {
      const earned = computeEarnedShare(item);
      return item.state === 'complete' && earned < 1;
    }),
    failed: count(({state, job}) => state === 'failed' && !job.isHopeless),
  };
}

/** Returns the time after its first submission within which a job is on time. */
export function computeObjective(job: StreamJob): Milliseconds {
  return job.kind.stretch * computeChain(job) + job.kind.latencyMs;
}

/** Returns a function that computes the value of a job that ends on time: it grows with the work relative to the mean of its kind. */
export function createValuation(
  jobs: readonly StreamJob[],
  profile: WorkloadProfile,
): (job: StreamJob) => number {
  const meanWork = new Map(
    profile.kinds.map(kind => {
      const works = jobs
        .filter(job => job.kind === kind)
        .map(job => computeJobWork(job, CORES_PER_ACCELERATOR));
      const sum = works.reduce((a, b) => a + b, 0);
      return [kind, sum / Math.max(1, works.length)];
    }),
  );
  return job => {
    const relative =
      computeJobWork(job, CORES_PER_ACCELERATOR) / meanWork.get(job.kind)!;
    const factor = Math.min(
      MAX_VALUE_FACTOR,
      FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relative,
    );
    return job.kind.value * factor;
  };
}

/** Returns the share of its value that a job earns. */
function computeEarnedShare({job, state, endedAt}: JobResult): number {
  const isEarned = job.isHopeless ? state === 'failed' : state === 'complete';
  if (!isEarned || endedAt === undefined) {
    return 0;
  }
  const duration = endedAt - job.submittedAt;
  const objective = computeObjective(job);
  if (duration <= objective) {
    return 1;
  }
  return duration <= objective * USEFUL_LATENESS_FACTOR
    ? job.kind.lateValue / job.kind.value
    : 0;
}

/**
 * Returns an upper bound of the share of the owed value that any schedule earns.
 * It relaxes the problem: capacity is one divisible pool of accelerators and
 * cores, jobs may run at any speed up to their chain, and estimates are exact.
 * Jobs that cannot all end on time in that pool are dropped by value per work.
 */
export function computeCeiling(
  jobs: readonly StreamJob[],
  profile: WorkloadProfile,
): number {
  const value = createValuation(jobs, profile);
  const owed = jobs.filter(({cancelledAt}) => cancelledAt === undefined);
  const total = owed.reduce((sum, job) => sum + value(job), 0);
  const lastEnd = Math.max(
    STREAM_LENGTH_MS,
    ...owed.map(job => job.submittedAt + computeObjective(job)),
  );
  const capacity = profile.targets * profile.target.accelerators * lastEnd;
  const byDensity = owed
    .map(job => ({job, need: computeAcceleratorTime(job)}))
    .sort((a, b) => value(b.job) / b.need - value(a.job) / a.need);
  let used = 0;
  let earned = 0;
  for (const {job, need} of byDensity) {
    const share = Math.min(1, Math.max(0, (capacity - used) / need));
    const late = job.kind.lateValue / job.kind.value;
    earned += value(job) * (share + (1 - share) * late);
    used += need;
  }
  return total === 0 ? 1 : earned / total;
}

function computeAcceleratorTime({spec, work}: StreamJob): number {
  return spec.steps.reduce((sum, step, index) => {
    const tasks = work[index]!.reduce((a, b) => a + b, 0);
    return sum + Math.max(1, step.demand.accelerators) * tasks;
  }, 0);
}

function groupBy<Item, Key>(
  items: readonly Item[],
  key: (item: Item) => Key,
): Map<Key, Item[]> {
  const groups = new Map<Key, Item[]>();
  for (const item of items) {
    const group = groups.get(key(item));
    if (group) {
      group.push(item);
    } else {
      groups.set(key(item), [item]);
    }
  }
  return groups;
}
