/** Plays one stream of jobs under one policy on an emulated cluster. */
import {
  DEFAULT_SETTINGS,
  type DispatchSettings,
  type EndKind,
  type SchedulingPolicy,
} from '@galenavalve/dispatch';
import {
  EmulatedCluster,
  type EmulatedInstance,
  type EmulatedRun,
  type EmulatedTarget,
  POOL,
} from '@galenavalve/emulator';
import type {Queue} from '@galenavalve/gateway';
import {
  type Instant,
  type Milliseconds,
  SeededRandom,
  nextInteger,
} from '@galenavalve/shared';
import {parseTaskName} from '@galenavalve/workload';
import {type StreamJob, STREAM_LENGTH_MS, countCores} from './job_stream.js';
import type {StreamFault, StreamPattern} from './stream_pattern.js';
import type {JobKind, WorkloadProfile} from './workload_profile.js';

/** Cores that an accelerator counts as in lost work. */
export const CORES_PER_ACCELERATOR = 8;

/** Time after the last submission until which jobs may end. */
const FINISH_MS: Milliseconds = 45_000;

/** Step of virtual time. */
const STEP_MS: Milliseconds = 20;

/** Interval at which callers ask for the state of their jobs. */
const STATE_INTERVAL_MS: Milliseconds = 100;

/** Delays after which a refused caller submits again; it then gives up. */
const RETRY_DELAYS_MS: readonly Milliseconds[] = [1050, 740, 520, 490];

/** Time that a leaving target gives its runs, and after which it is back, in milliseconds. */
const NOTICE_MS: Milliseconds = 2200;

/** Number of instances, and the time until one of them leads. */
const INSTANCES = 3;
const WARM_UP_MS: Milliseconds = 3000;

/** What became of one job, as its caller sees it. Times are from the start of the stream. */
export interface JobResult {
  job: StreamJob;
  acceptedAt?: Milliseconds;
  /** When the caller was first told of the end. */
  endedAt?: Milliseconds;
  state: 'refused' | 'active' | 'complete' | 'failed' | 'cancelled';
}

/** Result of one stream under one policy. */
export interface StreamResult {
  jobs: JobResult[];
  runs: number;
  stopped: number;
  /** Work that was thrown away, in core-seconds, by kind of end. */
  lostWork: Map<EndKind, number>;
  /** Broken promises that the auditor saw. */
  violations: readonly unknown[];
}

/** Plays `jobs`, the stream of `pattern` on the cluster of `profile`. */
export async function playStream(
  profile: WorkloadProfile,
  pattern: StreamPattern,
  jobs: readonly StreamJob[],
  policy: SchedulingPolicy,
  seed: number,
): Promise<StreamResult> {
  const run = new StreamRun(profile, pattern, jobs, policy, seed);
  return run.play();
}

class StreamRun {
  private readonly cluster: EmulatedCluster;
  private readonly queues: Map<string, Queue>;
  private readonly results: JobResult[];
  private readonly resultById: Map<string, JobResult>;
  private readonly random: SeededRandom;
  private readonly failedRuns = new Map<string, number>();
  private readonly lostWork = new Map<EndKind, number>();
  private runCount = 0;
  private stoppedCount = 0;
  private startedAt: Instant = 0;

  constructor(
    private readonly profile: WorkloadProfile,
    private readonly pattern: StreamPattern,
    jobs: readonly StreamJob[],
    policy: SchedulingPolicy,
    seed: number,
  ) {
    this.random = new SeededRandom(seed + 1_000_000);
    this.queues = new Map(
      profile.kinds.map(kind => [kind.name, createQueue(kind)]),
    );
    this.results = jobs.map(job => ({job, state: 'active'}));
    this.resultById = new Map(this.results.map(item => [item.job.id, item]));
    const settings: DispatchSettings = {
      ...DEFAULT_SETTINGS,
      maxLease: 6000,
      stopTime: 200,
      reclaimTime: 2700,
      restoreTime: 600,
    };
    this.cluster = new EmulatedCluster({
      seed,
      instances: INSTANCES,
      targets: profile.targets,
      targetsPerRack: profile.targetsPerRack,
      domains: profile.domains,
      targetCapacity: profile.target,
      settings,
      policy,
      queues: [...this.queues.values()],
      workspaces: Array.from({length: profile.workspaces}, (_, index) => ({
        name: `workspace-${index}`,
        keys: [`key-${index}`],
        guaranteedAccelerators: profile.guaranteedAccelerators,
      })),
      getTaskBehavior: task => this.getTaskBehavior(task),
    });
    this.cluster.fleet.observers.add({
      onEnd: (target, ended, kind) => this.onEnd(target, ended, kind),
    });
  }

