/** Fixtures of the dispatcher's specs. */
import {
  DEFAULT_SETTINGS,
  DurationEstimator,
  type ActiveJob,
  type SchedulingSnapshot,
  TargetState,
  type ActiveUnit,
  createAllocation,
  createActiveJob,
} from '@galenavalve/dispatch';
import type {Step} from '@galenavalve/workload';

/** Creates a gang step with default values. */
export function createStep(values: Partial<Step> = {}): Step {
  return {
    count: 2,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 4},
    estimateMs: 4000,
    dependsOn: [],
    isGang: true,
    isRackSensitive: false,
    savesProgress: false,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
    ...values,
  };
}

/** Creates a waiting job with a single step. */
export function createJob(
  id: string,
  step: Step,
  values: {priority?: number; acceptedAt?: number; now?: number} = {},
): ActiveJob {
  const {priority = 1, acceptedAt = 0, now = acceptedAt} = values;
  const job = {
    queue: `queue-${priority}`,
    workspace: 'w',
    acceptedAt,
    terms: {
      pool: 'p',
      priority,
      maxAttempts: 3,
      stretch: priority === 0 ? 1.5 : 3,
      latencyMs: 250,
    },
    spec: {payload: '', steps: [step]},
  };
  return createActiveJob(
    {id, job, isCancelled: false, isKnownComplete: false},
    now,
    now,
  );
}

/** Creates a schedulable target with eight free accelerators. */
export function createTarget(
  id: string,
  rack: string,
  now: number,
): TargetState {
  const target = new TargetState(
    {
      id,
      born: 1,
      address: 'a:1',
      pool: 'p',
      domain: 'd',
      rack,
      labels: [rack],
      capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
      isDraining: false,
    },
    0,
  );
  target.hasListing = true;
  target.lastResponseAt = now;
  return target;
}

/** Creates `count` schedulable targets in racks `r0`, `r1`, and so on, of `perRack` targets each. */
export function createTargets(
  count: number,
  perRack: number,
  now: number,
): TargetState[] {
  return Array.from({length: count}, (_, index) =>
    createTarget(`t${index}`, `r${Math.floor(index / perRack)}`, now),
  );
}

/** Adds a confirmed run of `unit` on `target` that started at `startedAt`. */
export function addRun(
  unit: ActiveUnit,
  target: TargetState,
  startedAt: number,
): void {
  unit.phase = 'running';
  unit.placedAt = startedAt;
  unit.runningSince = startedAt;
  unit.progress.run = 1;
  const allocation = createAllocation(
    {
      task: `${unit.job.id}.0.0.${unit.allocations.length}`,
      run: 1,
      demand: unit.step.demand,
      target,
      unit,
      memberIndex: unit.allocations.length,
      state: 'confirmed',
      epoch: 1,
    },
    startedAt,
  );
  // Of no effect unless the unit is a suspect.
  allocation.isIsolated = true;
  unit.allocations.push(allocation);
  target.allocate(allocation);
}

/** Creates the input of a scheduling pass. */
export function createSnapshot(
  jobs: ActiveJob[],
  targets: TargetState[],
  values: Partial<SchedulingSnapshot> = {},
): SchedulingSnapshot {
  return {
    jobs,
    targets,
    estimator: new DurationEstimator(),
    guarantees: new Map([['w', 64]]),
    evacuated: new Set(),
    settings: DEFAULT_SETTINGS,
    areTargetsListed: true,
    findAllowedTargets: () => undefined,
    ...values,
  };
}
