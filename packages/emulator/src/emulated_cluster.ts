/** An emulated cluster: instances, targets, log, network and auditor in virtual time. */
import {
  type Advisor,
  DEFAULT_SETTINGS,
  type DispatchSettings,
  type SchedulingPolicy,
  NoAdvisor,
  type TargetInfo,
} from '@galenavalve/dispatch';
import {
  DesiredStateStore,
  type GatewayResponse,
  type Queue,
  type Workspace,
} from '@galenavalve/gateway';
import {
  type Logger,
  ManualClock,
  SeededRandom,
  SilentLogger,
} from '@galenavalve/shared';
import type {
  AcceptedJob,
  Demand,
  JobSpec,
  OpenTaskLimit,
  StoredRecord,
} from '@galenavalve/workload';
import {
  computeOpenTaskLimit,
  formatAcceptedKey,
  parseTaskName,
} from '@galenavalve/workload';
import type {ClusterView, ObservedJob, ObservedTarget} from './cluster_view.js';
import {Disturbances} from './disturbances.js';
import {EmulatedFleet} from './emulated_fleet.js';
import {EmulatedInstance} from './emulated_instance.js';
import {EmulatedLog} from './emulated_log.js';
import {EmulatedPeerNetwork} from './emulated_peer_network.js';
import type {TaskBehavior} from './emulated_target.js';
import {InstanceClock, EmulatedProcess} from './emulated_process.js';
import {IdleJobCheck} from './idle_job_check.js';
import {RunAuditor} from './run_auditor.js';

/** Virtual time between two checks of the condition in `waitUntil`. */
const CLOCK_STEP_MS = 10;

/** Heap of an instance; that of the deployed ones. */
const INSTANCE_HEAP_BYTES = 120 * 2 ** 20;

/** Interval at which the cluster is looked at for idle jobs. */
const OBSERVATION_INTERVAL_MS = 100;

/** Size, settings and task behavior of an emulated cluster. */
export interface EmulatedClusterOptions {
  seed: number;
  instances: number;
  targets: number;
  targetsPerRack: number;
  /** Number of failure domains. */
  domains: number;
  targetCapacity: Demand;
  logger: Logger;
  settings: DispatchSettings;
  /** Open tasks that instances accept. */
  openTaskLimit: OpenTaskLimit;
  advisor: Advisor;
  /** Scheduling policy of the leader; that of the dispatcher unless given. */
  policy?: SchedulingPolicy;
  /** Whether targets refuse starts that do not fit. */
  guardsCapacity: boolean;
  queues: Queue[];
  workspaces: Workspace[];
  /** Returns the processor share of an instance, in cores. */
  getCores: (name: string) => number;
  /** Returns the behavior of a task; by default it takes the estimated time and succeeds. */
  getTaskBehavior: (task: string, cluster: EmulatedCluster) => TaskBehavior;
}

/** Pool of all emulated targets and queues. */
export const POOL = 'pool';

/** Builds an emulated cluster and controls its time, instances, jobs and targets. */
export class EmulatedCluster {
  readonly clock = new ManualClock(1_000_000);
  readonly random: SeededRandom;
  readonly log: EmulatedLog;
  /** The emulated targets and the network between them and the instances. */
  readonly fleet: EmulatedFleet;
  readonly peers = new EmulatedPeerNetwork(this.clock);
  readonly auditor = new RunAuditor();
  /** Times of faults and changes. */
  readonly disturbances = new Disturbances();
  /** Whether submissions and faults ended so long ago that no job may be idle. */
  isEndDue = false;
  private readonly idleJobs = new IdleJobCheck(this.auditor.violations);
  /** Instances that told a caller that they accepted a job, by job. */
  private readonly acceptedBy = new Map<string, Set<EmulatedInstance>>();
  /** Jobs that callers asked to cancel. */
  private readonly cancelled = new Set<string>();
  readonly desiredState = new DesiredStateStore();
  readonly instances = new Map<string, EmulatedInstance>();
  readonly jobs = new Map<string, AcceptedJob>();
  private readonly processes = new Map<string, EmulatedProcess>();
  private readonly options: EmulatedClusterOptions;
  private isClosed = false;