  async play(): Promise<StreamResult> {
    const {cluster} = this;
    await cluster.advance(WARM_UP_MS);
    this.startedAt = cluster.clock.now();
    this.pattern.faults.forEach(fault => void this.inject(fault));
    this.results.forEach(result => void this.submit(result));
    const end = STREAM_LENGTH_MS + FINISH_MS;
    let nextStateAt = 0;
    while (this.now < end && !this.isFinished()) {
      await cluster.advance(STEP_MS);
      if (this.now >= nextStateAt) {
        nextStateAt = this.now + STATE_INTERVAL_MS;
        this.updateStates();
      }
    }
    const {violations} = cluster.auditor;
    cluster.close();
    return {
      jobs: this.results,
      runs: this.runCount,
      stopped: this.stoppedCount,
      lostWork: this.lostWork,
      violations: [...violations],
    };
  }

  /** Time since the start of the stream. */
  private get now(): Milliseconds {
    return this.cluster.clock.now() - this.startedAt;
  }

  private isFinished(): boolean {
    return (
      this.now > STREAM_LENGTH_MS &&
      this.results.every(({state}) => state !== 'active')
    );
  }

  /** Submits a job, again after refusals, and cancels it if its caller does. */
  private async submit(result: JobResult): Promise<void> {
    const {job} = result;
    const {clock} = this.cluster;
    await clock.sleep(job.submittedAt);
    for (let attempt = 0; ; attempt++) {
      const response = await this.cluster.submitTo(
        this.queues.get(job.kind.name)!,
        job.workspace,
        job.id,
        job.spec,
        this.pickEntry(job, attempt),
      );
      if (response.kind === 'accepted') {
        break;
      }
      const delay = RETRY_DELAYS_MS[attempt];
      if (delay === undefined) {
        result.state = 'refused';
        return;
      }
      await clock.sleep(delay);
    }
    result.acceptedAt = this.now;
    if (job.cancelledAt !== undefined) {
      await clock.sleep(Math.max(0, job.cancelledAt - this.now));
      if (result.state === 'active') {
        await this.cluster.cancel(job.id);
        result.state = 'cancelled';
      }
    }
  }

  /** Returns the instance that a caller's attempt reaches. */
  private pickEntry(job: StreamJob, attempt: number): EmulatedInstance {
    const running = this.cluster.listRunningInstances();
    return running[(parseInt(job.id, 16) + attempt) % running.length]!;
  }

  /** Records the ends that callers can see now. */
  private updateStates(): void {
    const instances = this.cluster.listRunningInstances();
    for (const result of this.results) {
      if (result.state !== 'active' || result.acceptedAt === undefined) {
        continue;
      }
      const {id} = result.job;
      const outcome = instances
        .map(({table}) => table.find(id)?.progress?.outcome)
        .find(found => found === 'complete' || found === 'failed');
      if (outcome === 'complete' || outcome === 'failed') {
        result.state = outcome;
        result.endedAt = this.now;
      }
    }
  }

  private getTaskBehavior(task: string) {
    const name = parseTaskName(task)!;
    const {job} = this.resultById.get(name.jobId)!;
    const step = job.spec.steps[name.step]!;
    const work = job.work[name.step]!;
    const failures = job.failures[name.step]![name.index]!;
    const failedRuns = this.failedRuns.get(task) ?? 0;
    this.runCount++;
    return {
      work: work[name.index]!,
      failsAt: failedRuns < failures ? 0.4 : undefined,
      savesProgress: step.savesProgress,
      gangSize: step.isGang ? step.count : 1,
      rackFactor: step.isRackSensitive
        ? DEFAULT_SETTINGS.rackFactor
        : undefined,
    };
  }

