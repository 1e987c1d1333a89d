/** One failure domain in the event loop. */
import type {CellLevel, Configuration} from '@galenavalve/model';
import {
  Cells,
  type Policy,
  type RunningGang,
  type WaitingJob,
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
  private readonly checks = new Map<string, PromiseCheck>();

  constructor(
    readonly id: string,
    readonly policy: Policy,
    configuration: Configuration,
  ) {
    this.cells = policy.createCells(id, configuration) as Cells;
    for (const workspace of configuration.workspaces.keys()) {
      const promises = this.cells.promises.filter(
        promise => promise.workspace === workspace,
      );
      this.checks.set(workspace, new PromiseCheck(this.cells, promises));
    }
  }

  waiting(): WaitingJob[] {
    return [...this.queue.values()].map(job => job.toWaitingJob());
  }

  start(job: JobState, gang: RunningGang): void {
    this.cells.occupy(gang);
    this.queue.delete(gang.jobId);
    this.busy += job.size;
    this.checks.get(gang.workspace)!.onStart(gang);
  }

  end(job: JobState): void {
    this.cells.vacate(job.stream.id);
    this.busy -= job.size;
    this.checks.get(job.stream.workspace)!.onEnd(job.stream.id);
  }

  /** Accelerators of targets that can take work, and those that work on elsewhere in the domain. */
  capacity(): number {
    let capacity = 0;
    for (const target of this.cells.targets.values()) {
      const canStart = this.cells.isInService && target.isWell;
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
      this.cells.missingHomes.map(({workspace}) => workspace),
    );
    let count = 0;
    for (const job of this.queue.values()) {
      const {workspace} = job.stream;
      const isPromised =
        !short.has(workspace) &&
        this.checks.get(workspace)!.holds(job.toWaitingJob()) &&
        !this.isBehindOwn(job);
      job.promisedSince = isPromised ? (job.promisedSince ?? now) : undefined;
      const isLate = now - (job.promisedSince ?? now) > PROMISE_SECONDS;
      if (isLate && !job.isViolated) {
        job.isViolated = true;
        count++;
      }
    }
    return count;
  }

  /** Whether an older and larger job of the same workspace waits; their order is the workspace's own. */
  private isBehindOwn(job: JobState): boolean {
    for (const other of this.queue.values()) {
      const isOwn = other.stream.workspace === job.stream.workspace;
      const isOlder = other.stream.arrival < job.stream.arrival;
      if (isOwn && isOlder && other.size > job.size) {
        return true;
      }
    }
    return false;
  }

  private promisedLevels(): Set<CellLevel> {
    const levels = new Set<CellLevel>();
    for (const {level} of this.cells.promises) {
      levels.add(level);
    }
    return levels;
  }
}
