/** Plays a short day with a seeded mix of jobs and disturbances, and judges its jobs at the end. */
import {DEFAULT_SETTINGS, type TargetInfo} from '@galenavalve/dispatch';
import {
  EmulatedCluster,
  type EmulatedTarget,
  type TaskBehavior,
  type Violation,
  auditEnd,
} from '@galenavalve/emulator';
import {SeededRandom, nextInteger} from '@galenavalve/shared';
import type {JobSpec} from '@galenavalve/workload';
import {createId, createSpec, createStep, createStream} from './fixtures.js';

const FULL = {cpu: 64_000, memoryMb: 131_072, accelerators: 8};

/** Highest value at which the clock of a target starts. */
const MAX_CLOCK_START_MS = 10_000_000;

/** Number of jobs that are submitted in a day. */
const JOBS = 30;

/** Kinds of disturbances; a day has a few of them. */
const KINDS = [
  'crashing tasks',
  'crashes of other causes',
  'failing tasks',
  'shrinking',
  'odd entries',
  'hopeless jobs',
  'drains',
  'evacuations',
  'unreachable targets',
  'restarts',
  'lost leaders',
  'late commands',
  'log outages',
  'cancellations',
] as const;

type Kind = (typeof KINDS)[number];

/** Kinds after which a start may be late or its target gone. */
const IMPAIRMENTS: readonly Kind[] = [
  'crashing tasks',
  'crashes of other causes',
  'unreachable targets',
  'restarts',
  'lost leaders',
  'late commands',
  'log outages',
];

/** A day that was played. */
export interface DisturbedDay {
  kinds: readonly Kind[];
  violations: readonly Violation[];
  /** The cluster, for a closer look by hand. */
  cluster: EmulatedCluster;
}

/** Plays the day of a seed; `only` replaces the kinds that the seed chooses. */
export async function playDisturbedDay(
  seed: number,
  only?: readonly Kind[],
): Promise<DisturbedDay> {
  const day = new Day(seed, only);
  await day.play();
  return {
    kinds: [...day.kinds],
    violations: day.listViolations(),
    cluster: day.cluster,
  };
}

class Day {
  readonly kinds: ReadonlySet<Kind>;
  private readonly random: SeededRandom;
  /** Choices of the callers that ask for states, apart from those of the day. */
  private readonly callerRandom: SeededRandom;
  /** Choices of connections and clocks, apart from those of the day. */
  private readonly networkRandom: SeededRandom;
  readonly cluster: EmulatedCluster;
  private readonly crashAge: number;
  private readonly faultyShare: number;
  private nextTarget = 0;

  constructor(
    private readonly seed: number,
    only?: readonly Kind[],
  ) {
    this.random = new SeededRandom(hash(`day ${seed * 7919}`));
    this.networkRandom = new SeededRandom(hash(`network ${seed}`));
    this.callerRandom = new SeededRandom(hash(`callers ${seed}`));
    for (let skipped = 0; skipped < 10; skipped++) {
      this.random.next();
    }
    const chosen = KINDS.filter(() => this.random.next() < 0.3);
    this.kinds = new Set(only ?? chosen);
    this.crashAge = this.pick([10, 10, 300, 1500]);
    this.faultyShare = this.pick([0.05, 0.2, 0.5]);
    this.cluster = new EmulatedCluster({
      seed,
      instances: this.pick([3, 5]),
      targets: this.pick([9, 16, 24]),
      targetsPerRack: this.pick([3, 4, 8]),
      domains: this.pick([2, 3, 4]),
      targetCapacity: FULL,
      guardsCapacity: this.random.next() < 0.5,
      settings: DEFAULT_SETTINGS,
      getTaskBehavior: task => this.chooseBehavior(task),
    });
    this.chooseNetwork();
    this.cluster.fleet.faults.newIdAfterCrash = this.random.next() < 0.5;
    this.cluster.fleet.faults.staysDownAfterCrash = this.random.next() < 0.15;
  }

  /** Chooses how connections and clocks behave when targets restart. */
  private chooseNetwork(): void {
    const {networkRandom: random} = this;
    const {fleet} = this.cluster;
    fleet.faults.keepsDeadConnections = random.next() < 0.5;
    fleet.faults.latency = random.next() < 0.3 ? 20 : 1;
    if (this.has('late commands')) {
      fleet.faults.delayedPolls = random.next() < 0.5 ? 0.05 : 0;
    }
    fleet.chooseClockStart = () =>
      random.next() < 0.5 ? 0 : nextInteger(random, MAX_CLOCK_START_MS);
  }

