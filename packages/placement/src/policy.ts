/**
 * Interfaces of the scheduling decisions of one failure domain.
 *
 * Decisions are pure: the time is passed as `now`, in wall-clock milliseconds,
 * and no other state is read or written than the cells of the domain.
 */
import type {
  Assignment,
  Configuration,
  GangShape,
  Reason,
} from '@galenavalve/model';

/**
 * Whether a target can take work, as far as its scheduler knows. Only `well`
 * targets get new work. A target on probation, the time after a quarantine that
 * `QuarantineState` names `on-trial`, is `well` but gets repeatable work only.
 */
export type TargetCondition =
  /** No problem is known. */
  | 'well'
  /** The target reports that it is leaving. */
  | 'leaving'
  /** The target is not in the inventory. */
  | 'out'
  /** The target does not respond. */
  | 'unreachable'
  /** The target gets no work for a while, after failures or refusals. */
  | 'quarantined';

/** A job that waits for placement. */
export interface WaitingJob {
  jobId: string;
  workspace: string;
  gang: GangShape;
  /** The caller's name for jobs with similar run times. */
  kind: string;
  urgent: boolean;
  /** Whether the job may be run again after it was stopped. */
  repeatable: boolean;
  /** Whether the job can save its progress before it is stopped. */
  checkpointable: boolean;
  /** The caller's estimate of the remaining run time, in seconds. */
  expectedSeconds: number;
  /** Wall-clock milliseconds of the submission. */
  submittedAt: number;
  /** Ids of targets that the job should not run on again. */
  avoidTargets: readonly string[];
}

/** A gang that occupies targets. */
export interface RunningGang {
  jobId: string;
  workspace: string;
  gang: GangShape;
  kind: string;
  assignments: readonly Assignment[];
  /** Whether the gang runs within the guarantee of its workspace; otherwise it borrows. */
  guaranteed: boolean;
  urgent: boolean;
  repeatable: boolean;
  checkpointable: boolean;
  /** Wall-clock milliseconds of the start. */
  startedAt: number;
  /** Wall-clock milliseconds of the last saved progress; `startedAt` if there is none. */
  savedAt: number;
  /** The caller's estimate of the run time, in seconds. */
  expectedSeconds: number;
  /** Whether the gang is being stopped. */
  stopping: boolean;
}

/** Decision to start a job on the assigned targets. */
export interface PlacementDecision {
  jobId: string;
  assignments: Assignment[];
  guaranteed: boolean;
  reason: Reason;
}

/** Decision to stop gangs so that another job can start. */
export interface ReclaimDecision {
  /** Id of the job that gets the capacity. */
  forJob: string;
  /** Ids of the jobs whose gangs are stopped. */
  victims: string[];
  reason: Reason;
}

/** Decision that a job waits. */
export interface WaitDecision {
  jobId: string;
  reason: Reason;
}

/** Decisions of one pass over the queue. */
export interface PassDecisions {
  placements: PlacementDecision[];
  reclaims: ReclaimDecision[];
  waits: WaitDecision[];
}

/** Capacity, running gangs and guarantees of one failure domain. */
export interface DomainCells {
  readonly domain: string;

  // Commands
  /** Applies inventory, workspaces and rules. Running gangs are kept. */
  configure(configuration: Configuration): void;
  /** Sets the condition of a target; unknown targets are ignored. */
  setCondition(target: string, condition: TargetCondition): void;
  /** Adds a running gang, or replaces the gang of the same job. */
  addGang(gang: RunningGang): void;
  /** Removes the gang of a job, if there is one, and releases its resources. */
  removeGang(jobId: string): void;
  /** Records a run time, which corrects later estimates. */
  recordRunTime(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    actualSeconds: number,
  ): void;

  // Queries
  listGangs(): Iterable<RunningGang>;
  /** Returns the condition of a target; `out` if it is not in the inventory. */
  getCondition(target: string): TargetCondition;
  /** Counts the accelerators of a target that gangs use. */
  countUsedAccelerators(target: string): number;
  /** Counts the tasks that run on a target. */
  countTasksOn(target: string): number;
}

/** A scheduling policy: decides which jobs run where. */
export interface Policy {
  readonly name: string;
  /** Creates the cells on which this policy decides. */
  createCells(domain: string, configuration: Configuration): DomainCells;
  /** Decides for the whole queue; the caller carries the decisions out. */
  decide(
    cells: DomainCells,
    queue: readonly WaitingJob[],
    now: number,
  ): PassDecisions;
  /** Returns why the job can never run in this domain, or undefined if it can. */
  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined;
}
