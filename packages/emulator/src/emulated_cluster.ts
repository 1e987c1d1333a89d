/** A whole installation in virtual time: instances, targets, the log and an auditor. */
import {
  type Advisor,
  DEFAULT_SETTINGS,
  type DispatchSettings,
  NoAdvisor,
  type TargetInfo,
} from '@galenavalve/dispatch';
import {DesiredStateStore, type Queue} from '@galenavalve/gateway';
import {
  type Logger,
  ManualClock,
  SeededRandom,
  SilentLogger,
} from '@galenavalve/shared';
import type {AcceptedJob, JobSpec} from '@galenavalve/workload';
import {parseTaskName} from '@galenavalve/workload';
import {EmulatedFleet} from './emulated_fleet.js';
import {EmulatedInstance} from './emulated_instance.js';
import {EmulatedLog} from './emulated_log.js';
import {EmulatedPeerNetwork} from './emulated_peer_network.js';
import type {TaskBehavior} from './emulated_target.js';
import {InstanceClock, EmulatedProcess} from './emulated_process.js';
import {RunAuditor} from './run_auditor.js';

/** Virtual time between two looks at the callers, in milliseconds. */
const PACE = 10;

/** Size of an installation. */
export interface EmulatedClusterOptions {
  seed: number;
  instances: number;
  targets: number;
  targetsPerRack: number;
  domains: number;
  logger: Logger;
  settings: DispatchSettings;
  advisor: Advisor;
  /** Processor of an instance, in cores. */
  getCores: (name: string) => number;
  /** What really happens to tasks, unless a job says otherwise. */
  getTaskBehavior: (
    task: string,
    installation: EmulatedCluster,
  ) => TaskBehavior;
}

/** Names the emulated queues use. */
export const POOL = 'pool';

