/** One instance of the system in the simulated process: entry, scheduler and lease keeper. */
import {
  LedgerState,
  LogFollower,
  LogWriter,
  type MemoryLog,
} from '@galenavalve/ledger';
import {
  BacklogEstimator,
  type DaemonContext,
  chooseMove,
  settings,
} from '@galenavalve/daemon';
import {type Reason, createReason} from '@galenavalve/model';
import {GuaranteePolicy} from '@galenavalve/placement';
import {PolicyWithoutReclaim} from './policy_without_reclaim.js';
import {CellsProjection, Scheduler} from '@galenavalve/scheduler';
import {
  type Clock,
  Failure,
  type Instant,
  type Milliseconds,
  SeededRandom,
  SilentLogger,
  isFailure,
} from '@galenavalve/shared';
import {
  GangStarter,
  LeaseRenewer,
  type MemoryTargets,
  TargetFencer,
  TargetHealth,
} from '@galenavalve/targets';
import {FRESHNESS_BOUND_MS, type Guards} from './guards.js';
import {SimulatedProcess} from './simulated_process.js';

export const LEASE_MS: Milliseconds = 6000;
export const RENEW_MS: Milliseconds = 1000;
export const CALL_TIMEOUT_MS: Milliseconds = 500;
export const DOMAINS = ['d1', 'd2'];

/** What an instance is made of. */
export interface InstanceOptions {
  name: string;
  domain: string;
  seed: number;
  baseClock: Clock;
  log: MemoryLog;
  targets: MemoryTargets;
  guards: Guards;
}

/** One instance. */
export class Instance {
  readonly name: string;
  readonly domain: string;
  readonly process: SimulatedProcess;
  readonly state = new LedgerState();
  readonly scheduler: Scheduler;
  readonly writer: LogWriter;
  readonly follower: LogFollower;
  /** The parts that the commands of the daemon use. */
  readonly context: DaemonContext;
  private readonly mirrors = new Map<string, CellsProjection>();
  private readonly random: SeededRandom;
  private readonly clock: Clock;
  private readonly logger = new SilentLogger();
  private readonly policy: GuaranteePolicy;

  constructor(private readonly parts: InstanceOptions) {
    this.name = parts.name;
    this.domain = parts.domain;
    this.process = new SimulatedProcess(parts.baseClock);
    this.clock = this.process.createClock();
    this.random = new SeededRandom(parts.seed);
    this.policy = parts.guards.guarantees
      ? new GuaranteePolicy()
      : new PolicyWithoutReclaim();
    const {state, clock, random, logger} = this;
    const log = this.process.createLog(this.chooseLog());
    this.follower = new LogFollower({log, state, clock, random, logger});
    this.writer = new LogWriter({
      log,
      follower: this.follower,
      clock,
      random,
      logger,
      instance: parts.name,
    });
    this.scheduler = this.createScheduler();
    this.context = this.createNode();
    this.follower.onApplied(applied => {
      for (const mirror of this.mirrors.values()) {
        mirror.onApplied(applied);
      }
      this.scheduler.onApplied(applied);
    });
  }

  /** Whether it answers callers. */
  get isServing(): boolean {
    const isReady = this.follower.isCaughtUp || !this.parts.guards.catchUp;
    return !this.process.isDead && isReady;
  }

  /** Whether it could do the scheduler's work now. */
  isEligible(now: Instant): boolean {
    const isRunning =
      !this.process.isDead && this.process.getPauseDuration(now) === 0;
    return (
      isRunning &&
      now - (this.follower.getFreshAt() ?? -Infinity) < FRESHNESS_BOUND_MS
    );
  }

  start(): void {
    const never = new AbortController().signal;
    void this.follower.run(never);
    void this.writer.run(never);
    void this.scheduler.renewLeases(never);
  }

  kill(): void {
    this.process.isDead = true;
  }

