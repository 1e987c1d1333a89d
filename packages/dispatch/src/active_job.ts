/** Runs as the dispatcher sees them: units of jobs, and their bookings on targets. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {
  AcceptedJob,
  Demand,
  Progress,
  Step,
  UnitProgress,
} from '@galenavalve/workload';
import type {TargetState} from './target_state.js';

/** A job that has not ended. */
export interface ActiveJob {
  id: string;
  accepted: AcceptedJob;
  /** When this dispatcher first knew it, less its age at that time. */
  acceptedAt: Instant;
  progress: Progress;
  isCancelled: boolean;
  /** A task ran out of attempts. */
  hasFailed: boolean;
  units: ActiveUnit[];
}

/** Where a unit stands. */
export type UnitPhase =
  /** No run of it may be alive. */
  | 'waiting'
  /** Its placement is being recorded. */
  | 'recording'
  /** Start orders are under way. */
  | 'starting'
  | 'running'
  /** It is stopped; its room is not free yet. */
  | 'stopping';

/** The unit of a step that runs as one. */
export interface ActiveUnit {
  job: ActiveJob;
  occurrence: number;
  stepIndex: number;
  unitIndex: number;
  step: Step;
  progress: UnitProgress;
  phase: UnitPhase;
  /** Bookings whose room is not known to be free. */
  allocations: Allocation[];
  /** When the present run was placed. */
  placedAt: Instant;
  /** When all members were seen started. */
  runningSince: Instant;
  /** Not placed again before this time. */
  retryAt: Instant;
  /** Targets on which runs of this unit failed or stood still. */
  avoidedTargets: Set<string>;
  /** Far from its data or across racks: it takes longer by the rack factor. */
  hasLocalityPenalty: boolean;
  /** Why it was last said to wait. */
  waitReason?: string;
  /** Targets on which room is being made for it. */
  targetClaim?: {rooms: ReadonlySet<TargetState>; until: Instant};
  /** Checkpoint that every member of the present run starts from. */
  resumeCheckpoint: string;
  /** Reason of the stop under way. */
  stopReason?: string;
}

/** What is known of one member's run at its target. */
export type AllocationState = 'planned' | 'ordered' | 'confirmed' | 'stopping';

/** Room that one member's run takes at a target. */
export interface Allocation {
  task: string;
  run: number;
  demand: Demand;
  target: TargetState;
  /** Absent for a run that nobody expected there. */
  unit?: ActiveUnit;
  memberIndex: number;
  state: AllocationState;
  /** Epoch under which it was ordered; an older epoch's orders are refused by now. */
  epoch: number;
  /** Target clock after which a listing without the run proves that it is gone. */
  acknowledgedClock?: number;
  percent: number;
  /** When `percent` last rose. */
  percentAt: Instant;
  /** When its target last listed it. */
  listedAt: Instant;
  /** Time that it was seen without progress; a target that cannot be seen says nothing. */
  stalledFor: Milliseconds;
  /** Percent and time at the first sign of life, for its pace. */
  firstPercent: number;
  firstPercentAt: Instant;
  /** An earlier reading, for its present pace, by the target's clock; undefined before the first. */
  rateSample?: {percent: number; clock: number};
  /** Its pace over the last reading, in percent a millisecond; undefined before the first. */
  currentRate?: number;
  /** Fastest pace that it ever had, in percent a millisecond. */
  bestRate: number;
  isBeingStopped: boolean;
}

/** Number of tasks that a unit starts at once. */
export function countMembers(unit: ActiveUnit): number {
  return unit.step.isGang ? unit.step.count : 1;
}

/** Most runs that one of the job's units had. */
export function findMaxRunCount({units}: ActiveJob): number {
  return Math.max(0, ...units.map(({progress}) => progress.run));
}

/** Room that each member counts against its target. */
export function computeAllocatedDemand(step: Step): Demand {
  return step.usesIdleCpu ? {...step.demand, cpu: 0} : step.demand;
}

/** Whether a unit can be considered for a start. */
export function isUnitWaiting(unit: ActiveUnit): boolean {
  return (
    unit.phase === 'waiting' &&
    !unit.progress.isDone &&
    unit.allocations.length === 0
  );
}

/** Whether a unit failed as often as its queue allows. */
export function hasNoAttemptLeft(unit: ActiveUnit): boolean {
  const {maxAttempts} = unit.job.accepted.terms;
  return !unit.step.isLongRunning && unit.progress.failureCount >= maxAttempts;
}

/** A booking that was just made; nothing is known of its progress. */
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
  return {
    ...values,
    percent: 0,
    percentAt: now,
    listedAt: now,
    stalledFor: 0,
    firstPercent: 0,
    firstPercentAt: now,
    bestRate: 0,
    isBeingStopped: false,
  };
}
