/** Emulated target in virtual time: lease, fence, gangs, checkpoints and progress of runs. */
import type {
  EndKind,
  PollRequest,
  PollOutcome,
  ListedEnd,
  CommandOutcome,
  StartCommand,
  StopCommand,
  TargetInfo,
} from '@galenavalve/dispatch';
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';

/** How long a task really takes and whether it fails, independent of the caller's estimate. */
export interface TaskBehavior {
  /** Duration of a complete run on an unimpaired target, in milliseconds. */
  work: Milliseconds;
  /** Share of the work, from 0 to 1, after which the run fails; undefined if it succeeds. */
  failsAt?: number;
  /** Age of the run at which it crashes its target, in milliseconds; undefined if it does not. */
  crashesTargetAt?: Milliseconds;
  savesProgress: boolean;
  /** Number of members that must be present before any makes progress; 1 for a single task. */
  gangSize: number;
  /** Factor by which the run takes longer if its gang spans racks; 1 unless given. */
  rackFactor?: number;
}

/** A run on a target. */
export interface EmulatedRun {
  task: string;
  run: number;
  command: StartCommand;
  behavior: TaskBehavior;
  startedAt: Instant;
  /** Completed work in milliseconds; starts at the work of the checkpoint. */
  completedWork: Milliseconds;
  /** Completed work at the start of the run, in milliseconds. */
  resumedWork: Milliseconds;
  stoppingAt?: Instant;
}

/** Injectable faults of a target. */
export interface TargetFaults {
  /** Runs make no progress. */
  hangs: boolean;
  /** Every run fails after a tenth of its work. */
  failsAll: boolean;
  /** Factor by which work takes longer. */
  slowness: number;
}

/** Time limits of a target, in milliseconds. */
export interface TargetBounds {
  /** Longest time for which a lease may be extended. */
  maxLease: Milliseconds;
  /** Longest time in which a stopped run ends. */
  stopTime: Milliseconds;
  /** Time for which a gang member waits for the other members. */
  gangTime: Milliseconds;
}

/** Task behavior, state of other targets and listeners of a target. */
export interface TargetEnvironment {
  getTaskBehavior(task: string): TaskBehavior;
  /** Returns what a task needs; undefined if nobody submitted it. */
  findDemand(task: string): Demand | undefined;
  /** Counts the members of a gang's run that are present on all targets. */
  countPresentMembers(task: string, run: number): number;
  /** Whether the members of a gang's run are on more than one rack. */
  spansRacks(task: string, run: number): boolean;
  onStart(target: EmulatedTarget, run: EmulatedRun): void;
  onEnd(target: EmulatedTarget, run: EmulatedRun, kind: EndKind): void;
  /** Called when a run has reached the age at which it crashes its target. */
  onTargetCrash(target: EmulatedTarget): void;
  onCheckpoint(task: string, checkpoint: string): void;
  onAcknowledged(target: EmulatedTarget, end: ListedEnd): void;
}

/** Outcome of a call during which the target crashes. */
const CRASHED = {kind: 'unknown', problem: 'no response'} as const;

/** One incarnation of a target. */
export class EmulatedTarget {
  readonly faults: TargetFaults = {hangs: false, failsAll: false, slowness: 1};
  readonly runs = new Map<string, EmulatedRun>();
  /** False after a crash. */
  isUp = true;
  /** Whether connections to the crashed target fail at once rather than time out. */
  refusesConnections = false;
  /** Whether the target refuses starts that do not fit into its capacity. */
  guardsCapacity = false;
  /** Value of the target's own clock at its start, in milliseconds. */
  clockStart = 0;
  /** Capacities that were in force, each with the end of its validity. */
  private readonly formerCapacities: Array<{
    capacity: Demand;
    until: Instant;
  }> = [];
  /** Highest epoch of a command so far. */
  private fence = 0;
  /** End of the lease on the target's own clock, in milliseconds. */
  private leaseUntil = 0;
  /** Ends that have not been acknowledged. */
  private ends: ListedEnd[] = [];
  private endCount = 0;
  /** Number of the highest run that was revoked (stopped or ended), by task; runs up to it are not started any more. */
  private readonly highestRevokedRuns = new Map<string, number>();
  private advancedAt: Instant;

