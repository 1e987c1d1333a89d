/** One target in virtual time: leases, fences, gangs, checkpoints, and work that takes time. */
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

/** What really happens to a task's run, which no caller's estimate knows. */
export interface TaskBehavior {
  /** Work of a whole run, in milliseconds. */
  work: Milliseconds;
  /** The run fails after this share of its work; undefined when it does not. */
  failsAt?: number;
  savesProgress: boolean;
  /** Members that must be present before any works; 1 for a single task. */
  gangSize: number;
}

/** A run on a target. */
export interface EmulatedRun {
  task: string;
  run: number;
  order: StartCommand;
  behavior: TaskBehavior;
  startedAt: Instant;
  /** Work done, in milliseconds; starts at the checkpoint's. */
  completedWork: Milliseconds;
  /** Work at its start. */
  resumedWork: Milliseconds;
  stoppingAt?: Instant;
}

/** Faults of a target. */
export interface TargetFaults {
  /** Runs make no progress. */
  hangs: boolean;
  /** Every run fails at once. */
  failsAll: boolean;
  /** Work takes this many times as long. */
  slowness: number;
}

/** Longest lease and time of a stop, in milliseconds. */
export interface TargetBounds {
  maxLease: Milliseconds;
  stopTime: Milliseconds;
  gangTime: Milliseconds;
}

/** What others are told of runs. */
export interface TargetEnvironment {
  getTaskBehavior(task: string): TaskBehavior;
  /** Members of the run that are present anywhere. */
  countPresentMembers(task: string, run: number): number;
  onStart(target: EmulatedTarget, run: EmulatedRun): void;
  onEnd(target: EmulatedTarget, run: EmulatedRun, how: EndKind): void;
  onCheckpoint(task: string, checkpoint: string): void;
  onAcknowledged(target: EmulatedTarget, end: ListedEnd): void;
}

/** One life of a target. */
export class EmulatedTarget {
  readonly faults: TargetFaults = {hangs: false, failsAll: false, slowness: 1};
  readonly runs = new Map<string, EmulatedRun>();
  isUp = true;
  private fence = 0;
  private leaseUntil = 0;
  private ends: ListedEnd[] = [];
  private endCount = 0;
  /** Highest run that was stopped or ended, by task. */
  private readonly barred = new Map<string, number>();
  private steppedAt: Instant;

  constructor(
    public info: TargetInfo,
    private readonly bounds: TargetBounds,
    private readonly witness: TargetEnvironment,
    private readonly bornAt: Instant,
  ) {
    this.steppedAt = bornAt;
  }

