/** Exchanges heartbeats with peers, and knows which of them are alive. */
import {
  type Instant,
  type Milliseconds,
  describeError,
  isFailure,
} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import {
  type Beat,
  type CompactBeat,
  compactBeat,
  decodeBeat,
  encodeBeat,
  toDetails,
} from './beat.js';
import {followList} from './follow_list.js';
import {type Exchange, ExchangeTable, OwnDetails} from './exchange.js';
import {type DatedHold, HoldBook} from './hold_book.js';
import {chooseLinks} from './links.js';
import {FAR_BEAT_RATIO, Liveness} from './liveness.js';
import {
  DEFAULT_MESH_OPTIONS,
  type PeerMeshOptions,
  type PeerMeshSettings,
  type ReportListener,
} from './mesh_settings.js';
import {type PeerStatus, PeerTable, isFit} from './peer_table.js';
import type {Hold} from './report.js';
import {lastHeardOf, schedulerHeardAge} from './scheduler_watch.js';

/** Method of the peer protocol that exchanges beats. */
export const BEAT_METHOD = 'beat';

/** Quiet heartbeats after which the passive end of a pair opens a connection too. */
const PASSIVE_PATIENCE = 2;

/** The peers of this instance. */
export class PeerMesh {
  private readonly options: PeerMeshOptions;
  private readonly table: PeerTable;
  private readonly book = new HoldBook();
  private readonly exchanges: ExchangeTable;
  private readonly liveness: Liveness;
  private readonly listeners: ReportListener[] = [];
  private readonly ownDetails: OwnDetails;
  private wake = new AbortController();
  private round = 0;
  /** A hold was added since the last round. */
  private hasNews = false;

  constructor(private readonly settings: PeerMeshSettings) {
    this.options = {...DEFAULT_MESH_OPTIONS, ...settings.options};
    const {self, seeds, clock, server, random, logger} = settings;
    this.ownDetails = new OwnDetails(random);
    this.exchanges = new ExchangeTable(this.ownDetails);
    this.table = new PeerTable(self.instance, seeds, clock.now());
    const {suspectMs} = this.options;
    this.liveness = new Liveness(self.domain, this.table, suspectMs, logger);
    server.handle(BEAT_METHOD, compactBeat, async (compact, from) =>
      this.onBeat(from, decodeBeat(compact)),
    );
  }

  /** Exchanges beats and reads the list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const listed = followList(
      {...this.settings, intervalMs: this.options.listMs, table: this.table},
      signal,
    );
    await Promise.all([this.runBeats(signal), listed]);
  }

  /** All known peers, without this instance. */
  peers(): PeerStatus[] {
    return this.table.list();
  }

  /** Tells whether an instance was heard within the suspicion time. This instance is always alive. */
  isAlive(instance: string, now: Instant): boolean {
    const status = this.table.get(instance);
    return (
      instance === this.settings.self.instance ||
      (status !== undefined && this.liveness.isHeard(status, now))
    );
  }

  /** Instances of a failure domain that are alive, this one included. */
  aliveIn(domain: string, now: Instant): string[] {
    const {self} = this.settings;
    const others = this.liveness
      .listHeard(domain, now)
      .map(peer => peer.address.instance);
    return self.domain === domain ? [self.instance, ...others] : others;
  }

  /** Alive instances of a failure domain that may take over roles: ready and not leaving. */
  fitIn(domain: string, now: Instant): string[] {
    const {self, report} = this.settings;
    const fit = this.liveness
      .listHeard(domain, now)
      .filter(isFit)
      .map(peer => peer.address.instance);
    const {ready, leaving} = report();
    const isSelfFit = self.domain === domain && ready && !leaving;
    return isSelfFit ? [self.instance, ...fit] : fit;
  }

  /** When a scheduler of this failure domain was last heard, directly or by a peer's word. */
  lastHeard(instance: string): Instant | undefined {
    return lastHeardOf(this.peers(), this.settings.self.domain, instance);
  }

  /** Where an instance is reached; undefined when it is not known. */
  addressOf(instance: string): PeerAddress | undefined {
    return this.table.get(instance)?.address;
  }

  /** Registers a listener for reports. */
  onReport(listener: ReportListener): void {
    this.listeners.push(listener);
  }

  /** Calls a method of a peer. Throws `peer-unavailable` when its address is not known. */
  async ask(
    instance: string,
    method: string,
    body: unknown,
    timeoutMs: Milliseconds,
  ): Promise<unknown> {
    const address = this.addressOf(instance) ?? {instance, host: '', port: 0};
    return this.settings.client.call(address, method, body, timeoutMs);
  }

  /** Puts a hold in force here and, at once, at every peer in reach. */
  addHold(hold: Hold): void {
    const offset = hold.offset ?? this.settings.report().offset;
    if (this.book.add({...hold, offset})) {
      this.settings.logger.info('hold-added', {...hold, offset});
      this.tellNews();
    }
  }

  /** The holds in force. */
  holds(): DatedHold[] {
    return this.book.list();
  }

  /** Tells whether a hold takes an entity out, such as "target/w1". */
  isHeld(entity: string): boolean {
    return this.book.isHeld(entity);
  }

  /** Notes an accepted configuration record about `entity`; it ends older holds. */
  noteAccepted(entity: string, offset: number): void {
    const ended = this.book.noteAccepted(entity, offset);
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
    const links = chooseLinks(self, this.peers(), this.options.degree, peer =>
      this.liveness.isHeard(peer, now),
    );
    for (const peer of links) {
      this.liveness.logChange(peer, now);
      if (this.isDue(peer) && this.isInitiator(peer, now)) {
        void this.beat(peer);
      }
    }
  }

  /** Peers of other failure domains are sent a beat less often, but news at once. */
  private isDue(peer: PeerStatus): boolean {
    const isNear = this.liveness.isNear(peer);
    return isNear || this.hasNews || this.round % FAR_BEAT_RATIO === 0;
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
    const exchange = this.exchanges.with(instance);
    if (exchange.isPending) {
      return;
    }
    exchange.isPending = true;
    try {
      const answer = await this.sendBeat(peer, exchange);
      this.receive(instance, decodeBeat(compactBeat.parse(answer)));
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
    exchange: Exchange,
  ): Promise<unknown> {
    const {client} = this.settings;
    const send = () =>
      client.call(
        peer.address,
        BEAT_METHOD,
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

  private onBeat(from: string, beat: Beat): CompactBeat {
    this.receive(from, beat);
    return this.createBeat(this.exchanges.with(from));
  }

  private createBeat(exchange: Exchange): CompactBeat {
    const {report, self, clock} = this.settings;
    const now = clock.now();
    const own = report();
    this.ownDetails.update(toDetails(own, self, this.book.list()));
    const news = {
      offset: own.offset,
      freshnessAgeMs: own.freshnessAgeMs,
      schedulerHeardAgeMs: schedulerHeardAge(this.peers(), self.domain, now),
      load: own.load,
    };
    return encodeBeat(exchange.createBeat(news, now));
  }

  private receive(from: string, beat: Beat): void {
    const now = this.settings.clock.now();
    const received = this.exchanges.with(from).receive(beat);
    if (!received) {
      return;
    }
    const {report, details, madeAfter} = received;
    const {host, port, domain} = details;
    const status = this.table.learn({instance: from, host, port, domain}, now);
    if (!status) {
      return;
    }
    this.table.noteReport(status, report, madeAfter, now);
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