  constructor(
    public info: TargetInfo,
    private readonly bounds: TargetBounds,
    private readonly environment: TargetEnvironment,
    private readonly startedAt: Instant,
    /** Highest capacity of the former incarnation with the same id that instances may know; undefined if there is none. */
    private formerCapacity?: Demand,
  ) {
    this.advancedAt = startedAt;
  }

  /** Changes the capacity; runs that no longer fit go on. */
  resize(capacity: Demand, now: Instant): void {
    this.formerCapacities.push({capacity: this.info.capacity, until: now});
    this.info = {...this.info, capacity};
  }

  /**
   * Returns the highest capacity that was in force at or after `since`, by
   * resource. That of the former incarnation is in force until an instance can
   * learn from a listing that there is another one.
   */
  findMaxCapacity(since: Instant): Demand {
    const capacities = this.formerCapacities
      .filter(({until}) => until >= since)
      .map(({capacity}) => capacity);
    capacities.push(this.info.capacity);
    if (this.formerCapacity) {
      capacities.push(this.formerCapacity);
    }
    return {
      cpu: Math.max(...capacities.map(({cpu}) => cpu)),
      memoryMb: Math.max(...capacities.map(({memoryMb}) => memoryMb)),
      accelerators: Math.max(
        ...capacities.map(({accelerators}) => accelerators),
      ),
    };
  }