  constructor(options: Partial<EmulatedClusterOptions> = {}) {
    this.options = {
      seed: 1,
      instances: 3,
      targets: 9,
      targetsPerRack: 3,
      domains: 3,
      targetCapacity: {cpu: 64_000, memoryMb: 131_072, accelerators: 8},
      logger: new SilentLogger(),
      settings: DEFAULT_SETTINGS,
      openTaskLimit: computeOpenTaskLimit(INSTANCE_HEAP_BYTES),
      advisor: new NoAdvisor(),
      guardsCapacity: false,
      queues: [0, 1, 2].map(createQueue),
      workspaces: [{name: 'w', keys: ['k'], guaranteedAccelerators: 16}],
      getCores: () => 1,
      getTaskBehavior: createDefaultBehavior,
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
      this.disturbances,
    );
    this.fleet.guardsCapacity = this.options.guardsCapacity;
    this.desiredState.apply({
      version: 1,
      queues: this.options.queues,
      workspaces: this.options.workspaces,
    });
    for (let index = 0; index < this.options.targets; index++) {
      this.fleet.addTarget(this.createTarget(index));
    }
    for (let index = 0; index < this.options.instances; index++) {
      this.startInstance(`instance-${index}`);
    }
    void this.fleet.run(() => this.isClosed);
    void this.observe();
  }

  /** Starts an instance, or a new incarnation of one that was killed. */
  startInstance(name: string): EmulatedInstance {
    this.disturbances.record(this.clock.now());
    const process = new EmulatedProcess();
    const log = process.wrap(this.log.createClient(name));
    const instance = new EmulatedInstance({
      name,
      cores: this.options.getCores(name),
      log,
      peers: process.wrap(this.peers.createPeerLogClient(name)),
      peerJobs: process.wrap(this.peers.createPeerJobClient(name)),
      targets: process.wrap(this.fleet.createTargetPort()),
      advisor: process.wrap(this.options.advisor),
      registry: process.wrap(this.fleet.createTargetRegistry()),
      desiredState: this.desiredState,
      settings: this.options.settings,
      openTaskLimit: this.options.openTaskLimit,
      policy: this.options.policy,
      clock: new InstanceClock(this.clock, process),
      random: this.random,
      logger: this.options.logger,
    });
    this.processes.set(name, process);
    this.instances.set(name, instance);
    const leader = {
      jobs: instance.service,
      applyRecord: (record: StoredRecord) => instance.applyRecord(record),
    };
    this.peers.add(name, {
      log,
      logPath: instance.logPath,
      leader,
      isRunning: () => process.isRunning,
    });
    instance.start();
    return instance;
  }

  /** Kills an instance without a shutdown. */
  killInstance(name: string): void {
    this.disturbances.record(this.clock.now());
    this.processes.get(name)!.isRunning = false;
  }

  /** Returns the running instance that dispatches, if there is one. */
  findLeader(): EmulatedInstance | undefined {
    return [...this.instances.values()].find(
      ({name, service}) =>
        this.processes.get(name)!.isRunning && service.isDispatching,
    );
  }

  /** Advances virtual time by `duration` milliseconds. */
  async advance(duration: number): Promise<void> {
    await this.clock.advance(duration);
  }

  /** Advances virtual time until `isReached` returns true; returns false if it does not within `limit` milliseconds. */
  async waitUntil(isReached: () => boolean, limit: number): Promise<boolean> {
    const end = this.clock.now() + limit;
    while (!isReached() && this.clock.now() < end) {
      await this.clock.advance(CLOCK_STEP_MS);
    }
    return isReached();
  }

  /** Submits a job at an instance; the promise settles when virtual time advances. */
  submit(
    id: string,
    spec: JobSpec,
    priority = 1,
    at = this.pickInstance(),
    needsAdvice = false,
  ): ReturnType<EmulatedInstance['gateway']['submit']> {
    const queue = createQueue(priority);
    queue.terms.needsAdvice = needsAdvice || undefined;
    return this.submitTo(queue, 'w', id, spec, at);
  }

