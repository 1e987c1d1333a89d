/** Instance of the system in a simulated process: entry, scheduler and lease renewer. */
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

/** Duration of a lease. */
export const LEASE_MS: Milliseconds = 6000;
/** Interval between lease renewals. */
export const RENEW_MS: Milliseconds = 1000;
/** Timeout of a call to a target. */
export const CALL_TIMEOUT_MS: Milliseconds = 500;
/** Failure domains of the simulated cluster. */
export const DOMAINS = ['d1', 'd2'];

/** Options of an instance. */
export interface InstanceOptions {
  name: string;
  domain: string;
  seed: number;
  /** Virtual clock of the cluster. */
  baseClock: Clock;
  log: MemoryLog;
  targets: MemoryTargets;
  guards: Guards;
}

/** Instance that shares the log, the targets and the virtual clock of its cluster. */
export class Instance {
  readonly name: string;
  readonly domain: string;
  readonly process: SimulatedProcess;
  readonly state = new LedgerState();
  readonly scheduler: Scheduler;
  readonly writer: LogWriter;
  readonly follower: LogFollower;
  /** Context for the daemon's request handlers. */
  readonly context: DaemonContext;
  private readonly projections = new Map<string, CellsProjection>();
  private readonly random: SeededRandom;
  private readonly clock: Clock;
  private readonly logger = new SilentLogger();
  private readonly policy: GuaranteePolicy;

  constructor(private readonly options: InstanceOptions) {
    this.name = options.name;
    this.domain = options.domain;
    this.process = new SimulatedProcess(options.baseClock);
    this.clock = this.process.createClock();
    this.random = new SeededRandom(options.seed);
    this.policy = options.guards.guarantees
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
      instance: options.name,
    });
    this.scheduler = this.createScheduler();
    this.context = this.createContext();
    this.follower.onApplied(applied => {
      for (const projection of this.projections.values()) {
        projection.onApplied(applied);
      }
      this.scheduler.onApplied(applied);
    });
  }

  /** Whether the instance serves callers. */
  get isServing(): boolean {
    const isReady = this.follower.isCaughtUp || !this.options.guards.catchUp;
    return !this.process.isDead && isReady;
  }

  /** Whether the instance can act as a scheduler: it runs, and its log is fresh. */
  isEligible(now: Instant): boolean {
    const isRunning =
      !this.process.isDead && this.process.getPauseDuration(now) === 0;
    return (
      isRunning &&
      now - (this.follower.getFreshAt() ?? -Infinity) < FRESHNESS_BOUND_MS
    );
  }

  /** Starts the background loops, which run until the process is killed. */
  start(): void {
    const neverAborted = new AbortController().signal;
    void this.follower.run(neverAborted);
    void this.writer.run(neverAborted);
    void this.scheduler.renewLeases(neverAborted);
  }

  /** Kills the process: its pending calls never settle. */
  kill(): void {
    this.process.isDead = true;
  }

  /** Claims the instance's failure domain under the next term. */
  async claim(): Promise<void> {
    const current = this.state.getSchedulerTerm(this.domain);
    const log = (current?.log ?? 0) + 1;
    const term = {log, outage: 0, instance: this.name};
    try {
      const deadline = this.clock.now() + 3000;
      const body = {type: 'claimed' as const, domain: this.domain, term};
      const {accepted} = await this.writer.append(body, {deadline});
      const isCurrent = this.state.getSchedulerTerm(this.domain)?.log === log;
      if (accepted && isCurrent) {
        this.scheduler.activate(term);
      }
    } catch {
      // The cluster has an instance claim again while the domain has no scheduler.
    }
  }

  /** Returns the projection of a domain: its cells, derived from the ledger. Creates it at first use. */
  private getProjection(domain: string): CellsProjection {
    const projection =
      this.projections.get(domain) ??
      new CellsProjection(domain, this.state, this.policy);
    this.projections.set(domain, projection);
    return projection;
  }

  /** Returns the reason why work may not start on `targets` now, if any. */
  private findStartBlocker(
    now: Instant,
    targets: readonly string[],
  ): Reason | undefined {
    const {configuration} = this.state;
    const ageMs = now - (this.follower.getFreshAt() ?? -Infinity);
    if (this.options.guards.freshness && ageMs > FRESHNESS_BOUND_MS) {
      return createReason('waiting-stale');
    }
    if (configuration.domains.get(this.domain)?.state !== 'in-service') {
      return createReason('waiting-domain', {domain: this.domain});
    }
    const unavailable = targets.find(
      id => configuration.targets.get(id)?.state !== 'in-service',
    );
    return unavailable === undefined
      ? undefined
      : createReason('waiting-targets', {
          target: unavailable,
          problem: 'it is out of service',
        });
  }

  private createScheduler(): Scheduler {
    const {state, writer, policy, clock, random, logger} = this;
    const {targets, guards, name, domain} = this.options;
    const client = this.process.createTargetClient(targets.createClient(name));
    const dependencies = {
      client,
      findAddress: targets.findAddress,
      clock,
      logger,
    };
    const timing = {callTimeoutMs: CALL_TIMEOUT_MS, leaseMs: LEASE_MS};
    return new Scheduler({
      domain,
      state,
      writer,
      policy,
      projection: this.getProjection(domain),
      clock,
      random,
      logger,
      client,
      findAddress: targets.findAddress,
      starter: new GangStarter({
        ...dependencies,
        options: {...timing, reservationTtlMs: guards.reservationMs},
      }),
      leaseRenewer: new LeaseRenewer({
        ...dependencies,
        options: {...timing, renewMs: RENEW_MS},
      }),
      targetFencer: new TargetFencer({...dependencies, options: timing}),
      health: new TargetHealth(() => state.configuration.rules),
      findStartBlocker: (now, ids) => this.findStartBlocker(now, ids),
      chooseMove: (jobId, now) => chooseMove(this.context, jobId, now),
    });
  }

  /**
   * Returns the log. Without accurate log errors, appends of uncertain outcome
   * are reported as rejected, so that tests show that the checks detect it.
   */
  private chooseLog(): MemoryLog {
    const {log, guards} = this.options;
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

  /** Creates a context with only those members that submitting and cancelling use. */
  private createContext(): DaemonContext {
    const {state, clock, random, logger, follower, writer, policy} = this;
    const endpoint = {host: '127.0.0.1', port: 0};
    const context: Partial<DaemonContext> = {
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
        this.getProjection(domain),
      ),
      getProjection: domain => this.getProjection(domain),
      listProjections: () => this.projections.values(),
    };
    return context as DaemonContext;
  }
}