/** An emulated installation. */
export class EmulatedCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly random: SeededRandom;
  readonly log: EmulatedLog;
  readonly fleet: EmulatedFleet;
  readonly peers = new EmulatedPeerNetwork(this.clock);
  readonly auditor = new RunAuditor();
  readonly desired = new DesiredStateStore();
  readonly instances = new Map<string, EmulatedInstance>();
  readonly jobs = new Map<string, AcceptedJob>();
  private readonly powers = new Map<string, EmulatedProcess>();
  private readonly options: EmulatedClusterOptions;
  private isOver = false;

  constructor(options: Partial<EmulatedClusterOptions> = {}) {
    this.options = {
      seed: 1,
      instances: 3,
      targets: 9,
      targetsPerRack: 3,
      domains: 3,
      logger: new SilentLogger(),
      settings: DEFAULT_SETTINGS,
      advisor: new NoAdvisor(),
      getCores: () => 1,
      getTaskBehavior: defaultFate,
      ...options,
    };
    this.random = new SeededRandom(this.options.seed);
    this.log = new EmulatedLog(this.clock, this.random);
    this.fleet = new EmulatedFleet(
      this.clock,
      this.random,
      this.options.settings,
      task => this.options.getTaskBehavior(task, this),
      this.auditor,
    );
    this.desired.apply({
      version: 1,
      queues: [0, 1, 2].map(createQueue),
      workspaces: [{name: 'w', keys: ['k'], guaranteedAccelerators: 16}],
    });
    for (let index = 0; index < this.options.targets; index++) {
      this.fleet.addTarget(this.createTarget(index));
    }
    for (let index = 0; index < this.options.instances; index++) {
      this.startInstance(`instance-${index}`);
    }
    void this.fleet.run(() => this.isOver);
  }

  /** Starts an instance, anew if it was killed. */
  startInstance(name: string): EmulatedInstance {
    const power = new EmulatedProcess();
    const log = power.wrap(this.log.createClient(name));
    const instance = new EmulatedInstance({
      name,
      cores: this.options.getCores(name),
      log,
      peers: power.wrap(this.peers.createPeerLogClient(name)),
      targets: power.wrap(this.fleet.createTargetPort()),
      advisor: power.wrap(this.options.advisor),
      registry: power.wrap(this.fleet.createTargetRegistry()),
      desired: this.desired,
      settings: this.options.settings,
      clock: new InstanceClock(this.clock, power),
      random: this.random,
      logger: this.options.logger,
    });
    this.powers.set(name, power);
    this.instances.set(name, instance);
    this.peers.add(name, {log, access: instance.access});
    instance.start();
    return instance;
  }

  /** An instance loses power. */
  killInstance(name: string): void {
    this.powers.get(name)!.isRunning = false;
  }

  /** The instance that dispatches, if one does. */
  findLeader(): EmulatedInstance | undefined {
    return [...this.instances.values()].find(
      ({name, service}) =>
        this.powers.get(name)!.isRunning && service.isDispatching,
    );
  }

  /** Lets virtual time pass. */
  async advance(duration: number): Promise<void> {
    await this.clock.advance(duration);
  }

  /** Lets time pass until `isReached`; false after `limit` milliseconds without. */
  async waitUntil(isReached: () => boolean, limit: number): Promise<boolean> {
    const end = this.clock.now() + limit;
    while (!isReached() && this.clock.now() < end) {
      await this.clock.advance(PACE);
    }
    return isReached();
  }

  /** Hands a job in at an instance; the answer is still to come. */
  submit(
    id: string,
    spec: JobSpec,
    priority = 1,
    at = this.pickInstance(),
    needsAdvice = false,
  ): ReturnType<EmulatedInstance['gateway']['submit']> {
    const queue = createQueue(priority);
    queue.terms.needsAdvice = needsAdvice || undefined;
    const job: AcceptedJob = {
      queue: queue.name,
      workspace: 'w',
      acceptedAt: this.clock.wallTime(),
      terms: queue.terms,
      spec,
    };
    this.jobs.set(id, job);
    this.auditor.onSubmitted(id, job);
    const call = {queue, workspace: 'w', jobId: id, timeout: 3000};
    return at.gateway.submit(call, spec);
  }

  /** Cancels a job at an instance. */
  async cancel(id: string, at = this.pickInstance()): Promise<void> {
    const queue = createQueue(this.jobs.get(id)!.terms.priority);
    const call = {queue, workspace: 'w', jobId: id, timeout: 3000};
    const answer = await at.gateway.cancel(call);
    if (answer.kind === 'cancelled') {
      this.auditor.onCancelled(id, this.clock.now());
    }
  }

  /** State of a job as the first living instance folds it. */
  getJobState(id: string): string | undefined {
    const instance = this.pickInstance();
    const entry = instance.table.find(id);
    return entry?.progress?.outcome ?? (entry ? 'active' : undefined);
  }

  /** Ends the emulation; what sleeps stays asleep. */
  close(): void {
    this.isOver = true;
    for (const power of this.powers.values()) {
      power.isRunning = false;
    }
  }

  /** The life of a target that is started anew. */
  async restartTarget(id: string): Promise<void> {
    const {info} = this.fleet.targets.get(id)!;
    this.fleet.crashTarget(id);
    await this.advance(100);
    this.fleet.addTarget({...info, born: info.born + 100});
  }

  private createTarget(index: number): TargetInfo {
    const {domains, targetsPerRack} = this.options;
    return {
      id: `t${index}`,
      born: 1,
      address: `target-${index}`,
      pool: POOL,
      domain: `d${index % domains}`,
      rack: `r${Math.floor(index / targetsPerRack)}`,
      labels: ['a', `r${Math.floor(index / targetsPerRack)}`],
      capacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
      isDraining: false,
    };
  }

  private pickInstance(): EmulatedInstance {
    const living = [...this.instances.values()].filter(
      ({name}) => this.powers.get(name)!.isRunning,
    );
    const caughtUp = living.find(({gateway}) => gateway.isReady);
    return caughtUp ?? living[0]!;
  }
}

/** A queue of the given priority. */
export function createQueue(priority: number): Queue {
  return {
    name: `queue-${priority}`,
    host: 'h',
    pathPrefix: `/${priority}/`,
    isPublic: false,
    terms: {
      pool: POOL,
      priority,
      maxAttempts: 3,
      stretch: 3,
      latencyMs: 1000,
    },
  };
}

/** Every run takes what was estimated and succeeds. */
function defaultFate(
  task: string,
  installation: EmulatedCluster,
): TaskBehavior {
  const name = parseTaskName(task)!;
  const step = installation.jobs.get(name.jobId)?.spec.steps[name.step];
  return {
    work: step?.estimateMs ?? 1000,
    savesProgress: step?.savesProgress ?? false,
    gangSize: step?.isGang ? step.count : 1,
  };
}
