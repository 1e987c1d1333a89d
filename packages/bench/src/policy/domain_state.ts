/** One failure domain in the event loop. */
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

/** Time within which promised work has to start, in seconds: the grace for victims and some passes. */
const PROMISE_SECONDS = 10;

/** Cells, queue and promise checks of one domain. */
export class DomainState {
  readonly cells: Cells;
  readonly queue = new Map<string, JobState>();
  fragmentedAccelerators = 0;
  busyAccelerators = 0;
  private backlogAt = -1;
  private backlogSeconds = 0;
  private readonly checks = new Map<string, GuaranteeCheck>();

  constructor(
    readonly id: string,
    readonly policy: Policy,
    configuration: Configuration,
  ) {
    this.cells = policy.createCells(id, configuration) as Cells;
    for (const workspace of configuration.workspaces.keys()) {
      const promises = this.cells.guarantees.filter(
        promise => promise.workspace === workspace,
      );
      this.checks.set(workspace, new GuaranteeCheck(this.cells, promises));
    }
  }

  /** Time in seconds that the domain's work takes, computed once a moment. */
  getBacklogSeconds(now: number): number {
    if (this.backlogAt !== now) {
      this.backlogAt = now;
      this.backlogSeconds = estimateBacklog(
        this.cells,
        this.listWaitingJobs(),
        now,
      );
    }
    return this.backlogSeconds;
  }

  listWaitingJobs(): WaitingJob[] {
    return [...this.queue.values()].map(job => job.toWaitingJob());
  }

  start(job: JobState, gang: RunningGang): void {
    this.cells.addGang(gang);
    this.queue.delete(gang.jobId);
    this.busyAccelerators += job.acceleratorCount;
    this.checks.get(gang.workspace)!.onStart(gang);
  }

  end(job: JobState): void {
    this.cells.removeGang(job.spec.id);
    this.busyAccelerators -= job.acceleratorCount;
    this.checks.get(job.spec.workspace)!.onEnd(job.spec.id);
  }

  /** Accelerators of targets that can take work, and those that work on elsewhere in the domain. */
  countUsableAccelerators(): number {
    let capacity = 0;
    for (const target of this.cells.targets.values()) {
      const canStart = this.cells.isInService && target.isSchedulable;
      capacity += canStart
        ? target.spec.accelerators
        : target.spec.accelerators - target.freeAccelerators;
    }
    return capacity;
  }

  measureFragmentation(): void {
    this.fragmentedAccelerators = this.cells.isInService
      ? countFragmentedAccelerators(
          this.cells,
          this.listWaitingJobs(),
          this.promisedLevels(),
        )
      : 0;
  }

  /** Counts jobs whose promise is broken now for the first time. */
  countViolations(now: number): number {
    if (!this.cells.isInService) {
      return 0;
    }
    const short = new Set(
      this.cells.unplacedCells.map(({workspace}) => workspace),
    );
    let count = 0;
    const fits = new Map<string, boolean>();
    const largest = new Map<string, number>();
    for (const job of this.inOrderOfArrival()) {
      const {workspace} = job.spec;
      const key = `${workspace} ${JSON.stringify(job.spec.gang)}`;
      if (!fits.has(key)) {
        const check = this.checks.get(workspace)!;
        fits.set(key, check.hasRoomFor(job.toWaitingJob()));
      }
      // Behind an older and larger job the order is the workspace's own.
      const isBehind = (largest.get(workspace) ?? 0) > job.acceleratorCount;
      largest.set(
        workspace,
        Math.max(largest.get(workspace) ?? 0, job.acceleratorCount),
      );
      const isPromised = !short.has(workspace) && fits.get(key)! && !isBehind;
      count += this.noteWait(job, isPromised, now) ? 1 : 0;
    }
    return count;
  }

  /** Notes whether a job waits against the promise; true when it is late for the first time. */
  private noteWait(job: JobState, isPromised: boolean, now: number): boolean {
    job.guaranteeUnmetSince = isPromised
      ? (job.guaranteeUnmetSince ?? now)
      : undefined;
    const isLate = now - (job.guaranteeUnmetSince ?? now) > PROMISE_SECONDS;
    const isNew = isLate && !job.isViolated;
    job.isViolated ||= isLate;
    return isNew;
  }

  private inOrderOfArrival(): JobState[] {
    return [...this.queue.values()].sort(
      (a, b) => a.spec.arrivalSeconds - b.spec.arrivalSeconds,
    );
  }

  private promisedLevels(): Set<CellLevel> {
    const levels = new Set<CellLevel>();
    for (const {level} of this.cells.guarantees) {
      levels.add(level);
    }
    return levels;
  }
}
