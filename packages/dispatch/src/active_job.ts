/**
 * State that the leader keeps of jobs that have not ended: their units, and the
 * allocations of those on targets.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type Demand,
  type Progress,
  type Step,
  type UnitProgress,
  isStepReady,
} from '@galenavalve/workload';
import type {Obstacle} from './obstacle.js';
import type {TargetState} from './target_state.js';

/** A job that has not ended, as the leader tracks it. */
export interface ActiveJob {
  id: string;
  accepted: AcceptedJob;
  /**
   * Acceptance time on this instance's clock: the time at which the job was
   * first seen minus its age at that time.
   */
  acceptedAt: Instant;
  /**
   * Latest time at which the acceptance was acknowledged to the caller: when
   * this leader was told of it, or the acceptance time if that was before the
   * takeover.
   */
  acknowledgedAt: Instant;
  /** Progress as it is written to the log. */
  progress: Progress;
  /** Number of records into which the progress in the log is split; 0 if it is one record. */
  recordedParts: number;
  isCancelled: boolean;
  /** Whether a task has used up its attempts. */
  hasFailed: boolean;
  /** Targets on which tasks of the job have failed. */
  failedTargets: Set<TargetState>;
  units: ActiveUnit[];
}

/** Phase of a unit. */
export type UnitPhase =
  /** No run of the unit can be alive. */
  | 'waiting'
  /** The placement is being written to the log. */
  | 'recording'
  /** Start commands are being sent. */
  | 'starting'
  | 'running'
  /** Stop commands are being sent; the allocations are not released yet. */
  | 'stopping';

/**
 * The tasks of a step that are placed together: all members of a gang, or a
 * single task.
 */
export interface ActiveUnit {
  job: ActiveJob;
  /** Index of the occurrence of a scheduled job; 0 for other jobs. */
  occurrence: number;
  stepIndex: number;
  /** Index among the units of the step; always 0 for a gang. */
  unitIndex: number;
  step: Step;
  /** The unit's part of the progress that is written to the log. */
  progress: UnitProgress;
  phase: UnitPhase;
  /**
   * Allocations that have not been released because their runs may still be
   * alive.
   */
  allocations: Allocation[];
  /** When the current run was placed. */
  placedAt: Instant;
  /** When all members were confirmed as started. */
  runningSince: Instant;
  /** When the latest run failed. */
  lastFailureAt: Instant;
  /** When a target last crashed that a run of the unit may have crashed. */
  lastCrashAt: Instant;
  /** When the unit was first found ready since its last run; undefined if it has not been. */
  waitingSince?: Instant;
  /** When a pass last tried to place the unit or one of its shape; undefined if none has. */
  triedAt?: Instant;
  /** Earliest time of the next placement. */
  retryAt: Instant;
  /** Time until which start commands of runs that were released may be carried out; see `Allocation.mayStartUntil`. */
  mayStartUntil: Instant;
  /** Targets on which runs of this unit failed or stalled. */
  avoidedTargets: Set<string>;
  /**
   * Whether the unit runs outside the rack of its data or, though
   * rack-sensitive, across racks. Such runs take longer by the rack factor.
   */
  hasLocalityPenalty: boolean;
  /** What kept the unit from starting in the latest pass. */
  obstacle?: Obstacle;
  /** Last logged reason why the unit waits, with numbers masked. */
  waitReason?: string;
  /**
   * Targets on which capacity is being freed for this urgent unit. Until
   * `until`, no other unit is placed on them.
   */
  targetClaim?: {targets: ReadonlySet<TargetState>; until: Instant};
  /**
   * Checkpoint that every member of the current run starts from; empty for a
   * start from scratch.
   */
  resumeCheckpoint: string;
  /** Reason of the stop in progress. */
  stopReason?: string;
}

/**
 * State of one member's run at its target, as far as the leader knows: placed,
 * start command sent, acknowledged or listed by the target, stop command sent.
 */
export type AllocationState = 'planned' | 'starting' | 'confirmed' | 'stopping';

/**
 * Capacity that one member's run holds at a target until the run is known to
 * have ended.
 */