  /** Starts a run; refuses an older epoch, an expired lease and a run that is not newer. */
  start(command: StartCommand, now: Instant): CommandOutcome {
    this.advance(now);
    if (!this.isUp) {
      return CRASHED;
    }
    const clock = this.readClock(now);
    if (command.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = command.epoch;
    if (this.runs.get(command.task)?.run === command.run) {
      return {kind: 'done', clock};
    }
    if (command.leaseUntil <= clock) {
      return {kind: 'refused', reason: 'late', clock};
    }
    this.extendLease(command.leaseUntil, clock);
    const isRevoked =
      command.run <= (this.highestRevokedRuns.get(command.task) ?? 0);
    if (isRevoked || this.runs.has(command.task)) {
      return {kind: 'refused', reason: 'superseded', clock};
    }
    if (this.guardsCapacity && !this.hasRoom(command.task)) {
      return {kind: 'refused', reason: 'room', clock};
    }
    const behavior = this.environment.getTaskBehavior(command.task);
    const savedWork =
      command.checkpoint === '' ? 0 : Number(command.checkpoint);
    const run: EmulatedRun = {
      task: command.task,
      run: command.run,
      command,
      behavior,
      startedAt: now,
      completedWork: savedWork,
      resumedWork: savedWork,
    };
    this.runs.set(command.task, run);
    this.environment.onStart(this, run);
    return {kind: 'done', clock};
  }

  /** Stops a run, or prevents it from being started later. */
  stop(command: StopCommand, now: Instant): CommandOutcome {
    this.advance(now);
    if (!this.isUp) {
      return CRASHED;
    }
    const clock = this.readClock(now);
    if (command.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = command.epoch;
    const highestRevokedRun = this.highestRevokedRuns.get(command.task) ?? 0;
    this.highestRevokedRuns.set(
      command.task,
      Math.max(highestRevokedRun, command.run),
    );
    const run = this.runs.get(command.task);
    if (run && run.run <= command.run) {
      run.stoppingAt ??= now + this.bounds.stopTime / 2;
    }
    return {kind: 'done', clock};
  }

  /** Extends the lease, drops acknowledged ends and returns a listing. */
  poll(request: PollRequest, now: Instant): PollOutcome {
    this.advance(now);
    if (!this.isUp) {
      return CRASHED;
    }
    const clock = this.readClock(now);
    if (request.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = request.epoch;
    this.formerCapacity = undefined;
    if (request.leaseUntil !== undefined) {
      this.extendLease(request.leaseUntil, clock);
    }
    for (const end of this.ends) {
      if (end.number <= request.acknowledgedEnd) {
        this.environment.onAcknowledged(this, end);
      }
    }
    this.ends = this.ends.filter(end => end.number > request.acknowledgedEnd);
    return {kind: 'listed', listing: this.createListing(now)};
  }

  /** Returns whether a run has ended since the end with the given number. */
  hasEndAfter(number: number): boolean {
    return this.endCount > number;
  }

  /** Number of the latest end; 0 if there is none. */
  get lastEndNumber(): number {
    return this.endCount;
  }

  /** Advances the target to `now`: ends runs whose lease expired, and makes progress. */
  advance(now: Instant): void {
    const elapsed = now - this.advancedAt;
    this.advancedAt = now;
    if (!this.isUp) {
      return;
    }
    if (this.readClock(now) > this.leaseUntil) {
      for (const run of [...this.runs.values()]) {
        this.endRun(run, 'lapsed');
      }
    }
    for (const run of [...this.runs.values()]) {
      // The end of a gang member may have ended this run.
      if (this.runs.get(run.task) === run) {
        this.advanceRun(run, elapsed, now);
      }
    }
  }

  /** Ends all runs at once; they are never listed. */
  crash(): void {
    this.isUp = false;
    for (const run of this.runs.values()) {
      this.environment.onEnd(this, run, 'lapsed');
    }
    this.runs.clear();
  }

  /** Ends a run and lists its end; also called when another member of its gang has ended. */
  endRun(run: EmulatedRun, kind: EndKind): void {
    this.runs.delete(run.task);
    const highestRevokedRun = this.highestRevokedRuns.get(run.task) ?? 0;
    this.highestRevokedRuns.set(run.task, Math.max(highestRevokedRun, run.run));
    this.ends.push({
      number: ++this.endCount,
      task: run.task,
      run: run.run,
      kind,
      checkpoint: this.saveCheckpoint(run),
    });
    this.environment.onEnd(this, run, kind);
  }

  /** Stops, fails, completes or continues one run. */
  private advanceRun(
    run: EmulatedRun,
    elapsed: Milliseconds,
    now: Instant,
  ): void {
    if (run.stoppingAt !== undefined && now >= run.stoppingAt) {
      this.endRun(run, 'stopped');
      return;
    }
    const {behavior} = run;
    const {crashesTargetAt = Infinity} = behavior;
    if (now - run.startedAt >= crashesTargetAt) {
      this.environment.onTargetCrash(this);
      return;
    }
    if (
      behavior.gangSize > 1 &&
      this.environment.countPresentMembers(run.task, run.run) <
        behavior.gangSize
    ) {
      if (now - run.startedAt > this.bounds.gangTime) {
        this.endRun(run, 'alone');
      }
      return;
    }
    if (this.faults.hangs) {
      return;
    }
    const rackFactor =
      behavior.rackFactor !== undefined &&
      this.environment.spansRacks(run.task, run.run)
        ? behavior.rackFactor
        : 1;
    run.completedWork += elapsed / (this.faults.slowness * rackFactor);
    const failsAt = this.faults.failsAll ? 0.1 : behavior.failsAt;
    if (failsAt !== undefined && run.completedWork >= behavior.work * failsAt) {
      this.endRun(run, 'failed');
    } else if (run.completedWork >= behavior.work) {
      this.endRun(run, 'done');
    }
  }

  private hasRoom(task: string): boolean {
    const demands = [task, ...this.runs.keys()].map(
      name => this.environment.findDemand(name) ?? this.info.capacity,
    );
    const {capacity} = this.info;
    return (['cpu', 'memoryMb', 'accelerators'] as const).every(
      resource =>
        demands.reduce((sum, demand) => sum + demand[resource], 0) <=
        capacity[resource],
    );
  }

  private createListing(now: Instant) {
    return {
      born: this.info.born,
      clock: this.readClock(now),
      running: [...this.runs.values()].map(run => ({
        task: run.task,
        run: run.run,
        checkpoint: this.saveCheckpoint(run),
        percent: Math.min(
          99,
          Math.floor((100 * run.completedWork) / run.behavior.work),
        ),
      })),
      ended: this.ends.slice(0, 500),
    };
  }

  /** Returns the completed work as a decimal number of whole milliseconds; empty if none is saved. */
  private saveCheckpoint(run: EmulatedRun): string {
    if (!run.behavior.savesProgress || run.completedWork <= 0) {
      return '';
    }
    const checkpoint = String(Math.floor(run.completedWork));
    this.environment.onCheckpoint(run.task, checkpoint);
    return checkpoint;
  }

  /** Extends the lease by at most `maxLease` from now; never shortens it. */
  private extendLease(until: number, clock: number): void {
    const maxUntil = clock + this.bounds.maxLease;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, maxUntil));
  }

  /** Returns the target's own clock in whole milliseconds. */
  private readClock(now: Instant): number {
    return this.clockStart + Math.floor(now - this.startedAt) + 1;
  }
}
