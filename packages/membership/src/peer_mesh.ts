/** Exchanges heartbeats with peers, and knows which of them are alive. */
import type {
  Clock,
  Instant,
  Logger,
  Milliseconds,
  Random,
} from '@galenavalve/shared';
import {describeError, nextInteger} from '@galenavalve/shared';
import type {PeerAddress, PeerClient, PeerServer} from '@galenavalve/wire';
import {
  type Beat,
  type BeatDetails,
  compactBeat,
  decodeBeat,
  encodeBeat,
  toReport,
} from './beat.js';
import {type DatedHold, HoldBook} from './hold_book.js';
import type {InstanceList} from './instance_list.js';
import {DEFAULT_DEGREE, chooseLinks} from './links.js';
import {type PeerSeed, type PeerStatus, PeerTable} from './peer_table.js';
import type {Hold, SelfReport} from './report.js';

/** Method of the peer protocol that exchanges beats. */
export const BEAT_METHOD = 'beat';

/** Intervals of a mesh. */
export interface PeerMeshOptions {
  heartbeatMs: Milliseconds;
  /** Silence after which a peer no longer counts as alive. */
  suspectMs: Milliseconds;
  /** Peers of each other failure domain that beats are exchanged with. */
  degree: number;
  /** Time between two reads of the platform's list. */
  listMs: Milliseconds;
}

/** What a mesh needs. */
export interface PeerMeshSettings {
  self: PeerSeed;
  client: PeerClient;
  server: PeerServer;
  instanceList: InstanceList;
  seeds: readonly PeerSeed[];
  clock: Clock;
  logger: Logger;
  random: Random;
  /** Makes this instance's report, without the holds that the mesh adds. */
  report: () => SelfReport;
  options?: Partial<PeerMeshOptions>;
}

/** A report that was received. */
export interface ReportEvent {
  report: SelfReport;
  /** A local time that is certainly not after the report was made; undefined when none is known. */
  madeAfter?: Instant;
  receivedAt: Instant;
}

/** Told of every report that is received. */
export type ReportListener = (event: ReportEvent) => void;

const DEFAULT_OPTIONS: PeerMeshOptions = {
  heartbeatMs: 500,
  suspectMs: 1600,
  degree: DEFAULT_DEGREE,
  listMs: 2000,
};

/** Quiet heartbeats after which the passive end of a pair opens a connection too. */
const PASSIVE_PATIENCE = 2;

/** Sent beats whose echo is accepted. */
const KEPT_TOKENS = 4;

const MAX_BASE_VERSION = 2 ** 31;

/** What is remembered about the exchange with one peer. */
interface Exchange {
  /** The `sentAt` of the latest beats to the peer, newest first. */
  sentTokens: Instant[];
  /** Latest `sentAt` that the peer sent. */
  peerSentAt?: Instant;
  /** Version of the peer's details that this instance has. */
  seenVersion: number;
  details?: BeatDetails;
  /** Version of this instance's details that the peer has. */
  ackedVersion: number;
  /** A beat is on its way. */
  isPending: boolean;
  wasAlive: boolean;
}

/** The peers of this instance. */
export class PeerMesh {
  private readonly options: PeerMeshOptions;
  private readonly table: PeerTable;
  private readonly book = new HoldBook();
  private readonly exchanges = new Map<string, Exchange>();
  private readonly listeners: ReportListener[] = [];
  /** Random, so that versions of a former process of the same name are not taken for own ones. */
  private readonly baseVersion: number;
  private ownVersion: number;
  private ownDetails = '';
  private wake = new AbortController();

  constructor(private readonly settings: PeerMeshSettings) {
    this.options = {...DEFAULT_OPTIONS, ...settings.options};
    const {self, seeds, clock, server, random} = settings;
    this.baseVersion = 1 + nextInteger(random, MAX_BASE_VERSION);
    this.ownVersion = this.baseVersion;
    this.table = new PeerTable(self.instance, seeds, clock.now());
    server.handle(BEAT_METHOD, compactBeat, async (compact, from) =>
      this.onBeat(from, decodeBeat(compact)),
    );
  }

  /** Exchanges beats and reads the list until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([this.runBeats(signal), this.runList(signal)]);
  }

  /** All known peers, without this instance. */
  peers(): PeerStatus[] {
    return this.table.list();
  }