export interface Allocation {
  task: string;
  /** Number of the unit's run that the allocation belongs to. */
  run: number;
  demand: Demand;
  target: TargetState;
  /** Undefined for an orphan, which the leader did not place there. */
  unit?: ActiveUnit;
  memberIndex: number;
  state: AllocationState;
  /**
   * Epoch of the start command; 0 if a former leader sent it. Once a target has
   * seen a newer epoch, it refuses commands of this one.
   */
  epoch: number;
  /**
   * Target clock in milliseconds; a listing with a later clock that lacks the
   * run proves that the run has ended.
   */
  acknowledgedClock?: number;
  /** Progress in whole percent. */
  percent: number;
  /** When `percent` last increased. */
  percentAt: Instant;
  /** When the allocation was made. */
  createdAt: Instant;
  /** When the first start command was sent; undefined for a run that was taken over. */
  startedAt?: Instant;
  /** Whether the target takes no other work while the run is under suspicion. */
  isIsolated: boolean;
  /**
   * Time until which start commands without a response may be carried out, by
   * whichever incarnation of the target is up then; -Infinity if all of them
   * were answered by the incarnation that they were meant for.
   */
  mayStartUntil: Instant;
  /** Whether the allocation was moved from the former incarnation, to which the start commands were sent. */
  isMoved: boolean;
  /** Whether the target has acknowledged or listed the run. */
  isConfirmed: boolean;
  /** Whether the target has listed the run as running to this leader. */
  isListed: boolean;
  /** When the target last listed the run; when it was placed if it has not. */
  listedAt: Instant;
  /**
   * Time for which the run was listed without progress. Time in which the
   * target cannot be reached does not count.
   */
  stalledFor: Milliseconds;
  /**
   * Progress in percent and its time when the run first reported progress;
   * baseline of its progress rate.
   */
  firstPercent: number;
  firstPercentAt: Instant;
  /**
   * Earlier progress sample that the current rate is measured from, taken at
   * `clock` of the target; undefined before the first listing.
   */
  rateSample?: {percent: number; clock: number};
  /**
   * Progress rate over the last sample interval, in percent per millisecond;
   * undefined before the first sample interval has passed.
   */
  currentRate?: number;
  /** Highest progress rate of the run so far, in percent per millisecond. */
  bestRate: number;
  /** Whether a stop command was sent or is being sent. */
  isBeingStopped: boolean;
}

/** Returns the number of tasks that a unit starts at once. */
export function countMembers(unit: ActiveUnit): number {
  return unit.step.isGang ? unit.step.count : 1;
}

/** Returns the highest run count of the job's units. */
export function findMaxRunCount({units}: ActiveJob): number {
  // A job may have more units than a call may have arguments.
  return units.reduce((max, {progress}) => Math.max(max, progress.run), 0);
}

/**
 * Returns the demand that one member deducts from its target's free capacity.
 * Tasks that use idle processor time deduct no cpu.
 */
export function computeAllocatedDemand(step: Step): Demand {
  return step.usesIdleCpu ? {...step.demand, cpu: 0} : step.demand;
}

/** Whether a unit waits for placement. */
export function isUnitWaiting(unit: ActiveUnit): boolean {
  return (
    unit.phase === 'waiting' &&
    !unit.progress.isDone &&
    unit.allocations.length === 0
  );
}

/** Whether all steps are done that the unit's step depends on. */
export function isUnitReady({job, occurrence, step}: ActiveUnit): boolean {
  const found = job.progress.occurrences.find(
    ({index}) => index === occurrence,
  );
  return found !== undefined && isStepReady(step, found);
}

/** Whether a unit has failed as often as its queue allows. Long-running steps have no limit. */
export function hasNoAttemptLeft({step, progress, job}: ActiveUnit): boolean {
  const {maxAttempts} = job.accepted.terms;
  return !step.isLongRunning && progress.failureCount >= maxAttempts;
}

/**
 * Whether a start command of the run may be carried out after its release, by a
 * later incarnation of its target. Those of former leaders are unknown.
 */
export function isStartOutstanding({
  epoch,
  mayStartUntil,
}: Allocation): boolean {
  return epoch !== 0 && mayStartUntil > -Infinity;
}

/** Returns the time until which a start command of the unit may be carried out. */
export function findLatestStart(unit: ActiveUnit): Instant {
  return unit.allocations
    .filter(isStartOutstanding)
    .reduce(
      (latest, {mayStartUntil}) => Math.max(latest, mayStartUntil),
      unit.mayStartUntil,
    );
}

/** Whether no start command of the run can have been carried out. */
export function hasNeverStarted({state, mayStartUntil}: Allocation): boolean {
  const isUnsent = state === 'starting' && mayStartUntil === -Infinity;
  return state === 'planned' || isUnsent;
}

/** Creates an allocation without any progress. */
export function createAllocation(
  values: Pick<
    Allocation,
    | 'task'
    | 'run'
    | 'demand'
    | 'target'
    | 'unit'
    | 'memberIndex'
    | 'state'
    | 'epoch'
  >,
  now: Instant,
): Allocation {
  // All properties in one literal: spread or added later, they take twice the memory.
  return {
    task: values.task,
    run: values.run,
    demand: values.demand,
    target: values.target,
    unit: values.unit,
    memberIndex: values.memberIndex,
    state: values.state,
    epoch: values.epoch,
    acknowledgedClock: undefined,
    percent: 0,
    percentAt: now,
    createdAt: now,
    startedAt: undefined,
    isIsolated: false,
    mayStartUntil: -Infinity,
    isMoved: false,
    isConfirmed: false,
    isListed: false,
    listedAt: now,
    stalledFor: 0,
    firstPercent: 0,
    firstPercentAt: now,
    rateSample: undefined,
    currentRate: undefined,
    bestRate: 0,
    isBeingStopped: false,
  };
}