  /** Claims its failure domain under the next term. */
  async claim(): Promise<void> {
    const present = this.state.getSchedulerTerm(this.domain);
    const log = (present?.log ?? 0) + 1;
    const term = {log, outage: 0, instance: this.name};
    try {
      const deadline = this.clock.now() + 3000;
      const body = {type: 'claimed' as const, domain: this.domain, term};
      const {accepted} = await this.writer.append(body, {deadline});
      const isPresent = this.state.getSchedulerTerm(this.domain)?.log === log;
      if (accepted && isPresent) {
        this.scheduler.activate(term);
      }
    } catch {
      // The next look at the domain claims again.
    }
  }

  private mirrorOf(domain: string): CellsProjection {
    const mirror =
      this.mirrors.get(domain) ??
      new CellsProjection(domain, this.state, this.policy);
    this.mirrors.set(domain, mirror);
    return mirror;
  }

  private findBar(
    now: Instant,
    targets: readonly string[],
  ): Reason | undefined {
    const {configuration} = this.state;
    const age = now - (this.follower.getFreshAt() ?? -Infinity);
    if (this.parts.guards.freshness && age > FRESHNESS_BOUND_MS) {
      return createReason('waiting-stale');
    }
    if (configuration.domains.get(this.domain)?.state !== 'in-service') {
      return createReason('waiting-domain', {domain: this.domain});
    }
    const out = targets.find(
      id => configuration.targets.get(id)?.state !== 'in-service',
    );
    return out === undefined
      ? undefined
      : createReason('waiting-targets', {target: out, problem: 'it is out'});
  }

  private createScheduler(): Scheduler {
    const {state, writer, policy, clock, random, logger} = this;
    const {targets, guards, name, domain} = this.parts;
    const client = this.process.createTargetClient(targets.createClient(name));
    const parts = {client, findAddress: targets.findAddress, clock, logger};
    const options = {callTimeoutMs: CALL_TIMEOUT_MS, leaseMs: LEASE_MS};
    return new Scheduler({
      domain,
      state,
      writer,
      policy,
      projection: this.mirrorOf(domain),
      clock,
      random,
      logger,
      client,
      findAddress: targets.findAddress,
      starter: new GangStarter({
        ...parts,
        options: {...options, reservationTtlMs: guards.reservationMs},
      }),
      leaseRenewer: new LeaseRenewer({
        ...parts,
        options: {...options, renewMs: RENEW_MS},
      }),
      targetFencer: new TargetFencer({...parts, options}),
      health: new TargetHealth(() => state.configuration.rules),
      findStartBlocker: (now, ids) => this.findBar(now, ids),
      chooseMove: (jobId, now) => chooseMove(this.context, jobId, now),
    });
  }

  /** A log that may lie about lost answers, to show that the check sees it. */
  private chooseLog(): MemoryLog {
    const {log, guards} = this.parts;
    if (guards.accurateLogErrors) {
      return log;
    }
    const append: MemoryLog['append'] = async (values, timeout) => {
      try {
        return await log.append(values, timeout);
      } catch (error) {
        const problem = 'nothing was written';
        throw isFailure(error, 'append-uncertain')
          ? new Failure('append-rejected', {problem})
          : error;
      }
    };
    return Object.assign(Object.create(log) as MemoryLog, {append});
  }

  /** Only what submitting and cancelling use of a daemon. */
  private createNode(): DaemonContext {
    const {state, clock, random, logger, follower, writer, policy} = this;
    const endpoint = {host: '127.0.0.1', port: 0};
    const node: Partial<DaemonContext> = {
      settings: settings.parse({
        instance: this.name,
        domain: this.domain,
        http: endpoint,
        peer: endpoint,
        platform: {
          logUrl: 'http://127.0.0.1:1',
          instanceListUrl: 'http://127.0.0.1:1',
        },
      }),
      state,
      clock,
      random,
      logger,
      follower,
      writer,
      policy,
      scheduler: this.scheduler,
      mesh: {isHeld: () => false} as unknown as DaemonContext['mesh'],
      stage: 'serving',
      backlogEstimator: new BacklogEstimator(state, domain =>
        this.mirrorOf(domain),
      ),
      getProjection: domain => this.mirrorOf(domain),
      listProjections: () => this.mirrors.values(),
    };
    return node as DaemonContext;
  }
}
