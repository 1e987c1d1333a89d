/** All targets of an emulated cluster, with the network between them and the instances. */
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
import type {Clock, Instant, Milliseconds, Random} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {Disturbances} from './disturbances.js';
import {CAPACITY_GRACE_MS, type RunAuditor} from './run_auditor.js';
import {
  type EmulatedRun,
  EmulatedTarget,
  type TargetBounds,
  type TargetEnvironment,
  type TaskBehavior,
} from './emulated_target.js';

/** Usual one-way latency between an instance and a target. */
const ONE_WAY_LATENCY_MS = 1;

/** Interval at which the targets advance in time. */
const ADVANCE_INTERVAL_MS = 20;

/** Range of the delay of a command that is executed late; stated by the platform. */
const MIN_COMMAND_DELAY_MS = 2000;
const MAX_COMMAND_DELAY_MS = 12_000;

/** Delay until instances see a change of the registry. */
const REGISTRY_LAG_MS = 300;

/** Time from the crash of a target under a run to its next incarnation. */
const RESTART_DELAY_MS = 3000;

/** Time after a crash for which the entry of the crashed incarnation stays in the registry. */
const REGISTRY_EXPIRY_MS = 4500;

/** Time in which an instance notices that a target has restarted. */
const RESTART_NOTICE_MS = 1000;

/** Time in which instances know that the lease of a target has expired that does not restart, also after a takeover. */
const MAX_LEASE_END_MS = 14_000;

/** Injectable faults of the network. */
export interface FleetFaults {
  /** Ids of targets that no instance can reach. */
  unreachableTargets: Set<string>;
  /** Share of commands, from 0 to 1, that get no response and are executed late. */
  delayedCommands: number;
  /** Share of polls, from 0 to 1, that get no response and are executed late. */
  delayedPolls: number;
  /** Whether targets that crash under a run restart with a new id at the same address. */
  newIdAfterCrash: boolean;
  /** Time after which a target that crashed under a run is up again. */
  restartDelay: Milliseconds;
  /** Whether targets that crash under a run never restart. */
  staysDownAfterCrash: boolean;
  /** One-way latency between instances and targets. */
  latency: Milliseconds;
  /** Whether polls hang until they time out, rather than fail at once, when the incarnation that they are connected to ends. */
  keepsDeadConnections: boolean;
}

/** Is told of the end of every run, for measurements. */
export interface RunObserver {
  onEnd(
    target: EmulatedTarget,
    run: EmulatedRun,
    kind: EndKind,
    now: Instant,
  ): void;
}

