/** Exchanges heartbeats with peers, and knows which of them are alive. */
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

/** Method of the peer protocol that exchanges beats. */
export const HEARTBEAT_METHOD = 'beat';

/** Quiet heartbeats after which the passive end of a pair opens a connection too. */
const PASSIVE_PATIENCE = 2;

/** The peers of this instance. */
export class PeerMesh {
  private readonly options: PeerMeshOptions;
  private readonly table: PeerTable;
  private readonly book = new HoldRegistry();
  private readonly exchanges: HeartbeatExchangeTable;
  private readonly liveness: FailureDetector;
  private readonly listeners: ReportListener[] = [];
  private readonly ownDetails: LocalDetails;
  private wake = new AbortController();
  private round = 0;
  /** A hold was added since the last round. */
  private hasNews = false;

  constructor(private readonly settings: PeerMeshDependencies) {
    this.options = {...DEFAULT_MESH_OPTIONS, ...settings.options};
    const {self, seeds, clock, server, random, logger} = settings;
    this.ownDetails = new LocalDetails(random);
    this.exchanges = new HeartbeatExchangeTable(this.ownDetails);
    this.table = new PeerTable(self.instance, seeds, clock.now());
    const {suspectMs} = this.options;
    this.liveness = new FailureDetector(
      self.domain,
      this.table,
      suspectMs,
      logger,
    );
    server.handle(HEARTBEAT_METHOD, compactHeartbeat, async (compact, from) =>
      this.onBeat(from, decodeHeartbeat(compact)),
    );
  }

  /** Exchanges beats and reads the list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const listed = pollInstanceList(
      {
        ...this.settings,
        intervalMs: this.options.listIntervalMs,
        table: this.table,
      },
      signal,
    );
    await Promise.all([this.runBeats(signal), listed]);
  }

  /** All known peers, without this instance. */
  listPeers(): PeerStatus[] {
    return this.table.list();
  }

  /** Tells whether an instance was heard within the suspicion time. This instance is always alive. */
  isAlive(instance: string, now: Instant): boolean {
    const status = this.table.get(instance);
    return (
      instance === this.settings.self.instance ||
      (status !== undefined && this.liveness.isAlive(status, now))
    );
  }

  /** Instances of a failure domain that are alive, this one included. */
  listAlive(domain: string, now: Instant): string[] {
    const {self} = this.settings;
    const others = this.liveness
      .listAlive(domain, now)
      .map(peer => peer.address.instance);
    return self.domain === domain ? [self.instance, ...others] : others;
  }

  /** Alive instances of a failure domain that may take over roles: ready and not leaving. */
  listEligible(domain: string, now: Instant): string[] {
    const {self, createReport: report} = this.settings;
    const fit = this.liveness
      .listAlive(domain, now)
      .filter(isEligible)
      .map(peer => peer.address.instance);
    const {ready, leaving} = report();
    const isSelfFit = self.domain === domain && ready && !leaving;
    return isSelfFit ? [self.instance, ...fit] : fit;
  }

  /** When a scheduler of this failure domain was last heard, directly or by a peer's word. */
  findLastHeardAt(instance: string): Instant | undefined {
    return findLastHeardAt(
      this.listPeers(),
      this.settings.self.domain,
      instance,
    );
  }

  /** Where an instance is reached; undefined when it is not known. */
  findAddress(instance: string): PeerAddress | undefined {
    return this.table.get(instance)?.address;
  }