  /** Submits a job of a workspace to a queue at an instance. */
  submitTo(
    queue: Queue,
    workspace: string,
    id: string,
    spec: JobSpec,
    at = this.pickInstance(),
  ): ReturnType<EmulatedInstance['gateway']['submit']> {
    const job: AcceptedJob = {
      queue: queue.name,
      workspace,
      acceptedAt: this.clock.wallTime(),
      terms: queue.terms,
      spec,
    };
    this.jobs.set(id, job);
    this.auditor.onSubmitted(id, job);
    const request = {queue, workspace, jobId: id, timeout: 3000};
    return this.trackAccepted(id, at, at.gateway.submit(request, spec));
  }

  /** Lists the jobs that callers were told are accepted. */
  listAcceptedJobs(): readonly string[] {
    return this.auditor.listAcceptedJobs();
  }

  private async trackAccepted(
    id: string,
    at: EmulatedInstance,
    submission: ReturnType<EmulatedInstance['gateway']['submit']>,
  ): ReturnType<EmulatedInstance['gateway']['submit']> {
    const response = await submission;
    if (response.kind === 'accepted') {
      this.auditor.onAccepted(id, this.clock.now());
      const instances = this.acceptedBy.get(id) ?? new Set();
      this.acceptedBy.set(id, instances.add(at));
    }
    return response;
  }

  /** Looks for idle jobs until the cluster is closed. */
  private async observe(): Promise<void> {
    while (!this.isClosed) {
      await this.clock.sleep(OBSERVATION_INTERVAL_MS);
      const now = this.clock.now();
      if (this.hasStandingFault()) {
        this.disturbances.record(now);
      }
      this.idleJobs.observe(
        this.createView(),
        duration => this.disturbances.isCalmFor(duration, now),
        this.isEndDue,
        now,
      );
    }
  }

  private hasStandingFault(): boolean {
    const {log, fleet} = this;
    const {silentTo, busyTo, lostAnswers, slowness, hiddenFrom} = log.faults;
    return (
      silentTo.size > 0 ||
      busyTo.size > 0 ||
      lostAnswers > 0 ||
      slowness !== 1 ||
      hiddenFrom !== undefined ||
      fleet.faults.delayedCommands > 0 ||
      fleet.faults.unreachableTargets.size > 0 ||
      this.listRunningInstances().length < this.instances.size ||
      [...fleet.targets.values()].some(
        ({faults, info}) =>
          faults.hangs ||
          faults.failsAll ||
          faults.slowness > 1 ||
          info.isDraining,
      )
    );
  }

  private createView(): ClusterView {
    const {auditor} = this;
    return {
      jobs: this.listOpenJobs(),
      targets: this.listObservedTargets(),
      isDone: task => auditor.doneTasks.has(task),
      findStep: task => auditor.findStep(task),
      wallTime: this.clock.wallTime(),
    };
  }

  private listOpenJobs(): ObservedJob[] {
    if (this.listRunningInstances().length === 0) {
      return [];
    }
    const {table} = this.pickInstance();
    const open = this.listAcceptedJobs().filter(id => {
      const outcome = table.find(id)?.progress?.outcome ?? 'active';
      return outcome === 'active' && !this.cancelled.has(id);
    });
    return open.map(id => ({
      id,
      job: this.jobs.get(id)!,
      mayBeLostUntil: this.auditor.findLastCrash(id) + this.fleet.crashNotice,
      describe: () => {
        const progress = table.find(id)?.progress?.read();
        return `progress ${JSON.stringify(progress ?? 'none').slice(0, 1000)}`;
      },
    }));
  }

  private listObservedTargets(): ObservedTarget[] {
    const {evacuated} = this.desiredState;
    const {unreachableTargets} = this.fleet.faults;
    return [...this.fleet.targets.values()]
      .filter(({isUp}) => isUp)
      .map(({info, runs}) => ({
        info,
        tasks: [...runs.keys()],
        isOpen:
          !info.isDraining &&
          !evacuated.has(info.domain) &&
          !unreachableTargets.has(info.id),
      }));
  }

