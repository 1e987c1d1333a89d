/** All targets of an installation, and the network between them and the instances. */
import type {
  EndKind,
  PollRequest,
  PollOutcome,
  ListedEnd,
  CommandOutcome,
  TargetAddress,
  TargetInfo,
  TargetPort,
  TargetRegistry,
} from '@galenavalve/dispatch';
import type {Clock, Milliseconds, Random} from '@galenavalve/shared';
import type {RunAuditor} from './run_auditor.js';
import {
  type EmulatedRun,
  EmulatedTarget,
  type TargetBounds,
  type TargetEnvironment,
  type TaskBehavior,
} from './emulated_target.js';

/** One way between an instance and a target, in milliseconds. */
const WAY = 1;

/** Targets are stepped this often, in milliseconds. */
const STEP = 20;

/** Orders that are carried out late are so within this span, in milliseconds; from the platform's pages. */
const LATE_FROM = 2000;
const LATE_TO = 12_000;

/** The registry is this much behind, in milliseconds. */
const REGISTRY_LAG = 300;

/** Faults of the network. */
export interface FleetFaults {
  /** Ids of targets that no instance reaches. */
  unreachableTargets: Set<string>;
  /** Share of orders that get no answer and are carried out late. */
  delayedCommands: number;
}

/** The targets as instances reach them. */
export class EmulatedFleet implements TargetEnvironment {
  readonly targets = new Map<string, EmulatedTarget>();
  readonly faults: FleetFaults = {
    unreachableTargets: new Set(),
    delayedCommands: 0,
  };
  private readonly listeners = new Set<{
    onTarget(info: TargetInfo): void;
    onTargetGone(id: string): void;
  }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly bounds: TargetBounds,
    private readonly fates: (task: string) => TaskBehavior,
    private readonly auditor: RunAuditor,
  ) {}

  /** Adds a target, or starts it anew under the same id. */
  addTarget(info: TargetInfo): EmulatedTarget {
    const target = new EmulatedTarget(
      info,
      this.bounds,
      this,
      this.clock.now(),
    );
    this.targets.set(info.id, target);
    this.updateRegistration(info);
    return target;
  }

  /** Changes an entry of the registry. */
  updateRegistration(info: TargetInfo): void {
    const target = this.targets.get(info.id);
    if (target) {
      target.info = info;
    }
    void this.clock.sleep(REGISTRY_LAG).then(() => {
      this.listeners.forEach(listener => listener.onTarget(info));
    });
  }

  /** A target goes at once, without a word. */
  crashTarget(id: string): void {
    this.targets.get(id)?.crash();
    void this.clock.sleep(REGISTRY_LAG).then(() => {
      this.listeners.forEach(listener => listener.onTargetGone(id));
    });
  }

  /** Steps every target until `isOver` says so. */
  async run(isOver: () => boolean): Promise<void> {
    while (!isOver()) {
      await this.clock.sleep(STEP);
      for (const target of this.targets.values()) {
        target.advance(this.clock.now());
      }
    }
  }

  /** The targets as every instance reaches them. */
  createTargetPort(): TargetPort {
    const call = <T extends CommandOutcome | PollOutcome>(
      target: TargetAddress,
      timeout: Milliseconds,
      isOrder: boolean,
      act: (target: EmulatedTarget) => T,
    ) => this.call(target, timeout, isOrder, act);
    return {
      start: (target, order, timeout) =>
        call(target, timeout, true, found =>
          found.start(order, this.clock.now()),
        ),
      stop: (target, order, timeout) =>
        call(target, timeout, true, found =>
          found.stop(order, this.clock.now()),
        ),
      poll: (target, order, timeout) =>
        this.hold(order, target.id, () =>
          call<PollOutcome>(target, timeout, false, found =>
            found.hold(order, this.clock.now()),
          ),
        ),
    };
  }

  /** The registry as one instance reads it. */
  createTargetRegistry(): TargetRegistry {
    let listener: Parameters<TargetRegistry['open']>[0] | undefined;
    return {
      open: async events => {
        listener = events;
        this.listeners.add(events);
        return [...this.targets.values()]
          .filter(({isUp}) => isUp)
          .map(({info}) => info);
      },
      close: () => {
        if (listener) {
          this.listeners.delete(listener);
        }
      },
    };
  }

  getTaskBehavior(task: string): TaskBehavior {
    return this.fates(task);
  }

  countPresentMembers(task: string, run: number): number {
    const gang = gangOf(task);
    let count = 0;
    for (const target of this.targets.values()) {
      for (const other of target.runs.values()) {
        const isMember = gangOf(other.task) === gang && other.run === run;
        count += isMember ? 1 : 0;
      }
    }
    return count;
  }

  onStart(target: EmulatedTarget, run: EmulatedRun): void {
    this.auditor.onStart(target, run, this.clock.now(), this.allRuns());
  }

  onEnd(target: EmulatedTarget, run: EmulatedRun, how: EndKind): void {
    this.auditor.onEnd(target, run, how, this.clock.now());
    if (run.behavior.gangSize > 1 && how !== 'alone') {
      this.endGang(run, how === 'done' ? 'done' : 'broken');
    }
  }

  onCheckpoint(task: string, checkpoint: string): void {
    this.auditor.onCheckpoint(task, checkpoint);
  }

  onAcknowledged(_target: EmulatedTarget, end: ListedEnd): void {
    this.auditor.onAcknowledged(end);
  }

  private endGang(ended: EmulatedRun, how: EndKind): void {
    const gang = gangOf(ended.task);
    for (const target of this.targets.values()) {
      for (const run of [...target.runs.values()]) {
        const isMember = gangOf(run.task) === gang && run.run === ended.run;
        if (isMember && run !== ended && target.isUp) {
          target.endRun(run, how);
        }
      }
    }
  }

  private allRuns(): EmulatedRun[] {
    return [...this.targets.values()].flatMap(({runs}) => [...runs.values()]);
  }

  private async hold(
    order: PollRequest,
    id: string,
    look: () => Promise<PollOutcome>,
  ): Promise<PollOutcome> {
    const target = this.targets.get(id);
    const before = target?.lastEndNumber ?? 0;
    const until = this.clock.now() + order.wait;
    if (order.wait > 0 && target?.isUp && !this.isCut(id)) {
      // The lease counts from the arrival, not from the answer.
      target.hold(order, this.clock.now());
    }
    while (this.clock.now() < until && !target?.hasEndAfter(before)) {
      await this.clock.sleep(STEP);
    }
    return look();
  }

  private async call<T extends CommandOutcome | PollOutcome>(
    address: TargetAddress,
    timeout: Milliseconds,
    isOrder: boolean,
    act: (target: EmulatedTarget) => T,
  ): Promise<T> {
    const silence = {kind: 'unknown', problem: 'no answer'} as T;
    await this.clock.sleep(WAY);
    const target = this.targets.get(address.id);
    const reached = this.isCut(address.id) ? undefined : target;
    if (!reached?.isUp) {
      await this.clock.sleep(timeout);
      return silence;
    }
    if (isOrder && this.random.next() < this.faults.delayedCommands) {
      const delay = LATE_FROM + this.random.next() * (LATE_TO - LATE_FROM);
      void this.clock.sleep(delay).then(() => {
        // It reaches whatever life is at the address by then.
        const later = this.targets.get(address.id);
        if (later?.isUp) {
          act(later);
        }
      });
      await this.clock.sleep(timeout);
      return silence;
    }
    const outcome = act(reached);
    await this.clock.sleep(WAY);
    if (this.isCut(address.id)) {
      await this.clock.sleep(timeout);
      return silence;
    }
    return outcome;
  }

  private isCut(id: string): boolean {
    return this.faults.unreachableTargets.has(id);
  }
}

/** A gang's tasks share all of their name but the index. */
function gangOf(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
