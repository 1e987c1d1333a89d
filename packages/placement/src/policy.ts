/**
 * The decisions of one failure domain. All are pure: time comes as `now` in
 * wall-clock milliseconds, and nothing is read or written elsewhere.
 */
import type {
  Assignment,
  Configuration,
  GangShape,
  Reason,
} from '@galenavalve/model';

/** Whether a target can take work, as its scheduler knows. */
export type TargetCondition =
  'well' | 'leaving' | 'out' | 'unreachable' | 'quarantined';

/** A job that waits for a place. */
export interface WaitingJob {
  jobId: string;
  workspace: string;
  gang: GangShape;
  kind: string;
  urgent: boolean;
  repeatable: boolean;
  checkpointable: boolean;
  /** The caller's estimate of the remaining run time, in seconds. */
  expectedSeconds: number;
  /** Wall-clock milliseconds. */
  submittedAt: number;
  /** Targets that it should not run on again. */
  avoidTargets: readonly string[];
}

/** A gang that occupies targets. */
export interface RunningGang {
  jobId: string;
  workspace: string;
  gang: GangShape;
  kind: string;
  assignments: readonly Assignment[];
  guaranteed: boolean;
  urgent: boolean;
  repeatable: boolean;
  checkpointable: boolean;
  /** Wall-clock milliseconds. */
  startedAt: number;
  /** Wall-clock milliseconds of the last saved progress; `startedAt` when there is none. */
  savedAt: number;
  /** The caller's estimate, in seconds. */
  expectedSeconds: number;
  /** True once it was told to stop. */
  stopping: boolean;
}

/** Start this job there. */
export interface PlacementDecision {
  jobId: string;
  assignments: Assignment[];
  guaranteed: boolean;
  reason: Reason;
}

/** Stop these gangs so that a job with a guarantee can start. */
export interface ReclaimDecision {
  forJob: string;
  victims: string[];
  reason: Reason;
}

/** This job waits. */
export interface WaitDecision {
  jobId: string;
  reason: Reason;
}

/** What one pass over the queue decided. */
export interface PassDecisions {
  placements: PlacementDecision[];
  reclaims: ReclaimDecision[];
  waits: WaitDecision[];
}

/** What one failure domain holds: capacity, running gangs and what is promised. */
export interface DomainCells {
  readonly domain: string;

  // Commands
  /** Takes over inventory, workspaces and rules. Running gangs stay. */
  configure(configuration: Configuration): void;
  setCondition(target: string, condition: TargetCondition): void;
  addGang(gang: RunningGang): void;
  removeGang(jobId: string): void;
  /** Notes a run time, to correct later estimates. */
  recordRunTime(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    actualSeconds: number,
  ): void;

  // Queries
  listGangs(): Iterable<RunningGang>;
  getCondition(target: string): TargetCondition;
  countUsedAccelerators(target: string): number;
  countTasksOn(target: string): number;
}

/** A way to decide who runs where. */
export interface Policy {
  readonly name: string;
  /** Creates the cells that this policy decides on. */
  createCells(domain: string, configuration: Configuration): DomainCells;
  /** Decides for the whole queue; the caller then carries the decisions out. */
  decide(
    cells: DomainCells,
    queue: readonly WaitingJob[],
    now: number,
  ): PassDecisions;
  /** Why the job can never run in this domain, or undefined when it can. */
  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined;
}
