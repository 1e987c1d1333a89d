/** One emulated instance: the components of the daemon, without its operating system process and sockets. */
import {
  type Advisor,
  DispatchService,
  type DispatchSettings,
  type SchedulingPolicy,
  type TargetPort,
  type TargetRegistry,
} from '@galenavalve/dispatch';
import {DesiredStateStore, Gateway} from '@galenavalve/gateway';
import {
  LeaderClient,
  LogPathTracker,
  PeerDirectory,
  PathProbe,
  type PeerEntry,
  type PeerJobClient,
  type PeerLogClient,
  RelayedLog,
  type SharedLog,
  announcePeer,
} from '@galenavalve/relay';
import type {Clock, Logger, Random} from '@galenavalve/shared';
import {
  Follower,
  JobTable,
  type OpenTaskLimit,
  type StoredRecord,
} from '@galenavalve/workload';

/** Time for which a read of the log waits for new records. */
const READ_WAIT_MS = 500;

/** Dependencies of an emulated instance. */
export interface InstanceDependencies {
  name: string;
  /** Processor share that the instance may use, in cores. */
  cores: number;
  log: SharedLog;
  peers: PeerLogClient;
  peerJobs: PeerJobClient;
  targets: TargetPort;
  advisor: Advisor;
  registry: TargetRegistry;
  desiredState: DesiredStateStore;
  settings: DispatchSettings;
  openTaskLimit: OpenTaskLimit;
  policy?: SchedulingPolicy;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** An instance that accepts jobs, follows the log and claims leadership. */
export class EmulatedInstance {
  readonly table: JobTable;
  readonly gateway: Gateway;
  readonly service: DispatchService;
  readonly logPath: LogPathTracker;
  private readonly follower: Follower;
  private readonly peerDirectory: PeerDirectory;
  private readonly log: RelayedLog;
  private readonly probe: PathProbe;

  constructor(private readonly dependencies: InstanceDependencies) {
    const {clock, random, logger, desiredState} = dependencies;
    this.peerDirectory = new PeerDirectory(this.createPeerEntry());
    this.logPath = new LogPathTracker(this.peerDirectory, '', random, logger);
    const log = new RelayedLog(
      'jobs',
      dependencies.log,
      this.logPath,
      dependencies.peers,
      clock,
      true,
    );
    this.log = log;
    this.table = new JobTable(logger);
    this.follower = new Follower(
      'jobs',
      log,
      {
        onRecord: record => this.applyRecord(record),
        readDelay: () => this.service.readDelay,
        onResponse: now => this.service.onLogResponse(now),
      },
      READ_WAIT_MS,
      clock,
      random,
      logger,
    );
    this.probe = new PathProbe(
      async () => {
        await dependencies.log.readTail(this.follower.nextOffset, 0);
      },
      this.logPath,
      clock,
    );
    this.service = new DispatchService(
      {
        table: this.table,
        log,
        targets: dependencies.targets,
        advisor: dependencies.advisor,
        rules: () => desiredState,
        settings: dependencies.settings,
        openTaskLimit: dependencies.openTaskLimit,
        policy: dependencies.policy,
        clock,
        random,
        logger,
      },
      this.follower,
      dependencies.registry,
      `${dependencies.name}/${clock.now()}`,
      () => this.peerDirectory.candidateRank,
    );
    this.gateway = new Gateway({
      openTaskLimit: dependencies.openTaskLimit,
      table: this.table,
      follower: this.follower,
      desiredState,
      log,
      leader: new LeaderClient(
        {
          jobs: this.service,
          applyRecord: record => this.applyRecord(record),
        },
        this.table,
        this.peerDirectory,
        dependencies.peerJobs,
        logger,
      ),
      clock,
      random,
      logger,
    });
  }

  get name(): string {
    return this.dependencies.name;
  }

  /** Starts to follow the log and to announce the instance to its peers. */
  start(): void {
    void this.follower.run();
    void this.probe.run();
    void this.service.run();
    const {clock, random, logger} = this.dependencies;
    const services = {
      log: this.log,
      peers: this.peerDirectory,
      clock,
      random,
      logger,
    };
    void announcePeer(this.createPeerEntry(), services);
  }

  /** Applies a record of the job log that was read or that a peer passed on. */
  applyRecord(record: StoredRecord): void {
    this.peerDirectory.apply(record);
    const applied = this.table.apply(record);
    if (applied) {
      this.service.onRecord(applied, this.dependencies.clock.now());
    }
  }

  /** Stops the instance as in a planned shutdown. */
  async stop(): Promise<void> {
    await this.service.close();
    this.follower.close();
    this.probe.close();
  }

  private createPeerEntry(): Omit<PeerEntry, 'writtenAt'> {
    const {name, cores} = this.dependencies;
    return {instance: name, host: name, port: 1, domain: '', cores};
  }
}
