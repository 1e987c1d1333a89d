/** Exchanges heartbeats with peers, tracks which of them are alive and spreads holds by gossip. */
import {
  type Instant,
  type Milliseconds,
  describeError,
  isFailure,
} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import {
  type Heartbeat,
  type CompactHeartbeat,
  compactHeartbeat,
  decodeHeartbeat,
  encodeHeartbeat,
  toHeartbeatDetails,
} from './heartbeat.js';
import {pollInstanceList} from './instance_list_poller.js';
import {
  type HeartbeatExchange,
  HeartbeatExchangeTable,
  LocalDetails,
} from './heartbeat_exchange.js';
import {type PositionedHold, HoldRegistry} from './hold_registry.js';
import {chooseHeartbeatPeers} from './heartbeat_peers.js';
import {REMOTE_HEARTBEAT_RATIO, FailureDetector} from './failure_detector.js';
import {
  DEFAULT_MESH_OPTIONS,
  type PeerMeshOptions,
  type PeerMeshDependencies,
  type ReportListener,
} from './peer_mesh_options.js';
import {type PeerStatus, PeerTable, isEligible} from './peer_table.js';
import type {Hold} from './instance_report.js';
import {
  findLastHeardAt,
  computeSchedulerHeardAge,
} from './scheduler_liveness.js';

/** Method of the peer protocol that exchanges heartbeats. */
export const HEARTBEAT_METHOD = 'beat';

/** Number of heartbeat intervals without a heartbeat after which the passive side of a pair opens a connection too. */
const PASSIVE_SILENCE_HEARTBEATS = 2;

/** The mesh of this instance and its peers. */
export class PeerMesh {
  private readonly options: PeerMeshOptions;
  private readonly table: PeerTable;
  private readonly holdRegistry = new HoldRegistry();
  private readonly exchanges: HeartbeatExchangeTable;
  private readonly failureDetector: FailureDetector;
  private readonly listeners: ReportListener[] = [];
  private readonly ownDetails: LocalDetails;
  /** Aborted to start the next round early. */
  private wakeUp = new AbortController();
  private round = 0;
  /** Whether a hold was added since the last round. */
  private hasNewHolds = false;

  constructor(private readonly dependencies: PeerMeshDependencies) {
    this.options = {...DEFAULT_MESH_OPTIONS, ...dependencies.options};
    const {self, seeds, clock, server, random, logger} = dependencies;
    this.ownDetails = new LocalDetails(random);
    this.exchanges = new HeartbeatExchangeTable(this.ownDetails);
    this.table = new PeerTable(self.instance, seeds, clock.now());
    const {suspectMs} = this.options;
    this.failureDetector = new FailureDetector(
      self.domain,
      this.table,
      suspectMs,
      logger,
    );
    server.handle(HEARTBEAT_METHOD, compactHeartbeat, async (compact, from) =>
      this.onHeartbeat(from, decodeHeartbeat(compact)),
    );
  }

  /** Exchanges heartbeats and polls the instance list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const polling = pollInstanceList(
      {
        ...this.dependencies,
        intervalMs: this.options.listIntervalMs,
        table: this.table,
      },
      signal,
    );
    await Promise.all([this.runHeartbeats(signal), polling]);
  }

  /** Returns all known peers; never includes this instance. */
  listPeers(): PeerStatus[] {
    return this.table.list();
  }

  /** Returns whether an instance is alive according to the failure detector. This instance is always alive. */
  isAlive(instance: string, now: Instant): boolean {
    const status = this.table.get(instance);
    return (
      instance === this.dependencies.self.instance ||
      (status !== undefined && this.failureDetector.isAlive(status, now))
    );
  }

  /** Returns the instances of a failure domain that are alive, including this one. */
  listAlive(domain: string, now: Instant): string[] {
    const {self} = this.dependencies;
    const others = this.failureDetector
      .listAlive(domain, now)
      .map(peer => peer.address.instance);
    return self.domain === domain ? [self.instance, ...others] : others;
  }

