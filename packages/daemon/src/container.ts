/** Dependency injection container of a daemon, by inversify. Binds the adapters for the platform. */
import {Container} from 'inversify';
import {
  type LedgerOptions,
  LedgerState,
  type Log,
  LogFollower,
  LogWriter,
  SnapshotWriter,
  StateRestorer,
} from '@galenavalve/ledger';
import {FreshnessTracker, PeerMesh, RecordCache} from '@galenavalve/membership';
import type {InstanceList} from '@galenavalve/membership';
import {GuaranteePolicy, findGuaranteeFailure} from '@galenavalve/placement';
import {
  HttpInstanceList,
  HttpLog,
  HttpTargetClient,
} from '@galenavalve/platform';
import {CellsProjection, Scheduler} from '@galenavalve/scheduler';
import {
  type Clock,
  type Logger,
  type Random,
  SeededRandom,
  hashText,
} from '@galenavalve/shared';
import {
  GangStarter,
  LeaseRenewer,
  TargetFencer,
  type TargetAddress,
  type TargetClient,
  TargetHealth,
} from '@galenavalve/targets';
import {PeerClient, PeerServer} from '@galenavalve/wire';
import {BacklogEstimator} from './backlog_estimator.js';
import {Daemon} from './daemon.js';
import {JobWaiters} from './job_waiters.js';
import type {DaemonContext} from './daemon_context.js';
import {Metrics} from './observability/metrics.js';
import {listStateSources} from './roles/peer_catch_up.js';
import {ObservableInstanceList} from './roles/observable_instance_list.js';
import {RecordCachingLog} from './roles/record_caching_log.js';
import {createInstanceReport} from './roles/instance_report.js';
import {chooseMove} from './roles/queue_moves.js';
import {findStartBlocker} from './roles/start_blocker.js';
import type {Settings} from './settings/settings.js';
import {tokens} from './tokens.js';

/** Creates the container of a daemon. Rebind a platform token to inject another adapter. */
export function createContainer(
  settings: Settings,
  clock: Clock,
  logger: Logger,
): Container {
  const container = new Container({defaultScope: 'Singleton'});
  container.bind(tokens.settings).toConstantValue(settings);
  container.bind(tokens.clock).toConstantValue(clock);
  container.bind(tokens.logger).toConstantValue(logger);
  const seed = parseInt(hashText(settings.instance).slice(0, 8), 16);
  container
    .bind(tokens.random)
    .toConstantValue(new SeededRandom((seed ^ Date.now()) | 0));
  bindPlatform(container, settings);
  bindLedger(container);
  bindPeers(container);
  bindContext(container);
  container
    .bind(Daemon)
    .toDynamicValue(context => createDaemon(name => context.get(name)));
  return container;
}

/** Resolves a token in the container. */
type Getter = <T>(name: symbol) => T;

function bindPlatform(container: Container, settings: Settings): void {
  const {logUrl, instanceListUrl} = settings.platform;
  container
    .bind<Log>(tokens.platformLog)
    .toDynamicValue(() => new HttpLog({baseUrl: logUrl}));
  container.bind(tokens.recordCache).toDynamicValue(() => new RecordCache());
  container
    .bind<Log>(tokens.log)
    .toDynamicValue(
      context =>
        new RecordCachingLog(
          context.get(tokens.platformLog),
          context.get(tokens.recordCache),
        ),
    );
  container
    .bind<InstanceList>(tokens.platformList)
    .toDynamicValue(() => new HttpInstanceList({baseUrl: instanceListUrl}));
  container
    .bind(tokens.instanceList)
    .toDynamicValue(
      context => new ObservableInstanceList(context.get(tokens.platformList)),
    );
  container
    .bind<TargetClient>(tokens.targetClient)
    .toDynamicValue(() => new HttpTargetClient());
  container
    .bind<GuaranteePolicy>(tokens.policy)
    .toDynamicValue(() => new GuaranteePolicy());
}

function bindLedger(container: Container): void {
  // The parameters of the fold are not settings, because they must be the same on every instance.
  container
    .bind<Partial<LedgerOptions>>(tokens.ledgerOptions)
    .toConstantValue({validateConfiguration: findGuaranteeFailure});
  container
    .bind(tokens.state)
    .toDynamicValue(
      context => new LedgerState(context.get(tokens.ledgerOptions)),
    );
  container.bind(tokens.follower).toDynamicValue(context => {
    const {timings} = context.get<Settings>(tokens.settings);
    return new LogFollower({
      log: context.get(tokens.log),
      state: context.get(tokens.state),
      clock: context.get(tokens.clock),
      random: context.get(tokens.random),
      logger: context.get(tokens.logger),
      restorer: new StateRestorer({
        log: context.get(tokens.log),
        logger: context.get(tokens.logger),
        listSources: () =>
          listStateSources(context.get<DaemonContext>(tokens.context)),
        ledgerOptions: context.get(tokens.ledgerOptions),
      }),
      options: {
        readWait: timings.logWaitMs,
        readTimeout: timings.platformTimeoutMs,
      },
    });
  });
  container.bind(tokens.writer).toDynamicValue(context => {
    const {instance, limits, timings} = context.get<Settings>(tokens.settings);
    return new LogWriter({
      log: context.get(tokens.log),
      follower: context.get(tokens.follower),
      clock: context.get(tokens.clock),
      random: context.get(tokens.random),
      logger: context.get(tokens.logger),
      instance,
      options: {
        queueRecords: limits.pendingAppends,
        appendsPerSecond: limits.appendsPerSecond,
        appendTimeout: timings.platformTimeoutMs,
      },
    });
  });
}