  /** Registers a listener for reports. */
  addReportListener(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Calls a method of a peer. Throws `peer-unavailable` when its address is not known. */
  async call(
    instance: string,
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    const address = this.findAddress(instance) ?? {instance, host: '', port: 0};
    return this.settings.client.call(address, method, body, timeoutMs);
  }

  /** Puts a hold in force here and, at once, at every peer in reach. */
  addHold(hold: Hold): void {
    const offset = hold.offset ?? this.settings.createReport().offset;
    if (this.book.add({...hold, offset})) {
      this.settings.logger.info('hold-added', {...hold, offset});
      this.tellNews();
    }
  }

  /** The holds in force. */
  listHolds(): PositionedHold[] {
    return this.book.list();
  }

  /** Tells whether a hold takes an entity out, such as "target/w1". */
  isHeld(entity: string): boolean {
    return this.book.isHeld(entity);
  }

  /** Notes an accepted configuration record about `entity`; it ends older holds. */
  onEntityAccepted(entity: string, offset: number): void {
    const ended = this.book.onEntityAccepted(entity, offset);
    if (ended) {
      this.settings.logger.info('hold-ended', {...ended, endedBy: offset});
    }
  }

  private async runBeats(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.settings;
    signal.addEventListener('abort', () => this.wake.abort(), {once: true});
    while (!signal.aborted) {
      this.beatAll();
      this.hasNews = false;
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(this.options.heartbeatMs * jitter, this.wake.signal);
      if (!signal.aborted) {
        this.wake = new AbortController();
      }
    }
  }

  private tellNews(): void {
    this.hasNews = true;
    this.wake.abort();
  }

  private beatAll(): void {
    const {self, clock} = this.settings;
    const now = clock.now();
    this.round += 1;
    this.exchanges.retain(peer => this.table.get(peer) !== undefined);
    const links = chooseHeartbeatPeers(
      self,
      this.listPeers(),
      this.options.peersPerRemoteDomain,
      peer => this.liveness.isAlive(peer, now),
    );
    for (const peer of links) {
      this.liveness.logLivenessChange(peer, now);
      if (this.isDue(peer) && this.isInitiator(peer, now)) {
        void this.beat(peer);
      }
    }
  }

  /** Peers of other failure domains are sent a beat less often, but news at once. */
  private isDue(peer: PeerStatus): boolean {
    const isNear = this.liveness.isInOwnDomain(peer);
    return isNear || this.hasNews || this.round % REMOTE_HEARTBEAT_RATIO === 0;
  }

  /** One end of a pair in the same failure domain opens the connection; the other only after a silence. */
  private isInitiator(peer: PeerStatus, now: Instant): boolean {
    const {self} = this.settings;
    if (peer.domain !== self.domain || self.instance < peer.address.instance) {
      return true;
    }
    const quiet = now - Math.max(peer.lastHeardAt, peer.knownSince);
    return quiet > PASSIVE_PATIENCE * this.options.heartbeatMs;
  }

  private async beat(peer: PeerStatus): Promise<void> {
    const {instance} = peer.address;
    const exchange = this.exchanges.getOrCreate(instance);
    if (exchange.isPending) {
      return;
    }
    exchange.isPending = true;
    try {
      const answer = await this.sendBeat(peer, exchange);
      this.receive(instance, decodeHeartbeat(compactHeartbeat.parse(answer)));
    } catch (error) {
      // A peer that does not answer is seen by its silence.
      this.settings.logger.debug('beat-failed', {
        peer: instance,
        problem: describeError(error),
      });
    } finally {
      exchange.isPending = false;
    }
  }

  /** A beat without an answer is sent again at once: its connection may have gone silent, and the next is new. */
  private async sendBeat(
    peer: PeerStatus,
    exchange: HeartbeatExchange,
  ): Promise<unknown> {
    const {client} = this.settings;
    const send = () =>
      client.call(
        peer.address,
        HEARTBEAT_METHOD,
        this.createBeat(exchange),
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

  private onBeat(from: string, beat: Heartbeat): CompactHeartbeat {
    this.receive(from, beat);
    return this.createBeat(this.exchanges.getOrCreate(from));
  }

  private createBeat(exchange: HeartbeatExchange): CompactHeartbeat {
    const {createReport: report, self, clock} = this.settings;
    const now = clock.now();
    const own = report();
    this.ownDetails.update(toHeartbeatDetails(own, self, this.book.list()));
    const news = {
      offset: own.offset,
      freshnessAgeMs: own.freshnessAgeMs,
      schedulerHeardAgeMs: computeSchedulerHeardAge(
        this.listPeers(),
        self.domain,
        now,
      ),
      load: own.load,
    };
    return encodeHeartbeat(exchange.createHeartbeat(news, now));
  }

  private receive(from: string, beat: Heartbeat): void {
    const now = this.settings.clock.now();
    const received = this.exchanges.getOrCreate(from).receive(beat);
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
    this.takeHolds(report.holds);
    for (const listener of this.listeners) {
      listener({report, madeAfter, receivedAt: now});
    }
  }

  private takeHolds(holds: readonly Hold[]): void {
    let isNews = false;
    for (const hold of holds) {
      isNews = this.book.add({...hold, offset: hold.offset ?? 0}) || isNews;
    }
    if (isNews) {
      this.tellNews();
    }
  }
}