  async play(): Promise<void> {
    const {cluster} = this;
    await cluster.waitUntil(() => cluster.findLeader() !== undefined, 5000);
    await cluster.advance(1000);
    this.submitLastingJobs();
    for (const [index, job] of createStream(this.seed, JOBS).entries()) {
      const {id, priority} = job;
      void cluster.submit(id, this.vary(job.spec, index), priority);
      if (this.has('hopeless jobs') && index % 8 === 0) {
        this.submitHopelessJob(index);
      }
      if (this.has('cancellations') && this.random.next() < 0.1) {
        void cluster.cancel(id);
      }
      this.askForStates(index);
      this.disturb();
      await cluster.advance(nextInteger(this.random, 800));
    }
    await cluster.advance(3000);
    this.calmDown();
    await auditEnd(cluster);
    cluster.close();
  }

  /**
   * Leaves out what the users' rules allow: a member of a gang may be alone after
   * an impairment, and a start that is carried out late may exceed a capacity
   * that has shrunk meanwhile.
   */
  listViolations(): readonly Violation[] {
    const isImpaired = IMPAIRMENTS.some(kind => this.has(kind));
    const allowed = new Set<Violation['rule']>();
    if (isImpaired) {
      allowed.add('gang-alone');
    }
    if (this.has('late commands') && this.has('shrinking')) {
      allowed.add('capacity');
    }
    return this.cluster.auditor.violations.filter(
      ({rule}) => !allowed.has(rule),
    );
  }

  private submitLastingJobs(): void {
    for (let index = 0; index < 2; index++) {
      const step = createStep({
        count: 1 + nextInteger(this.random, 4),
        isLongRunning: true,
        estimateMs: 20_000,
      });
      void this.cluster.submit(createId(5000 + index), createSpec([step]), 2);
    }
  }

  /** Makes some jobs scheduled, or bound to a label, and some steps wide. */
  private vary(spec: JobSpec, index: number): JobSpec {
    const kind = nextInteger(this.random, 10);
    const [first, ...others] = spec.steps;
    if (kind === 0) {
      const startAt = this.cluster.clock.wallTime() + 500;
      return {...spec, schedule: {times: 4, startAt, intervalMs: 3000}};
    }
    if (kind === 1) {
      return {...spec, steps: [{...first!, requiredLabel: 'a'}, ...others]};
    }
    if (kind === 2 && !first!.isGang) {
      return {...spec, steps: [{...first!, count: 40 + index}, ...others]};
    }
    return spec;
  }

  private submitHopelessJob(index: number): void {
    const step = createStep({
      count: 600,
      estimateMs: 500,
      requiredLabel: 'unknown',
    });
    void this.cluster.submit(
      createId(7000 + index),
      createSpec([step]),
      nextInteger(this.random, 3),
    );
  }

  private chooseBehavior(task: string): TaskBehavior {
    const step = this.cluster.auditor.findStep(task)!;
    const behavior: TaskBehavior = {
      work: step.isLongRunning ? Infinity : step.estimateMs,
      savesProgress: step.savesProgress,
      gangSize: step.isGang ? step.count : 1,
    };
    // What a task does must not depend on the order of calls.
    const choice = new SeededRandom(hash(`${task} ${this.seed}`));
    choice.next();
    if (this.has('crashing tasks') && choice.next() < this.faultyShare) {
      return {...behavior, crashesTargetAt: this.crashAge};
    }
    if (this.has('failing tasks') && choice.next() < this.faultyShare) {
      return {...behavior, work: step.estimateMs, failsAt: 0.2};
    }
    return behavior;
  }

  /** Asks a few instances for the states of jobs that were submitted lately. */
  private askForStates(index: number): void {
    const instances = this.cluster.listRunningInstances();
    for (const back of [1, 3, 6]) {
      const choice = nextInteger(this.callerRandom, 1000);
      const at = instances[choice % Math.max(1, instances.length)];
      if (index >= back && at) {
        void this.cluster.readState(createId(index - back + 1), at);
      }
    }
  }

