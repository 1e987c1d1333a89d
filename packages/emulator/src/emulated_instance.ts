/** One instance of the daemon's parts, without its processes and sockets. */
import {
  type Advisor,
  DispatchService,
  type DispatchSettings,
  type TargetPort,
  type TargetRegistry,
} from '@galenavalve/dispatch';
import {DesiredStateStore, Gateway} from '@galenavalve/gateway';
import {
  LogPathTracker,
  PeerDirectory,
  type PeerEntry,
  type PeerLogClient,
  RelayedLog,
  type SharedLog,
  announcePeer,
} from '@galenavalve/relay';
import type {Clock, Logger, Random} from '@galenavalve/shared';
import {Follower, JobTable} from '@galenavalve/workload';

/** A read of the log waits this long, in milliseconds. */
const READ_WAIT = 500;

/** What an instance is wired to. */
export interface InstanceDependencies {
  name: string;
  /** Processor that it may use, in cores. */
  cores: number;
  log: SharedLog;
  peers: PeerLogClient;
  targets: TargetPort;
  advisor: Advisor;
  registry: TargetRegistry;
  desired: DesiredStateStore;
  settings: DispatchSettings;
  clock: Clock;
  random: Random;
  logger: Logger;
}

/** A running instance. */
export class EmulatedInstance {
  readonly table: JobTable;
  readonly gateway: Gateway;
  readonly service: DispatchService;
  readonly access: LogPathTracker;
  private readonly follower: Follower;
  private readonly book: PeerDirectory;
  private readonly log: RelayedLog;

  constructor(private readonly wiring: InstanceDependencies) {
    const {clock, random, logger, desired} = wiring;
    this.book = new PeerDirectory(this.describe());
    this.access = new LogPathTracker(this.book, '', random, logger);
    const log = new RelayedLog(
      'jobs',
      wiring.log,
      this.access,
      wiring.peers,
      clock,
      true,
    );
    this.log = log;
    this.table = new JobTable(logger);
    this.follower = new Follower(
      'jobs',
      log,
      {
        onRecord: record => {
          this.book.apply(record);
          const applied = this.table.apply(record);
          if (applied) {
            this.service.onRecord(applied, clock.now());
          }
        },
        readDelay: () => this.service.readDelay,
        onResponse: now => this.service.onLogResponse(now),
      },
      READ_WAIT,
      clock,
      random,
      logger,
    );
    this.service = new DispatchService(
      {
        table: this.table,
        log,
        targets: wiring.targets,
        advisor: wiring.advisor,
        rules: () => desired,
        settings: wiring.settings,
        clock,
        random,
        logger,
      },
      this.follower,
      wiring.registry,
      `${wiring.name}/${clock.now()}`,
      () => this.book.candidateRank,
    );
    this.gateway = new Gateway({
      table: this.table,
      follower: this.follower,
      desiredState: desired,
      log,
      clock,
      random,
      logger,
    });
  }

  get name(): string {
    return this.wiring.name;
  }

  start(): void {
    void this.follower.run();
    void this.service.run();
    const {clock, random, logger} = this.wiring;
    const parts = {log: this.log, peers: this.book, clock, random, logger};
    void announcePeer(this.describe(), parts);
  }

  /** A planned stop. */
  async stop(): Promise<void> {
    await this.service.close();
    this.follower.close();
  }

  private describe(): Omit<PeerEntry, 'writtenAt'> {
    const {name, cores} = this.wiring;
    return {instance: name, host: name, port: 1, domain: '', cores};
  }
}