  private onEnd(target: EmulatedTarget, run: EmulatedRun, kind: EndKind): void {
    if (kind === 'failed' && !target.faults.failsAll) {
      this.failedRuns.set(run.task, (this.failedRuns.get(run.task) ?? 0) + 1);
    }
    this.stoppedCount += kind === 'stopped' ? 1 : 0;
    if (kind === 'done') {
      return;
    }
    const name = parseTaskName(run.task)!;
    const step = this.resultById.get(name.jobId)!.job.spec.steps[name.step]!;
    const unsaved = run.behavior.savesProgress
      ? 0
      : run.completedWork - run.resumedWork;
    const lost = (unsaved / 1000) * countCores(step, CORES_PER_ACCELERATOR);
    this.lostWork.set(kind, (this.lostWork.get(kind) ?? 0) + lost);
  }

  private async inject(fault: StreamFault): Promise<void> {
    const {clock, fleet, log} = this.cluster;
    const share = fault.share ?? 0;
    const chosen = this.chooseTargets(share);
    const duration = fault.until - fault.from;
    await clock.sleep(fault.from);
    switch (fault.kind) {
      case 'fail':
      case 'hang':
      case 'slow':
        chosen.forEach(({faults}) => {
          faults.failsAll = fault.kind === 'fail';
          faults.hangs = fault.kind === 'hang';
          faults.slowness = fault.kind === 'slow' ? (fault.factor ?? 1) : 1;
        });
        await clock.sleep(duration);
        chosen.forEach(({faults}) => {
          faults.failsAll = false;
          faults.hangs = false;
          faults.slowness = 1;
        });
        return;
      case 'cut':
      case 'domain-cut': {
        const cut = chosen.filter(() => fault.kind === 'cut');
        const isCut = (target: EmulatedTarget) =>
          fault.kind === 'cut'
            ? cut.includes(target)
            : target.info.domain === 'd0';
        const targets = [...fleet.targets.values()].filter(isCut);
        targets.forEach(({info}) =>
          fleet.faults.unreachableTargets.add(info.id),
        );
        await clock.sleep(duration);
        fleet.faults.unreachableTargets.clear();
        return;
      }
      case 'leave':
        chosen.forEach(target => void this.leave(target, duration));
        return;
      case 'late-commands':
        fleet.faults.delayedCommands = share;
        await clock.sleep(duration);
        fleet.faults.delayedCommands = 0;
        return;
      case 'log-silent':
        log.faults.silentTo.add('all');
        await clock.sleep(duration);
        log.faults.silentTo.clear();
        return;
      case 'log-slow':
        log.faults.slowness = fault.factor ?? 1;
        await clock.sleep(duration);
        log.faults.slowness = 1;
        return;
      case 'leader-killed': {
        const leader = this.cluster.findLeader();
        if (leader) {
          this.cluster.killInstance(leader.name);
        }
      }
    }
  }

  /** Announces that a target leaves, ends it after the notice, and starts a new incarnation later. */
  private async leave(
    target: EmulatedTarget,
    absence: Milliseconds,
  ): Promise<void> {
    const {clock, fleet} = this.cluster;
    const {info} = target;
    fleet.updateRegistration({
      ...info,
      isDraining: true,
      remainingMs: NOTICE_MS,
    });
    await clock.sleep(NOTICE_MS);
    fleet.crashTarget(info.id);
    await clock.sleep(absence);
    const born = info.born + Math.round(this.now);
    fleet.addTarget({...info, born, isDraining: false, remainingMs: undefined});
  }

  private chooseTargets(share: number): EmulatedTarget[] {
    const targets = [...this.cluster.fleet.targets.values()];
    const count = Math.round(targets.length * share);
    return Array.from({length: count}, () => {
      const index = nextInteger(this.random, targets.length);
      return targets.splice(index, 1)[0]!;
    });
  }
}

function createQueue(kind: JobKind): Queue {
  return {
    name: kind.name,
    host: 'h',
    pathPrefix: `/${kind.name}/`,
    isPublic: false,
    terms: {
      pool: POOL,
      priority: kind.priority,
      maxAttempts: kind.maxAttempts,
      stretch: kind.stretch,
      latencyMs: kind.latencyMs,
    },
  };
}
