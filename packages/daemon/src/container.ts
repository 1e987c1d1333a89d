/** Binds the parts of a daemon, by inversify. Adapters for the platform are injected here. */
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

/** Creates the container of one daemon. Rebind a platform token to inject another adapter. */
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
  bindNode(container);
  container
    .bind(Daemon)
    .toDynamicValue(context => createDaemon(name => context.get(name)));
  return container;
}

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
  // The fold's parameters are no settings: they must be the same on every instance.
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

function bindNode(container: Container): void {
  container
    .bind<DaemonContext>(tokens.context)
    .toDynamicValue(context => createNode(name => context.get(name)));
}

function createNode(get: Getter): DaemonContext {
  const state = get<LedgerState>(tokens.state);
  const clock = get<Clock>(tokens.clock);
  const policy = get<GuaranteePolicy>(tokens.policy);
  const mirrors = new Map<string, CellsProjection>();
  const mirrorOf = (domain: string): CellsProjection => {
    const mirror =
      mirrors.get(domain) ?? new CellsProjection(domain, state, policy);
    mirrors.set(domain, mirror);
    return mirror;
  };
  const node: Omit<DaemonContext, 'scheduler'> = {
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
    backlogEstimator: new BacklogEstimator(state, mirrorOf),
    waiters: new JobWaiters(state, clock),
    stage: 'starting',
    getProjection: mirrorOf,
    listProjections: () => mirrors.values(),
  };
  return Object.assign(node, {
    scheduler: createScheduler(node as DaemonContext, get),
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
  const parts = {client, findAddress, clock, logger};
  return new Scheduler({
    domain: settings.domain,
    state,
    writer: context.writer,
    policy: context.policy,
    projection: context.getProjection(settings.domain),
    client,
    findAddress,
    starter: new GangStarter({
      ...parts,
      options: {
        reservationTtlMs: timings.reservationMs,
        callTimeoutMs: timings.targetTimeoutMs,
        leaseMs: timings.leaseMs,
      },
    }),
    leaseRenewer: new LeaseRenewer({
      ...parts,
      options: {
        leaseMs: timings.leaseMs,
        renewMs: timings.renewMs,
        callTimeoutMs: timings.targetTimeoutMs,
      },
    }),
    targetFencer: new TargetFencer({
      ...parts,
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
  const node = get<DaemonContext>(tokens.context);
  return new Daemon(node, {
    peerServer: get(tokens.peerServer),
    peerClient: get(tokens.peerClient),
    recordCache: get(tokens.recordCache),
    instanceList: get(tokens.instanceList),
    snapshotWriter: new SnapshotWriter({
      follower: node.follower,
      writer: node.writer,
      clock: node.clock,
      random: node.random,
      logger: node.logger,
      instance: node.settings.instance,
    }),
  });
}