  /** Returns the instances of a failure domain that are eligible for roles: alive, ready and not leaving. */
  listEligible(domain: string, now: Instant): string[] {
    const {self, createReport} = this.dependencies;
    const eligiblePeers = this.failureDetector
      .listAlive(domain, now)
      .filter(isEligible)
      .map(peer => peer.address.instance);
    const {ready, leaving} = createReport();
    const isSelfEligible = self.domain === domain && ready && !leaving;
    return isSelfEligible ? [self.instance, ...eligiblePeers] : eligiblePeers;
  }

  /** Returns when a scheduler of this failure domain was last heard, directly or according to the reports of peers. */
  findLastHeardAt(instance: string): Instant | undefined {
    return findLastHeardAt(
      this.listPeers(),
      this.dependencies.self.domain,
      instance,
    );
  }

  /** Returns the peer protocol address of an instance; undefined when it is not known. */
  findAddress(instance: string): PeerAddress | undefined {
    return this.table.get(instance)?.address;
  }

  /** Registers a listener that is called for every received report. */
  addReportListener(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Calls a method of a peer. Throws `peer-unavailable` when the address of the peer is not known. */
  async call(
    instance: string,
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    const address = this.findAddress(instance) ?? {instance, host: '', port: 0};
    return this.dependencies.client.call(address, method, body, timeoutMs);
  }

  /** Adds a hold on this instance and spreads it to the peers immediately. */
  addHold(hold: Hold): void {
    const offset = hold.offset ?? this.dependencies.createReport().offset;
    if (this.holdRegistry.add({...hold, offset})) {
      this.dependencies.logger.info('hold-added', {...hold, offset});
      this.triggerRound();
    }
  }

  /** Returns the holds in force. */
  listHolds(): PositionedHold[] {
    return this.holdRegistry.list();
  }

  /** Returns whether a hold takes an entity such as "target/w1" out of service. */
  isHeld(entity: string): boolean {
    return this.holdRegistry.isHeld(entity);
  }

  /** Handles an accepted configuration record about `entity`, which ends a hold with the same or a lower offset. */
  onEntityAccepted(entity: string, offset: number): void {
    const ended = this.holdRegistry.onEntityAccepted(entity, offset);
    if (ended) {
      this.dependencies.logger.info('hold-ended', {...ended, endedBy: offset});
    }
  }

  private async runHeartbeats(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.dependencies;
    signal.addEventListener('abort', () => this.wakeUp.abort(), {once: true});
    while (!signal.aborted) {
      this.sendHeartbeats();
      this.hasNewHolds = false;
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(this.options.heartbeatMs * jitter, this.wakeUp.signal);
      if (!signal.aborted) {
        this.wakeUp = new AbortController();
      }
    }
  }

  private triggerRound(): void {
    this.hasNewHolds = true;
    this.wakeUp.abort();
  }

  private sendHeartbeats(): void {
    const {self, clock} = this.dependencies;
    const now = clock.now();
    this.round += 1;
    this.exchanges.retain(peer => this.table.get(peer) !== undefined);
    const peers = chooseHeartbeatPeers(
      self,
      this.listPeers(),
      this.options.peersPerRemoteDomain,
      peer => this.failureDetector.isAlive(peer, now),
    );
    for (const peer of peers) {
      this.failureDetector.logLivenessChange(peer, now);
      if (this.isDue(peer) && this.isInitiator(peer, now)) {
        void this.exchangeHeartbeat(peer);
      }
    }
  }

  /** Returns whether a heartbeat to a peer is due: remote domains get fewer heartbeats, but new holds immediately. */
  private isDue(peer: PeerStatus): boolean {
    const isInOwnDomain = this.failureDetector.isInOwnDomain(peer);
    return (
      isInOwnDomain ||
      this.hasNewHolds ||
      this.round % REMOTE_HEARTBEAT_RATIO === 0
    );
  }

  /**
   * Returns whether this side of a pair sends the heartbeat. Within a failure
   * domain only one side opens a connection; the other does so only after
   * `PASSIVE_SILENCE_HEARTBEATS` intervals without a heartbeat.
   */
  private isInitiator(peer: PeerStatus, now: Instant): boolean {
    const {self} = this.dependencies;
    if (peer.domain !== self.domain || self.instance < peer.address.instance) {
      return true;
    }
    const silenceMs = now - Math.max(peer.lastHeardAt, peer.knownSince);
    return silenceMs > PASSIVE_SILENCE_HEARTBEATS * this.options.heartbeatMs;
  }

  private async exchangeHeartbeat(peer: PeerStatus): Promise<void> {
    const {instance} = peer.address;
    const exchange = this.exchanges.getOrCreate(instance);
    if (exchange.isPending) {
      return;
    }
    exchange.isPending = true;
    try {
      const response = await this.sendWithRetry(peer, exchange);
      this.applyHeartbeat(
        instance,
        decodeHeartbeat(compactHeartbeat.parse(response)),
      );
    } catch (error) {
      // The failure detector suspects a peer that does not respond.
      this.dependencies.logger.debug('beat-failed', {
        peer: instance,
        problem: describeError(error),
      });
    } finally {
      exchange.isPending = false;
    }
  }

  /** Sends a heartbeat, and retries once after a timeout: the connection may have stalled, and the retry opens a new one. */
  private async sendWithRetry(
    peer: PeerStatus,
    exchange: HeartbeatExchange,
  ): Promise<unknown> {
    const {client} = this.dependencies;
    const send = () =>
      client.call(
        peer.address,
        HEARTBEAT_METHOD,
        this.createHeartbeat(exchange),
        this.options.heartbeatMs,
      );
    try {
      return await send();
    } catch (error) {
      if (!isFailure(error, 'peer-timeout')) {
        throw error;
      }
      return send();
    }
  }

  private onHeartbeat(from: string, heartbeat: Heartbeat): CompactHeartbeat {
    this.applyHeartbeat(from, heartbeat);
    return this.createHeartbeat(this.exchanges.getOrCreate(from));
  }

  private createHeartbeat(exchange: HeartbeatExchange): CompactHeartbeat {
    const {createReport, self, clock} = this.dependencies;
    const now = clock.now();
    const ownReport = createReport();
    this.ownDetails.update(
      toHeartbeatDetails(ownReport, self, this.holdRegistry.list()),
    );
    const status = {
      offset: ownReport.offset,
      freshnessAgeMs: ownReport.freshnessAgeMs,
      schedulerHeardAgeMs: computeSchedulerHeardAge(
        this.listPeers(),
        self.domain,
        now,
      ),
      load: ownReport.load,
    };
    return encodeHeartbeat(exchange.createHeartbeat(status, now));
  }

  private applyHeartbeat(from: string, heartbeat: Heartbeat): void {
    const now = this.dependencies.clock.now();
    const received = this.exchanges.getOrCreate(from).receive(heartbeat);
    if (!received) {
      return;
    }
    const {report, details, madeAfter} = received;
    const {host, port, domain} = details;
    const status = this.table.upsert({instance: from, host, port, domain}, now);
    if (!status) {
      return;
    }
    this.table.applyReport(status, report, madeAfter, now);
    this.applyHolds(report.holds);
    for (const listener of this.listeners) {
      listener({report, madeAfter, receivedAt: now});
    }
  }

  private applyHolds(holds: readonly Hold[]): void {
    let hasChanged = false;
    for (const hold of holds) {
      hasChanged =
        this.holdRegistry.add({...hold, offset: hold.offset ?? 0}) ||
        hasChanged;
    }
    if (hasChanged) {
      this.triggerRound();
    }
  }
}