/** Manages the emulated targets and carries the instances' calls to them. */
export class EmulatedFleet implements TargetEnvironment {
  readonly targets = new Map<string, EmulatedTarget>();
  readonly faults: FleetFaults = {
    unreachableTargets: new Set(),
    delayedCommands: 0,
    delayedPolls: 0,
    newIdAfterCrash: true,
    restartDelay: RESTART_DELAY_MS,
    staysDownAfterCrash: false,
    latency: ONE_WAY_LATENCY_MS,
    keepsDeadConnections: false,
  };
  readonly observers = new Set<RunObserver>();
  /** Whether targets that are added from now on refuse starts that do not fit. */
  guardsCapacity = false;
  /** Returns the value at which the clock of the next incarnation starts, in milliseconds. */
  chooseClockStart: () => Milliseconds = () => 0;
  /** Whether the command that is being carried out is late. */
  private isCarryingOutLate = false;
  /** Registry entries by id, as instances read them. */
  private readonly registry = new Map<string, TargetInfo>();
  private readonly listeners = new Set<{
    onTarget(info: TargetInfo): void;
    onTargetRemoved(id: string): void;
  }>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly bounds: TargetBounds,
    private readonly chooseBehavior: (task: string) => TaskBehavior,
    private readonly auditor: RunAuditor,
    private readonly disturbances = new Disturbances(),
  ) {}

  /** Adds a target, or a new incarnation of it if the id exists. Registers it unless it cannot reach the registry. */
  addTarget(info: TargetInfo, isRegistered = true): EmulatedTarget {
    const target = new EmulatedTarget(
      info,
      this.bounds,
      this,
      this.clock.now(),
      this.targets
        .get(info.id)
        ?.findMaxCapacity(this.clock.now() - CAPACITY_GRACE_MS),
    );
    target.guardsCapacity = this.guardsCapacity;
    target.clockStart = this.chooseClockStart();
    this.targets.set(info.id, target);
    if (isRegistered) {
      this.updateRegistration(info);
    }
    return target;
  }

  /** Changes a target's entry in the registry. */
  updateRegistration(info: TargetInfo): void {
    const target = this.targets.get(info.id);
    if (target) {
      target.info = info;
    }
    this.sendRegistration(info);
  }

  /** Writes an entry to the registry that instances see after `delay`, whatever the target itself says. */
  sendRegistration(
    info: TargetInfo,
    delay: Milliseconds = REGISTRY_LAG_MS,
  ): void {
    this.disturbances.record(this.clock.now());
    void this.clock.sleep(delay).then(() => {
      this.disturbances.record(this.clock.now());
      this.registry.set(info.id, info);
      this.listeners.forEach(listener => listener.onTarget(info));
    });
  }

  /** Removes an entry from the registry, which instances see after `delay`. */
  removeRegistration(id: string, delay: Milliseconds = REGISTRY_LAG_MS): void {
    void this.clock.sleep(delay).then(() => {
      this.disturbances.record(this.clock.now());
      this.registry.delete(id);
      this.listeners.forEach(listener => listener.onTargetRemoved(id));
    });
  }

  /** Stops a target at once, without a shutdown, and removes it from the registry. */
  crashTarget(id: string): void {
    this.disturbances.record(this.clock.now());
    this.targets.get(id)?.crash();
    this.removeRegistration(id);
  }

  /** Changes a target's capacity, which its registry entry shows from then on. */
  resizeTarget(id: string, capacity: Demand): void {
    const target = this.targets.get(id);
    if (target) {
      target.resize(capacity, this.clock.now());
      this.updateRegistration(target.info);
    }
  }

  /** Stops a target without a trace in the registry, and starts its next incarnation under the same id after `downtime`. */
  async restartTarget(id: string, downtime: Milliseconds): Promise<void> {
    const target = this.targets.get(id);
    if (!target?.isUp) {
      return;
    }
    this.disturbances.record(this.clock.now());
    target.crash();
    await this.clock.sleep(downtime);
    this.addTarget({...target.info, born: this.clock.wallTime()});
  }

  /** Returns the time after a crash from which on instances can know that the runs on the target have ended. */
  get crashNotice(): Milliseconds {
    return this.faults.staysDownAfterCrash
      ? MAX_LEASE_END_MS
      : this.faults.restartDelay + RESTART_NOTICE_MS;
  }

  /** Advances every target in time until `isFinished` returns true. */
  async run(isFinished: () => boolean): Promise<void> {
    while (!isFinished()) {
      await this.clock.sleep(ADVANCE_INTERVAL_MS);
      for (const target of this.targets.values()) {
        target.advance(this.clock.now());
      }
    }
  }

  /** Returns a port through which an instance calls the targets. */
  createTargetPort(): TargetPort {
    const connections = new Map<string, EmulatedTarget>();
    const call = <T extends CommandOutcome | PollOutcome>(
      target: TargetAddress,
      timeout: Milliseconds,
      isCommand: boolean,
      execute: (target: EmulatedTarget) => T,
    ) => this.callTarget(target, timeout, isCommand, execute);
    return {
      start: (target, command, timeout) =>
        call(target, timeout, true, found =>
          found.start(command, this.clock.now()),
        ),
      stop: (target, command, timeout) =>
        call(target, timeout, true, found =>
          found.stop(command, this.clock.now()),
        ),
      poll: (target, request, timeout) =>
        this.pollConnected(connections, target, request, timeout, () =>
          this.longPoll(request, target, () =>
            call<PollOutcome>(target, timeout, false, found =>
              found.poll(request, this.clock.now()),
            ),
          ),
        ),
    };
  }

  /** Returns the registry as one instance reads it. */
  createTargetRegistry(): TargetRegistry {
    let listener: Parameters<TargetRegistry['open']>[0] | undefined;
    return {
      open: async events => {
        listener = events;
        this.listeners.add(events);
        return [...this.registry.values()];
      },
      close: () => {
        if (listener) {
          this.listeners.delete(listener);
        }
      },
    };
  }

  getTaskBehavior(task: string): TaskBehavior {
    return this.chooseBehavior(task);
  }

  findDemand(task: string): Demand | undefined {
    return this.auditor.findStep(task)?.demand;
  }

  countPresentMembers(task: string, run: number): number {
    const gang = getGangKey(task);
    let count = 0;
    for (const target of this.targets.values()) {
      for (const other of target.runs.values()) {
        const isMember = getGangKey(other.task) === gang && other.run === run;
        count += isMember ? 1 : 0;
      }
    }
    return count;
  }

  spansRacks(task: string, run: number): boolean {
    const gang = getGangKey(task);
    const racks = new Set<string>();
    for (const target of this.targets.values()) {
      for (const other of target.runs.values()) {
        if (other.run === run && getGangKey(other.task) === gang) {
          racks.add(target.info.rack);
        }
      }
    }
    return racks.size > 1;
  }

  onStart(target: EmulatedTarget, run: EmulatedRun): void {
    this.auditor.onStart(
      target,
      run,
      this.clock.now(),
      this.listRuns(),
      this.isCarryingOutLate,
    );
  }

  onEnd(target: EmulatedTarget, run: EmulatedRun, kind: EndKind): void {
    this.auditor.onEnd(target, run, kind, this.clock.now());
    this.observers.forEach(observer =>
      observer.onEnd(target, run, kind, this.clock.now()),
    );
    if (run.behavior.gangSize > 1 && kind !== 'alone') {
      this.endGang(run, kind === 'done' ? 'done' : 'broken');
    }
  }

  onTargetCrash(target: EmulatedTarget): void {
    this.disturbances.record(this.clock.now());
    this.auditor.onTargetCrash(target, this.clock.now());
    target.refusesConnections = true;
    target.crash();
    if (this.faults.staysDownAfterCrash) {
      this.removeRegistration(target.info.id, REGISTRY_EXPIRY_MS);
      return;
    }
    const {restartDelay} = this.faults;
    if (restartDelay > REGISTRY_EXPIRY_MS) {
      this.removeRegistration(target.info.id, REGISTRY_EXPIRY_MS);
    }
    void this.clock
      .sleep(restartDelay)
      .then(() => this.restartAfterCrash(target.info));
  }

  onCheckpoint(task: string, checkpoint: string): void {
    this.auditor.onCheckpoint(task, checkpoint);
  }

  onAcknowledged(_target: EmulatedTarget, end: ListedEnd): void {
    this.auditor.onAcknowledged(end);
  }

  /** Ends the other members of a gang's run on all targets. */
  private endGang(ended: EmulatedRun, kind: EndKind): void {
    const gang = getGangKey(ended.task);
    for (const target of this.targets.values()) {
      for (const run of [...target.runs.values()]) {
        const isMember = getGangKey(run.task) === gang && run.run === ended.run;
        if (isMember && run !== ended && target.isUp) {
          target.endRun(run, kind);
        }
      }
    }
  }

  private restartAfterCrash(crashed: TargetInfo): void {
    const born = this.clock.wallTime();
    if (!this.faults.newIdAfterCrash) {
      this.addTarget({...crashed, born});
      return;
    }
    this.targets.delete(crashed.id);
    this.addTarget({...crashed, id: `${crashed.id}+`, born});
    this.removeRegistration(
      crashed.id,
      Math.max(0, REGISTRY_EXPIRY_MS - this.faults.restartDelay),
    );
  }

  private listRuns(): EmulatedRun[] {
    return [...this.targets.values()].flatMap(({runs}) => [...runs.values()]);
  }

  /** Polls on the pooled connection to a target, which is replaced once a poll on it has timed out. */
  private async pollConnected(
    connections: Map<string, EmulatedTarget>,
    address: TargetAddress,
    {needsNewConnection}: PollRequest,
    timeout: Milliseconds,
    poll: () => Promise<PollOutcome>,
  ): Promise<PollOutcome> {
    const sentAt = this.clock.now();
    const current = this.findAt(address);
    if (needsNewConnection) {
      connections.delete(address.id);
    }
    const connected = connections.get(address.id) ?? current;
    if (connected) {
      connections.set(address.id, connected);
    }
    const isDead = () =>
      this.faults.keepsDeadConnections && this.findAt(address) !== connected;
    const outcome = isDead() ? undefined : await poll();
    if (outcome && !isDead()) {
      if (outcome.kind === 'unknown') {
        connections.delete(address.id);
      }
      return outcome;
    }
    await this.clock.sleep(Math.max(0, sentAt + timeout - this.clock.now()));
    if (connections.get(address.id) === connected) {
      connections.delete(address.id);
    }
    return {kind: 'unknown', problem: 'no response'};
  }

  /** Extends the lease, waits until a new end can be listed or the wait time is over, and then polls. */
  private async longPoll(
    request: PollRequest,
    address: TargetAddress,
    poll: () => Promise<PollOutcome>,
  ): Promise<PollOutcome> {
    const target = this.findAt(address);
    const before = target?.lastEndNumber ?? 0;
    const until = this.clock.now() + request.wait;
    if (request.wait > 0 && target?.isUp && !this.isUnreachable(address.id)) {
      // The lease is extended when the request arrives, not when the response is sent.
      target.poll(request, this.clock.now());
    }
    while (
      this.clock.now() < until &&
      !target?.hasEndAfter(before) &&
      !target?.refusesConnections
    ) {
      await this.clock.sleep(ADVANCE_INTERVAL_MS);
    }
    if (target && this.findAt(address) !== target) {
      // The connection ended with the incarnation that had the request.
      return {kind: 'unknown', problem: 'the connection was closed'};
    }
    return poll();
  }

  /**
   * Executes a call at a target, with latency and faults.
   * The outcome is `unknown` after `timeout` when the target or its response is lost.
   */
  private async callTarget<T extends CommandOutcome | PollOutcome>(
    address: TargetAddress,
    timeout: Milliseconds,
    isCommand: boolean,
    execute: (target: EmulatedTarget) => T,
  ): Promise<T> {
    const noResponse = {kind: 'unknown', problem: 'no response'} as T;
    await this.clock.sleep(this.faults.latency);
    const target = this.findAt(address);
    const reachable = this.isUnreachable(address.id) ? undefined : target;
    if (!target && this.isAddressInUse(address.address)) {
      return {kind: 'other-life'} as T;
    }
    if (reachable?.refusesConnections) {
      return {kind: 'unsent', problem: 'the connection was refused'} as T;
    }
    if (!reachable?.isUp) {
      await this.clock.sleep(timeout);
      return noResponse;
    }
    const {delayedCommands, delayedPolls} = this.faults;
    const isDelayed = isCommand
      ? this.random.next() < delayedCommands
      : delayedPolls > 0 && this.random.next() < delayedPolls;
    if (isDelayed) {
      const delay =
        MIN_COMMAND_DELAY_MS +
        this.random.next() * (MAX_COMMAND_DELAY_MS - MIN_COMMAND_DELAY_MS);
      void this.clock.sleep(delay).then(() => {
        // The command reaches the incarnation that is at the address by then.
        const later = this.findAt(address);
        if (later?.isUp) {
          this.isCarryingOutLate = true;
          execute(later);
          this.isCarryingOutLate = false;
        }
      });
      await this.clock.sleep(timeout);
      return noResponse;
    }
    const outcome = execute(reachable);
    await this.clock.sleep(this.faults.latency);
    if (this.isUnreachable(address.id)) {
      await this.clock.sleep(timeout);
      return noResponse;
    }
    return outcome;
  }

  /** Returns the target with an id, if it listens at the address. */
  private findAt({id, address}: TargetAddress): EmulatedTarget | undefined {
    const target = this.targets.get(id);
    return target?.info.address === address ? target : undefined;
  }

  private isAddressInUse(address: string): boolean {
    return [...this.targets.values()].some(
      ({info, isUp}) => isUp && info.address === address,
    );
  }

  private isUnreachable(id: string): boolean {
    return this.faults.unreachableTargets.has(id);
  }
}

/** Returns the task name without the index; it is the same for all tasks of a gang. */
function getGangKey(task: string): string {
  return task.slice(0, task.lastIndexOf('.'));
}