  /** Tells whether an instance was heard within the suspicion time. This instance is always alive. */
  isAlive(instance: string, now: Instant): boolean {
    if (instance === this.settings.self.instance) {
      return true;
    }
    const status = this.table.get(instance);
    return (
      status !== undefined && now - status.lastHeardAt <= this.options.suspectMs
    );
  }

  /** Instances of a failure domain that are alive, this one included. */
  aliveIn(domain: string, now: Instant): string[] {
    const {self} = this.settings;
    const alive = this.peers()
      .filter(peer => peer.domain === domain)
      .map(peer => peer.address.instance)
      .filter(instance => this.isAlive(instance, now));
    return self.domain === domain ? [self.instance, ...alive] : alive;
  }

  /** Alive instances of a failure domain that may take over roles: ready and not leaving. */
  fitIn(domain: string, now: Instant): string[] {
    const {self, report} = this.settings;
    return this.aliveIn(domain, now).filter(instance => {
      if (instance === self.instance) {
        const own = report();
        return own.ready && !own.leaving;
      }
      const status = this.table.get(instance)!;
      return status.report?.ready && status.leavingSince === undefined;
    });
  }

  /** When an instance was last heard, directly or by the word of its domain's peers about their scheduler. */
  lastHeard(instance: string): Instant | undefined {
    let latest = this.table.get(instance)?.lastHeardAt ?? -Infinity;
    for (const peer of this.peers()) {
      const isOfSelfDomain = peer.domain === this.settings.self.domain;
      const heardAge = peer.report?.schedulerHeardAgeMs;
      if (
        isOfSelfDomain &&
        heardAge !== undefined &&
        this.scheduler(peer.domain) === instance
      ) {
        latest = Math.max(latest, peer.lastHeardAt - heardAge);
      }
    }
    return Number.isFinite(latest) ? latest : undefined;
  }

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
      this.wake.abort();
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
    for (const hold of this.book.noteAccepted(entity, offset)) {
      this.settings.logger.info('hold-ended', {...hold, endedBy: offset});
    }
  }

  private async runBeats(signal: AbortSignal): Promise<void> {
    const {clock, random} = this.settings;
    signal.addEventListener('abort', () => this.wake.abort(), {once: true});
    while (!signal.aborted) {
      this.beatAll();
      const jitter = 0.9 + 0.2 * random.next();
      await clock.sleep(this.options.heartbeatMs * jitter, this.wake.signal);
      if (!signal.aborted) {
        this.wake = new AbortController();
      }
    }
  }

  private async runList(signal: AbortSignal): Promise<void> {
    const {clock, instanceList, logger} = this.settings;
    while (!signal.aborted) {
      try {
        const listed = await instanceList.list(this.options.listMs);
        this.table.noteList(listed, clock.now());
      } catch (error) {
        logger.warn('instance-list-failed', {problem: describeError(error)});
      }
      await clock.sleep(this.options.listMs, signal);
    }
  }

  private beatAll(): void {
    const {self, clock} = this.settings;
    const now = clock.now();
    this.forgetExchanges();
    for (const peer of chooseLinks(self, this.peers(), this.options.degree)) {
      this.logLiveness(peer, now);
      if (this.isInitiator(peer, now)) {
        void this.beat(peer);
      }
    }
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
    const {client, clock} = this.settings;
    const {instance} = peer.address;
    const exchange = this.exchangeWith(instance);
    if (exchange.isPending) {
      return;
    }
    exchange.isPending = true;
    try {
      const beat = encodeBeat(this.createBeat(exchange, clock.now()));
      const timeoutMs = this.options.suspectMs / 2;
      const answer = await client.call(
        peer.address,
        BEAT_METHOD,
        beat,
        timeoutMs,
      );
      this.receive(instance, decodeBeat(compactBeat.parse(answer)));
    } catch {
      // A peer that does not answer is seen by its silence.
    } finally {
      exchange.isPending = false;
    }
  }

  private onBeat(from: string, beat: Beat): unknown {
    this.receive(from, beat);
    const exchange = this.exchangeWith(from);
    return encodeBeat(this.createBeat(exchange, this.settings.clock.now()));
  }

  private createBeat(exchange: Exchange, now: Instant): Beat {
    const report = this.settings.report();
    const details = this.createDetails(report);
    this.updateVersion(details);
    const isSeen = exchange.ackedVersion === this.ownVersion;
    const sentAt = Math.floor(now);
    exchange.sentTokens = [sentAt, ...exchange.sentTokens].slice(
      0,
      KEPT_TOKENS,
    );
    return {
      sentAt,
      echo: exchange.peerSentAt,
      version: this.ownVersion,
      seenVersion: exchange.seenVersion,
      offset: report.offset,
      freshnessAgeMs: report.freshnessAgeMs,
      schedulerHeardAgeMs: this.schedulerHeardAge(now),
      load: report.load,
      details: isSeen ? undefined : details,
    };
  }

  private createDetails(report: SelfReport): BeatDetails {
    const {domain, schedules, leaving, ready, racks} = report;
    const {host, port} = this.settings.self;
    const holds = this.book.list();
    return {domain, schedules, leaving, ready, racks, holds, host, port};
  }

  private updateVersion(details: BeatDetails): void {
    const text = JSON.stringify(details);
    if (text !== this.ownDetails) {
      this.ownDetails = text;
      this.ownVersion += 1;
    }
  }

  /**
   * The local time that a beat is certainly not older than. An echo of a
   * former process of the same name is refused: it names another version.
   */
  private findMadeAfter(exchange: Exchange, beat: Beat): Instant | undefined {
    const isOfThisProcess =
      beat.seenVersion > this.baseVersion &&
      beat.seenVersion <= this.ownVersion;
    const isKnown = exchange.sentTokens.includes(beat.echo ?? -1);
    return isOfThisProcess && isKnown ? beat.echo : undefined;
  }

  private receive(from: string, beat: Beat): void {
    const exchange = this.exchangeWith(from);
    if (beat.details) {
      exchange.details = beat.details;
      exchange.seenVersion = beat.version;
    } else if (beat.version !== exchange.seenVersion) {
      exchange.seenVersion = 0;
    }
    exchange.ackedVersion = beat.seenVersion;
    exchange.peerSentAt = beat.sentAt;
    if (exchange.details) {
      const madeAfter = this.findMadeAfter(exchange, beat);
      this.publish(from, beat, exchange.details, madeAfter);
    }
  }

  private publish(
    from: string,
    beat: Beat,
    details: BeatDetails,
    madeAfter: Instant | undefined,
  ): void {
    const now = this.settings.clock.now();
    const {host, port, domain} = details;
    const seed = {instance: from, host, port, domain};
    const status = this.table.learn(seed, now);
    if (!status) {
      return;
    }
    const report = toReport(from, beat, details);
    this.table.noteReport(status, report, now);
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
      this.wake.abort();
    }
  }

  /** The scheduler of a failure domain by its own word; the highest term wins. */
  private scheduler(domain: string): string | undefined {
    const holders = this.peers().filter(
      peer => peer.report?.schedules?.domain === domain,
    );
    holders.sort(
      (a, b) =>
        b.report!.schedules!.term.log - a.report!.schedules!.term.log ||
        b.report!.schedules!.term.outage - a.report!.schedules!.term.outage,
    );
    return holders[0]?.address.instance;
  }

  private schedulerHeardAge(now: Instant): Milliseconds | undefined {
    const holder = this.scheduler(this.settings.self.domain);
    const status = holder === undefined ? undefined : this.table.get(holder);
    return status && now - status.lastHeardAt;
  }

  private exchangeWith(instance: string): Exchange {
    let exchange = this.exchanges.get(instance);
    if (!exchange) {
      exchange = {
        sentTokens: [],
        seenVersion: 0,
        ackedVersion: 0,
        isPending: false,
        wasAlive: false,
      };
      this.exchanges.set(instance, exchange);
    }
    return exchange;
  }

  private forgetExchanges(): void {
    for (const instance of this.exchanges.keys()) {
      if (!this.table.get(instance)) {
        this.exchanges.delete(instance);
      }
    }
  }

  private logLiveness(peer: PeerStatus, now: Instant): void {
    const {instance} = peer.address;
    const exchange = this.exchangeWith(instance);
    const isAlive = this.isAlive(instance, now);
    if (isAlive !== exchange.wasAlive) {
      exchange.wasAlive = isAlive;
      const {domain} = peer;
      const event = isAlive ? 'peer-alive' : 'peer-suspected';
      this.settings.logger.info(event, {peer: instance, domain});
    }
  }
}
