/** Simulates one failure domain during the run of a policy. */
import type {CellLevel, Configuration} from '@galenavalve/model';
import {
  Cells,
  type Policy,
  type RunningGang,
  type WaitingJob,
  estimateBacklog,
} from '@galenavalve/placement';
import {countFragmentedAccelerators} from './fragmentation.js';
import type {JobState} from './job_state.js';
import {GuaranteeCheck} from './guarantee_check.js';

/** Time within which guaranteed work has to start: the grace period of victims plus a few passes. */
const GUARANTEE_START_LIMIT_SECONDS = 10;

/** Cells, queue and guarantee checks of one domain. */
export class DomainState {
  readonly cells: Cells;
  readonly queue = new Map<string, JobState>();
  fragmentedAccelerators = 0;
  busyAccelerators = 0;
  private backlogComputedAtMs = -1;
  private backlogSeconds = 0;
  private readonly checks = new Map<string, GuaranteeCheck>();

  constructor(
    readonly id: string,
    readonly policy: Policy,
    configuration: Configuration,
  ) {
    this.cells = policy.createCells(id, configuration) as Cells;
    for (const workspace of configuration.workspaces.keys()) {
      const guarantees = this.cells.guarantees.filter(
        guarantee => guarantee.workspace === workspace,
      );
      this.checks.set(workspace, new GuaranteeCheck(this.cells, guarantees));
    }
  }

  /** Estimates the time that the queued and running work takes, in seconds; computed once per instant `nowMs`. */
  getBacklogSeconds(nowMs: number): number {
    if (this.backlogComputedAtMs !== nowMs) {
      this.backlogComputedAtMs = nowMs;
      this.backlogSeconds = estimateBacklog(
        this.cells,
        this.listWaitingJobs(),
        nowMs,
      );
    }
    return this.backlogSeconds;
  }

  /** Lists the queued jobs as the input of a policy. */
  listWaitingJobs(): WaitingJob[] {
    return [...this.queue.values()].map(job => job.toWaitingJob());
  }

  /** Starts a queued job as the given gang. */
  start(job: JobState, gang: RunningGang): void {
    this.cells.addGang(gang);
    this.queue.delete(gang.jobId);
    this.busyAccelerators += job.acceleratorCount;
    this.checks.get(gang.workspace)!.onStart(gang);
  }

  /** Removes the gang of a job. */
  end(job: JobState): void {
    this.cells.removeGang(job.spec.id);
    this.busyAccelerators -= job.acceleratorCount;
    this.checks.get(job.spec.workspace)!.onEnd(job.spec.id);
  }

  /** Counts the accelerators of schedulable targets, and the occupied accelerators of all other targets. */
  countUsableAccelerators(): number {
    let acceleratorCount = 0;
    for (const target of this.cells.targets.values()) {
      const canStart = this.cells.isInService && target.isSchedulable;
      acceleratorCount += canStart
        ? target.spec.accelerators
        : target.spec.accelerators - target.freeAccelerators;
    }
    return acceleratorCount;
  }

  /** Updates `fragmentedAccelerators`; a domain that is out of service counts none. */
  measureFragmentation(): void {
    this.fragmentedAccelerators = this.cells.isInService
      ? countFragmentedAccelerators(
          this.cells,
          this.listWaitingJobs(),
          this.getGuaranteeLevels(),
        )
      : 0;
  }

  /** Counts the jobs whose guarantee is violated at `nowSeconds` for the first time. */
  countViolations(nowSeconds: number): number {
    if (!this.cells.isInService) {
      return 0;
    }
    const shortWorkspaces = new Set(
      this.cells.unplacedCells.map(({workspace}) => workspace),
    );
    let count = 0;
    const fitsByShape = new Map<string, boolean>();
    const largestQueued = new Map<string, number>();
    for (const job of this.listByArrival()) {
      const {workspace} = job.spec;
      const key = `${workspace} ${JSON.stringify(job.spec.gang)}`;
      if (!fitsByShape.has(key)) {
        const check = this.checks.get(workspace)!;
        fitsByShape.set(key, check.hasRoomFor(job.toWaitingJob()));
      }
      // A workspace sets the order of its own jobs, so waiting behind an older and larger job is no violation.
      const isBehind =
        (largestQueued.get(workspace) ?? 0) > job.acceleratorCount;
      largestQueued.set(
        workspace,
        Math.max(largestQueued.get(workspace) ?? 0, job.acceleratorCount),
      );
      const isGuaranteed =
        !shortWorkspaces.has(workspace) && fitsByShape.get(key)! && !isBehind;
      count += this.updateGuaranteeWait(job, isGuaranteed, nowSeconds) ? 1 : 0;
    }
    return count;
  }

  /** Updates since when a job waits in spite of its guarantee; returns true when it is late for the first time. */
  private updateGuaranteeWait(
    job: JobState,
    isGuaranteed: boolean,
    nowSeconds: number,
  ): boolean {
    job.guaranteeUnmetSince = isGuaranteed
      ? (job.guaranteeUnmetSince ?? nowSeconds)
      : undefined;
    const isLate =
      nowSeconds - (job.guaranteeUnmetSince ?? nowSeconds) >
      GUARANTEE_START_LIMIT_SECONDS;
    const isNew = isLate && !job.isViolated;
    job.isViolated ||= isLate;
    return isNew;
  }

  private listByArrival(): JobState[] {
    return [...this.queue.values()].sort(
      (a, b) => a.spec.arrivalSeconds - b.spec.arrivalSeconds,
    );
  }

  private getGuaranteeLevels(): Set<CellLevel> {
    const levels = new Set<CellLevel>();
    for (const {level} of this.cells.guarantees) {
      levels.add(level);
    }
    return levels;
  }
}