  start(order: StartCommand, now: Instant): CommandOutcome {
    this.advance(now);
    const clock = this.clock(now);
    if (order.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = order.epoch;
    if (this.runs.get(order.task)?.run === order.run) {
      return {kind: 'done', clock};
    }
    if (order.leaseUntil <= clock) {
      return {kind: 'refused', reason: 'late', clock};
    }
    this.extend(order.leaseUntil, clock);
    const isOld = order.run <= (this.barred.get(order.task) ?? 0);
    if (isOld || this.runs.has(order.task)) {
      return {kind: 'refused', reason: 'superseded', clock};
    }
    const fate = this.witness.getTaskBehavior(order.task);
    const saved = order.checkpoint === '' ? 0 : Number(order.checkpoint);
    const run: EmulatedRun = {
      task: order.task,
      run: order.run,
      order,
      behavior: fate,
      startedAt: now,
      completedWork: saved,
      resumedWork: saved,
    };
    this.runs.set(order.task, run);
    this.witness.onStart(this, run);
    return {kind: 'done', clock};
  }

  stop(order: StopCommand, now: Instant): CommandOutcome {
    this.advance(now);
    const clock = this.clock(now);
    if (order.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = order.epoch;
    const barred = this.barred.get(order.task) ?? 0;
    this.barred.set(order.task, Math.max(barred, order.run));
    const run = this.runs.get(order.task);
    if (run && run.run <= order.run) {
      run.stoppingAt ??= now + this.bounds.stopTime / 2;
    }
    return {kind: 'done', clock};
  }

  hold(order: PollRequest, now: Instant): PollOutcome {
    this.advance(now);
    const clock = this.clock(now);
    if (order.epoch < this.fence) {
      return {kind: 'refused', reason: 'fenced', clock};
    }
    this.fence = order.epoch;
    if (order.leaseUntil !== undefined) {
      this.extend(order.leaseUntil, clock);
    }
    for (const end of this.ends) {
      if (end.number <= order.acknowledgedEnd) {
        this.witness.onAcknowledged(this, end);
      }
    }
    this.ends = this.ends.filter(end => end.number > order.acknowledgedEnd);
    return {kind: 'listed', listing: this.list(now)};
  }

  /** Whether a listing would name an end that the last one did not. */
  hasEndAfter(number: number): boolean {
    return this.endCount > number;
  }

  get lastEndNumber(): number {
    return this.endCount;
  }

  /** Lets time pass: work, leases, stops. */
  advance(now: Instant): void {
    const passed = now - this.steppedAt;
    this.steppedAt = now;
    if (!this.isUp) {
      return;
    }
    if (this.clock(now) > this.leaseUntil) {
      for (const run of [...this.runs.values()]) {
        this.endRun(run, 'lapsed');
      }
    }
    for (const run of [...this.runs.values()]) {
      // The end of one member ends the others.
      if (this.runs.get(run.task) === run) {
        this.stepRun(run, passed, now);
      }
    }
  }

  /** Everything on it ends without a trace. */
  crash(): void {
    this.isUp = false;
    for (const run of this.runs.values()) {
      this.witness.onEnd(this, run, 'lapsed');
    }
    this.runs.clear();
  }

  /** Ends a run, as when another member of its gang ended. */
  endRun(run: EmulatedRun, how: EndKind): void {
    this.runs.delete(run.task);
    const barred = this.barred.get(run.task) ?? 0;
    this.barred.set(run.task, Math.max(barred, run.run));
    this.ends.push({
      number: ++this.endCount,
      task: run.task,
      run: run.run,
      kind: how,
      checkpoint: this.checkpointOf(run),
    });
    this.witness.onEnd(this, run, how);
  }

  private stepRun(run: EmulatedRun, passed: Milliseconds, now: Instant): void {
    if (run.stoppingAt !== undefined && now >= run.stoppingAt) {
      this.endRun(run, 'stopped');
      return;
    }
    const {behavior: fate} = run;
    const present = this.witness.countPresentMembers(run.task, run.run);
    if (present < fate.gangSize) {
      if (now - run.startedAt > this.bounds.gangTime) {
        this.endRun(run, 'alone');
      }
      return;
    }
    if (this.faults.hangs) {
      return;
    }
    run.completedWork += passed / this.faults.slowness;
    const failsAt = this.faults.failsAll ? 0.1 : fate.failsAt;
    if (failsAt !== undefined && run.completedWork >= fate.work * failsAt) {
      this.endRun(run, 'failed');
    } else if (run.completedWork >= fate.work) {
      this.endRun(run, 'done');
    }
  }

  private list(now: Instant) {
    return {
      born: this.info.born,
      clock: this.clock(now),
      running: [...this.runs.values()].map(run => ({
        task: run.task,
        run: run.run,
        checkpoint: this.checkpointOf(run),
        percent: Math.min(
          99,
          Math.floor((100 * run.completedWork) / run.behavior.work),
        ),
      })),
      ended: this.ends.slice(0, 500),
    };
  }

  /** Saved work is a whole number of milliseconds in decimal. */
  private checkpointOf(run: EmulatedRun): string {
    if (!run.behavior.savesProgress || run.completedWork <= 0) {
      return '';
    }
    const checkpoint = String(Math.floor(run.completedWork));
    this.witness.onCheckpoint(run.task, checkpoint);
    return checkpoint;
  }

  private extend(until: number, clock: number): void {
    const most = clock + this.bounds.maxLease;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, most));
  }

  private clock(now: Instant): number {
    return Math.floor(now - this.bornAt) + 1;
  }
}