  /** Cancels a job at an instance and records an acknowledged cancellation with the auditor. A job that is unknown, as callers are told, must not run later either. */
  async cancel(id: string, at = this.pickInstance()): Promise<void> {
    this.cancelled.add(id);
    const {terms, queue: name, workspace} = this.jobs.get(id)!;
    const queue = {...createQueue(terms.priority), name, terms};
    const request = {queue, workspace, jobId: id, timeout: 3000};
    const call = at.gateway.cancel(request);
    const isKnowable = () => this.log.isReadable(formatAcceptedKey(id));
    const response = await this.auditResponse(id, call, isKnowable);
    if (response.kind === 'cancelled' || response.kind === 'unknown-job') {
      this.auditor.onCancelled(id, this.clock.now());
    }
  }

  /** Asks an instance for the state of a job, as a caller does; returns the kind of the response if it has no state. */
  async readState(id: string, at = this.pickInstance()): Promise<string> {
    const {terms, queue: name, workspace} = this.jobs.get(id)!;
    const queue = {...createQueue(terms.priority), name, terms};
    const request = {queue, workspace, jobId: id, timeout: 3000};
    const call = at.gateway.getState(request);
    const isOwn = this.acceptedBy.get(id)?.has(at) ?? false;
    const key = formatAcceptedKey(id);
    // An instance need not read a record to know that it was written by itself.
    const isKnowable = () =>
      isOwn ? this.log.isStored(key) : this.log.isReadable(key);
    const response = await this.auditResponse(id, call, isKnowable);
    if (response.kind !== 'state') {
      return response.kind;
    }
    if (response.state === 'complete') {
      this.auditor.onShownAsComplete(id, this.clock.now());
    }
    return response.state;
  }

  /** Reports a response that denies a job of which the instance could know throughout the call. */
  private async auditResponse(
    id: string,
    call: Promise<GatewayResponse>,
    isKnowable: () => boolean,
  ): Promise<GatewayResponse> {
    const askedAt = this.clock.now();
    const wasKnowable = isKnowable();
    const response = await call;
    if (response.kind === 'unknown-job' && wasKnowable && isKnowable()) {
      this.auditor.onShownAsUnknown(id, askedAt, this.clock.now());
    }
    return response;
  }

  /** Returns the state of a job at a running instance; undefined if that instance does not know the job. */
  getJobState(id: string): string | undefined {
    const instance = this.pickInstance();
    const entry = instance.table.find(id);
    const outcome = entry?.progress?.outcome;
    if (outcome === 'failed') {
      this.auditor.onShownAsFailed(id, this.clock.now());
    }
    return outcome ?? (entry ? 'active' : undefined);
  }

  /** Ends the emulation; pending calls of the instances never settle. */
  close(): void {
    this.isClosed = true;
    for (const process of this.processes.values()) {
      process.isRunning = false;
    }
  }

  /** Crashes a target and starts a new incarnation of it 100 ms later. */
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
      born: 1000,
      address: `target-${index}`,
      pool: POOL,
      domain: `d${index % domains}`,
      rack: `r${Math.floor(index / targetsPerRack)}`,
      labels: ['a', `r${Math.floor(index / targetsPerRack)}`],
      capacity: this.options.targetCapacity,
      isDraining: false,
    };
  }

  /** Returns the running instances in the order of their start. */
  listRunningInstances(): EmulatedInstance[] {
    return [...this.instances.values()].filter(
      ({name}) => this.processes.get(name)!.isRunning,
    );
  }

  /** Returns a running instance, preferably a ready one. */
  private pickInstance(): EmulatedInstance {
    const running = this.listRunningInstances();
    const ready = running.find(({gateway}) => gateway.isReady);
    return ready ?? running[0]!;
  }
}

/** Returns a queue of the given priority. */
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

/** Returns the default behavior: the run takes the estimated time and succeeds; a long-running one goes on. */
function createDefaultBehavior(
  task: string,
  cluster: EmulatedCluster,
): TaskBehavior {
  const name = parseTaskName(task)!;
  const step = cluster.jobs.get(name.jobId)?.spec.steps[name.step];
  return {
    work: step?.isLongRunning ? Infinity : (step?.estimateMs ?? 1000),
    savesProgress: step?.savesProgress ?? false,
    gangSize: step?.isGang ? step.count : 1,
  };
}