function bindPeers(container: Container): void {
  container.bind(tokens.freshness).toDynamicValue(() => new FreshnessTracker());
  container.bind(tokens.peerServer).toDynamicValue(context => {
    const {instance, peer} = context.get<Settings>(tokens.settings);
    return new PeerServer({
      ...peer,
      instance,
      clock: context.get(tokens.clock),
      logger: context.get(tokens.logger),
    });
  });
  container.bind(tokens.peerClient).toDynamicValue(context => {
    const {instance} = context.get<Settings>(tokens.settings);
    return new PeerClient({
      instance,
      clock: context.get(tokens.clock),
      random: context.get(tokens.random),
      logger: context.get(tokens.logger),
    });
  });
  container.bind(tokens.mesh).toDynamicValue(context => {
    const {instance, domain, peer, seeds, timings} = context.get<Settings>(
      tokens.settings,
    );
    return new PeerMesh({
      self: {instance, domain, ...peer},
      client: context.get(tokens.peerClient),
      server: context.get(tokens.peerServer),
      instanceList: context.get(tokens.instanceList),
      seeds,
      clock: context.get(tokens.clock),
      random: context.get(tokens.random),
      logger: context.get(tokens.logger),
      createReport: () =>
        createInstanceReport(context.get<DaemonContext>(tokens.context)),
      options: {
        heartbeatMs: timings.heartbeatMs,
        suspectMs: timings.suspectMs,
      },
    });
  });
}

function bindContext(container: Container): void {
  container
    .bind<DaemonContext>(tokens.context)
    .toDynamicValue(context => createDaemonContext(name => context.get(name)));
}

function createDaemonContext(get: Getter): DaemonContext {
  const state = get<LedgerState>(tokens.state);
  const clock = get<Clock>(tokens.clock);
  const policy = get<GuaranteePolicy>(tokens.policy);
  const projections = new Map<string, CellsProjection>();
  const getProjection = (domain: string): CellsProjection => {
    const projection =
      projections.get(domain) ?? new CellsProjection(domain, state, policy);
    projections.set(domain, projection);
    return projection;
  };
  const daemonContext: Omit<DaemonContext, 'scheduler'> = {
    settings: get(tokens.settings),
    clock,
    random: get<Random>(tokens.random),
    logger: get<Logger>(tokens.logger),
    metrics: new Metrics(),
    log: get<Log>(tokens.platformLog),
    state,
    follower: get(tokens.follower),
    writer: get(tokens.writer),
    policy,
    mesh: get(tokens.mesh),
    freshness: get(tokens.freshness),
    backlogEstimator: new BacklogEstimator(state, getProjection),
    waiters: new JobWaiters(state, clock),
    stage: 'starting',
    getProjection,
    listProjections: () => projections.values(),
  };
  return Object.assign(daemonContext, {
    scheduler: createScheduler(daemonContext as DaemonContext, get),
  });
}

function createScheduler(context: DaemonContext, get: Getter): Scheduler {
  const {settings, state, clock, logger} = context;
  const {timings} = settings;
  const client = get<TargetClient>(tokens.targetClient);
  const findAddress = (id: string): TargetAddress | undefined => {
    const target = state.configuration.targets.get(id);
    return target && {id, endpoint: target.endpoint};
  };
  const targetDependencies = {client, findAddress, clock, logger};
  return new Scheduler({
    domain: settings.domain,
    state,
    writer: context.writer,
    policy: context.policy,
    projection: context.getProjection(settings.domain),
    client,
    findAddress,
    starter: new GangStarter({
      ...targetDependencies,
      options: {
        reservationTtlMs: timings.reservationMs,
        callTimeoutMs: timings.targetTimeoutMs,
        leaseMs: timings.leaseMs,
      },
    }),
    leaseRenewer: new LeaseRenewer({
      ...targetDependencies,
      options: {
        leaseMs: timings.leaseMs,
        renewMs: timings.renewMs,
        callTimeoutMs: timings.targetTimeoutMs,
      },
    }),
    targetFencer: new TargetFencer({
      ...targetDependencies,
      options: {callTimeoutMs: timings.targetTimeoutMs},
    }),
    health: new TargetHealth(() => state.configuration.rules),
    clock,
    random: context.random,
    logger,
    findStartBlocker: (now, targets) => findStartBlocker(context, now, targets),
    chooseMove: (jobId, now) => chooseMove(context, jobId, now),
  });
}

function createDaemon(get: Getter): Daemon {
  const context = get<DaemonContext>(tokens.context);
  return new Daemon(context, {
    peerServer: get(tokens.peerServer),
    peerClient: get(tokens.peerClient),
    recordCache: get(tokens.recordCache),
    instanceList: get(tokens.instanceList),
    snapshotWriter: new SnapshotWriter({
      follower: context.follower,
      writer: context.writer,
      clock: context.clock,
      random: context.random,
      logger: context.logger,
      instance: context.settings.instance,
    }),
  });
}
