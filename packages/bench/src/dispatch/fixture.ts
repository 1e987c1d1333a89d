/** Creates loaded clusters and jobs with many units for `bench dispatch`. */
import {
  DEFAULT_SETTINGS,
  DurationEstimator,
  type ActiveJob,
  type SchedulingSnapshot,
  TargetState,
  createAllocation,
  createActiveJob,
} from '@galenavalve/dispatch';
import {
  type JobSpec,
  type Progress,
  MAX_STEP_TASKS,
  type Step,
  createOccurrence,
} from '@galenavalve/workload';

/** Cluster size of one measurement. */
export interface DispatchSize {
  targets: number;
  workspaces: number;
  /** Number of waiting jobs. */
  waiting: number;
}

/** Targets of a rack at the size to which the clusters of the users grow. */
const TARGETS_PER_RACK = 20;
/** Failure domains at that size. */
const DOMAIN_COUNT = 7;

/** Share of all accelerators that is guaranteed, divided equally among the workspaces. */
const GUARANTEED_ACCELERATOR_SHARE = 0.5;

/** Every tenth target is half free. */
const HALF_FREE_INTERVAL = 10;

/** Creates a snapshot in which nearly all targets are full with low-priority work and jobs of all priorities wait. */
export function createLoadedSnapshot(
  {targets, workspaces, waiting}: DispatchSize,
  now: number,
): SchedulingSnapshot {
  const targetStates = Array.from({length: targets}, (_, index) =>
    createTargetState(index, now),
  );
  const running = targetStates.map((targetState, index) =>
    fillTarget(targetState, index, now),
  );
  const queue = Array.from({length: waiting}, (_, index) =>
    createJob(`w${index}`, index % 3, `w${index % workspaces}`, {
      count: 1 + (index % 16),
      isGang: index % 3 < 2,
      isRackSensitive: index % 3 < 2 && index % 5 < 3,
      demand: {
        cpu: 4000,
        memoryMb: 8000,
        accelerators: index % 3 < 2 ? [1, 2, 4, 8][index % 4]! : 1,
      },
    }),
  );
  const guaranteedAccelerators = Math.floor(
    (targets * 8 * GUARANTEED_ACCELERATOR_SHARE) / workspaces,
  );
  return {
    jobs: [...running, ...queue],
    targets: targetStates,
    estimator: new DurationEstimator(),
    guarantees: new Map(
      Array.from({length: workspaces}, (_, index) => [
        `w${index}`,
        guaranteedAccelerators,
      ]),
    ),
    evacuated: new Set(),
    settings: DEFAULT_SETTINGS,
    areTargetsListed: true,
    findAllowedTargets: () => undefined,
  };
}

/** Creates a job of single tasks, in steps that are as wide as they may be. */
export function createWideSpec(units: number): JobSpec {
  const steps: Step[] = [];
  for (let left = units; left > 0; left -= MAX_STEP_TASKS) {
    steps.push(createStep({count: Math.min(left, MAX_STEP_TASKS)}));
  }
  return {payload: '', steps};
}

/** Creates the progress of a job whose single tasks all run, each with a checkpoint. */
export function createWideProgress(units: number): Progress {
  const occurrence = createOccurrence(createWideSpec(units), 0);
  for (const [index, unit] of occurrence.steps.flat().entries()) {
    unit.run = 2;
    unit.checkpoint = '00000bb87a21d94b';
    const target = (index % 1000).toString(16).padStart(10, '0');
    unit.placedOn = [
      {incarnation: `i-${target}@1783141169063`, address: `target-${target}`},
    ];
  }
  return {
    outcome: 'active',
    hasBegun: true,
    doneOccurrences: 0,
    occurrences: [occurrence],
  };
}

function createTargetState(index: number, now: number): TargetState {
  const rack = Math.floor(index / TARGETS_PER_RACK);
  const targetState = new TargetState(
    {
      id: `t${index}`,
      born: 1,
      address: `t${index}`,
      pool: 'p',
      domain: `d${rack % DOMAIN_COUNT}`,
      rack: `r${rack}`,
      labels: [],
      capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
      isDraining: false,
    },
    0,
  );
  targetState.hasListing = true;
  targetState.lastResponseAt = now;
  return targetState;
}

/** Allocates a gang that fills the target, or half of it. */
function fillTarget(
  targetState: TargetState,
  index: number,
  now: number,
): ActiveJob {
  const taskCount = index % HALF_FREE_INTERVAL === 0 ? 4 : 8;
  const job = createJob(`r${index}`, 2, 'w0', {count: taskCount, isGang: true});
  const unit = job.units[0]!;
  unit.phase = 'running';
  unit.placedAt = now - 5000;
  unit.progress.run = 1;
  for (let member = 0; member < taskCount; member++) {
    const allocation = createAllocation(
      {
        task: `${job.id}.0.0.${member}`,
        run: 1,
        demand: unit.step.demand,
        target: targetState,
        unit,
        memberIndex: member,
        state: 'confirmed',
        epoch: 1,
      },
      now - 5000,
    );
    unit.allocations.push(allocation);
    targetState.allocate(allocation);
  }
  return job;
}

function createJob(
  id: string,
  priority: number,
  workspace: string,
  values: Partial<Step>,
): ActiveJob {
  const job = {
    queue: `q${priority}`,
    workspace,
    acceptedAt: 0,
    terms: {pool: 'p', priority, maxAttempts: 3, stretch: 3, latencyMs: 1000},
    spec: {payload: '', steps: [createStep(values)]},
  };
  return createActiveJob(
    {id, job, isCancelled: false, isKnownComplete: false},
    100_000,
    100_000,
  );
}

function createStep(values: Partial<Step>): Step {
  return {
    count: 1,
    demand: {cpu: 4000, memoryMb: 8000, accelerators: 1},
    estimateMs: 3_600_000,
    dependsOn: [],
    isGang: false,
    isRackSensitive: false,
    savesProgress: false,
    isLongRunning: false,
    usesIdleCpu: false,
    maxUnavailable: 0,
    ...values,
  };
}