  /** Does what is due between two submissions. */
  private disturb(): void {
    const {cluster} = this;
    const {fleet, log, desiredState, clock} = cluster;
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    const {info} = target;
    if (this.isDue('crashes of other causes', 0.2)) {
      fleet.onTargetCrash(target);
      return;
    }
    if (this.isDue('shrinking', 0.7)) {
      this.resize(this.random.next() < 0.3 ? this.listUp() : [target]);
    }
    if (this.isDue('odd entries', 0.5)) {
      this.sendOddEntry(info);
    }
    if (this.isDue('drains', 0.15)) {
      void this.drain(target);
    }
    if (this.isDue('evacuations', 0.1)) {
      desiredState.evacuated.add(info.domain);
      void clock
        .sleep(3000)
        .then(() => desiredState.evacuated.delete(info.domain));
    }
    if (this.isDue('unreachable targets', 0.15)) {
      fleet.faults.unreachableTargets.add(info.id);
      const duration = this.pick([700, 3000, 12_000]);
      void clock
        .sleep(duration)
        .then(() => fleet.faults.unreachableTargets.delete(info.id));
    }
    if (this.isDue('restarts', 0.15)) {
      void this.restart(target);
    }
    if (this.isDue('lost leaders', 0.15)) {
      const leader = cluster.findLeader();
      if (leader) {
        cluster.killInstance(leader.name);
        void clock
          .sleep(this.pick([300, 1500]))
          .then(() => cluster.startInstance(leader.name));
      }
    }
    if (this.has('late commands')) {
      fleet.faults.delayedCommands = 0.1;
    }
    if (this.isDue('log outages', 0.1)) {
      log.faults.silentTo.add('all');
      void clock
        .sleep(this.pick([500, 2500, 6000]))
        .then(() => log.faults.silentTo.clear());
    }
  }

  private resize(targets: readonly EmulatedTarget[]): void {
    const share = this.pick([0.1, 0.4, 0.4, 1]);
    for (const {info} of targets) {
      this.cluster.fleet.resizeTarget(info.id, {
        cpu: Math.floor(FULL.cpu * share),
        memoryMb: Math.floor(FULL.memoryMb * share),
        accelerators: Math.floor(FULL.accelerators * share),
      });
    }
  }

  /** Repeats an entry, sends an older one late, or removes one for a while. */
  private sendOddEntry(info: TargetInfo): void {
    const {fleet, clock} = this.cluster;
    const delay = nextInteger(this.random, 4000);
    if (this.random.next() < 0.3) {
      fleet.removeRegistration(info.id);
      void clock.sleep(delay).then(() => this.announce(info.id));
      return;
    }
    fleet.sendRegistration(info, delay);
    if (this.random.next() < 0.5) {
      const older = {...info, born: Math.max(0, info.born - 1)};
      fleet.sendRegistration(older, delay + 10);
    }
    void clock.sleep(delay + 1000).then(() => this.announce(info.id));
  }

  /** Writes what a target that is up says of itself, as each does now and then. */
  private announce(id: string): void {
    const target = this.cluster.fleet.targets.get(id);
    if (target?.isUp) {
      this.cluster.fleet.sendRegistration(target.info);
    }
  }

  private async drain({info}: EmulatedTarget): Promise<void> {
    const {fleet, clock} = this.cluster;
    const remainingMs = this.pick([0, 800, 4000]);
    fleet.updateRegistration({...info, isDraining: true, remainingMs});
    await clock.sleep(remainingMs + 500);
    fleet.crashTarget(info.id);
    await clock.sleep(500);
    const id = `new${this.nextTarget++}`;
    fleet.addTarget({...info, id, born: clock.wallTime()});
  }

  private async restart({info}: EmulatedTarget): Promise<void> {
    const {fleet, clock} = this.cluster;
    if (fleet.faults.keepsDeadConnections) {
      await fleet.restartTarget(info.id, this.pick([100, 1000]));
      return;
    }
    fleet.crashTarget(info.id);
    await clock.sleep(this.pick([100, 1000]));
    fleet.addTarget({...info, born: clock.wallTime()});
  }

  private calmDown(): void {
    const {fleet, log, desiredState} = this.cluster;
    fleet.faults.delayedCommands = 0;
    fleet.faults.delayedPolls = 0;
    fleet.faults.unreachableTargets.clear();
    log.faults.silentTo.clear();
    desiredState.evacuated.clear();
    if (this.has('shrinking') && this.random.next() < 0.7) {
      this.listUp().forEach(({info}) => fleet.resizeTarget(info.id, FULL));
    }
    this.listUp().forEach(({info}) => this.announce(info.id));
  }

  private has(kind: Kind): boolean {
    return this.kinds.has(kind);
  }

  private isDue(kind: Kind, probability: number): boolean {
    return this.has(kind) && this.random.next() < probability;
  }

  private listUp(): EmulatedTarget[] {
    return [...this.cluster.fleet.targets.values()].filter(
      ({isUp, info}) => isUp && !info.isDraining,
    );
  }

  private pickTarget(): EmulatedTarget | undefined {
    const up = this.listUp();
    return up[nextInteger(this.random, Math.max(1, up.length))];
  }

  private pick<T>(values: readonly T[]): T {
    return values[nextInteger(this.random, values.length)]!;
  }
}

function hash(text: string): number {
  let value = 7;
  for (const char of text) {
    value = (value * 31 + char.charCodeAt(0)) % 1_000_003;
  }
  return value;
}
