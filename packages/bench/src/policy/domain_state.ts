/** One failure domain in the event loop. */
import type {CellLevel, Configuration} from '@galenavalve/model';
import {
  Cells,
  type Policy,
  type RunningGang,
  type WaitingJob,
  estimateBacklog,
} from '@galenavalve/placement';
import {countFragmented} from './fragmentation.js';
import type {JobState} from './job_state.js';
import {PromiseCheck} from './promise_check.js';

/** Time within which promised work has to start, in seconds: the grace for victims and some passes. */
const PROMISE_SECONDS = 10;

/** Cells, queue and promise checks of one domain. */
export class DomainState {
  readonly cells: Cells;
  readonly queue = new Map<string, JobState>();
  fragmented = 0;
  busy = 0;
  private backlogAt = -1;
  private backlogSeconds = 0;
  private readonly checks = new Map<string, PromiseCheck>();

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
      this.checks.set(workspace, new PromiseCheck(this.cells, promises));
    }
  }

  /** Time in seconds that the domain's work takes, computed once a moment. */
  backlog(now: number): number {
    if (this.backlogAt !== now) {
      this.backlogAt = now;
      this.backlogSeconds = estimateBacklog(this.cells, this.waiting(), now);
    }
    return this.backlogSeconds;
  }

  waiting(): WaitingJob[] {
    return [...this.queue.values()].map(job => job.toWaitingJob());
  }

  start(job: JobState, gang: RunningGang): void {
    this.cells.addGang(gang);
    this.queue.delete(gang.jobId);
    this.busy += job.size;
    this.checks.get(gang.workspace)!.onStart(gang);
  }

  end(job: JobState): void {
    this.cells.removeGang(job.stream.id);
    this.busy -= job.size;
    this.checks.get(job.stream.workspace)!.onEnd(job.stream.id);
  }

  /** Accelerators of targets that can take work, and those that work on elsewhere in the domain. */
  capacity(): number {
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
    this.fragmented = this.cells.isInService
      ? countFragmented(this.cells, this.waiting(), this.promisedLevels())
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
      const {workspace} = job.stream;
      const key = `${workspace} ${JSON.stringify(job.stream.gang)}`;
      if (!fits.has(key)) {
        const check = this.checks.get(workspace)!;
        fits.set(key, check.holds(job.toWaitingJob()));
      }
      // Behind an older and larger job the order is the workspace's own.
      const isBehind = (largest.get(workspace) ?? 0) > job.size;
      largest.set(workspace, Math.max(largest.get(workspace) ?? 0, job.size));
      const isPromised = !short.has(workspace) && fits.get(key)! && !isBehind;
      count += this.noteWait(job, isPromised, now) ? 1 : 0;
    }
    return count;
  }

  /** Notes whether a job waits against the promise; true when it is late for the first time. */
  private noteWait(job: JobState, isPromised: boolean, now: number): boolean {
    job.promisedSince = isPromised ? (job.promisedSince ?? now) : undefined;
    const isLate = now - (job.promisedSince ?? now) > PROMISE_SECONDS;
    const isNew = isLate && !job.isViolated;
    job.isViolated ||= isLate;
    return isNew;
  }

  private inOrderOfArrival(): JobState[] {
    return [...this.queue.values()].sort(
      (a, b) => a.stream.arrival - b.stream.arrival,
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
