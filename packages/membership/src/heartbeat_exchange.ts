/** The exchange of beats with one peer: which details it has seen, and what its echoes prove. */
import {type Instant, type Random, nextInteger} from '@galenavalve/shared';
import {type Heartbeat, type HeartbeatDetails, toReport} from './heartbeat.js';
import type {InstanceReport} from './instance_report.js';

/** Sent beats whose echo is accepted. */
const KEPT_TOKENS = 4;

const MAX_BASE_VERSION = 2 ** 31;

/** This instance's details with their version, which rises with each change. */
export class LocalDetails {
  /** Random, so that versions of a former process of the same name are not taken for own ones. */
  private readonly baseVersion: number;
  private current: number;
  private text = '';
  private value: HeartbeatDetails | undefined;

  constructor(random: Random) {
    this.baseVersion = 1 + nextInteger(random, MAX_BASE_VERSION);
    this.current = this.baseVersion;
  }

  get version(): number {
    return this.current;
  }

  get details(): HeartbeatDetails | undefined {
    return this.value;
  }

  /** Takes over the present details. */
  update(details: HeartbeatDetails): void {
    const text = JSON.stringify(details);
    if (text !== this.text) {
      this.text = text;
      this.value = details;
      this.current += 1;
    }
  }

  /** Tells whether this process had the given version. */
  hasIssuedVersion(version: number): boolean {
    return version > this.baseVersion && version <= this.current;
  }
}

/** The fields of a beat that are the same for every peer. */
export type HeartbeatStatus = Pick<
  Heartbeat,
  'offset' | 'freshnessAgeMs' | 'schedulerHeardAgeMs' | 'load'
>;

/** A report from a beat. */
export interface ReceivedReport {
  report: InstanceReport;
  details: HeartbeatDetails;
  /** A local time that is certainly not after the report was made; undefined when none is known. */
  madeAfter?: Instant;
}

/** What is remembered about the exchange with one peer. */
export class HeartbeatExchange {
  /** A beat is on its way. */
  isPending = false;
  /** The `sentAt` of the latest beats to the peer, newest first. */
  private sentTokens: Instant[] = [];
  /** Latest `sentAt` that the peer sent. */
  private peerSentAt: Instant | undefined;
  /** The peer's details and their version. */
  private details: HeartbeatDetails | undefined;
  private seenVersion = 0;
  /** Version of this instance's details that the peer has. */
  private ackedVersion = 0;

  constructor(
    private readonly peer: string,
    private readonly own: LocalDetails,
  ) {}

  /** Makes the next beat to the peer. */
  createHeartbeat(news: HeartbeatStatus, now: Instant): Heartbeat {
    const sentAt = Math.floor(now);
    this.sentTokens = [sentAt, ...this.sentTokens].slice(0, KEPT_TOKENS);
    const isSeen = this.ackedVersion === this.own.version;
    return {
      ...news,
      sentAt,
      echo: this.peerSentAt,
      version: this.own.version,
      seenVersion: this.seenVersion,
      details: isSeen ? undefined : this.own.details,
    };
  }

  /** Takes in a beat. Undefined while the peer's details are not known. */
  receive(beat: Heartbeat): ReceivedReport | undefined {
    if (beat.details) {
      this.details = beat.details;
      this.seenVersion = beat.version;
    } else if (beat.version !== this.seenVersion) {
      // Makes the peer send its details again.
      this.seenVersion = 0;
    }
    this.ackedVersion = beat.seenVersion;
    this.peerSentAt = beat.sentAt;
    if (!this.details) {
      return undefined;
    }
    const report = toReport(this.peer, beat, this.details);
    const madeAfter = this.findMadeAfter(beat);
    return {report, details: this.details, madeAfter};
  }

  /** An echo of a former process of the same name is refused: it names another version. */
  private findMadeAfter(beat: Heartbeat): Instant | undefined {
    const isOfThisProcess = this.own.hasIssuedVersion(beat.seenVersion);
    const isKnown =
      beat.echo !== undefined && this.sentTokens.includes(beat.echo);
    return isOfThisProcess && isKnown ? beat.echo : undefined;
  }
}

/** The exchanges of an instance, one a peer. */
export class HeartbeatExchangeTable {
  private readonly exchanges = new Map<string, HeartbeatExchange>();

  constructor(private readonly own: LocalDetails) {}

  /** The exchange with a peer; begun when there was none. */
  getOrCreate(peer: string): HeartbeatExchange {
    let exchange = this.exchanges.get(peer);
    if (!exchange) {
      exchange = new HeartbeatExchange(peer, this.own);
      this.exchanges.set(peer, exchange);
    }
    return exchange;
  }

  /** Forgets the exchanges with peers that are no longer known. */
  retain(isKnown: (peer: string) => boolean): void {
    for (const peer of this.exchanges.keys()) {
      if (!isKnown(peer)) {
        this.exchanges.delete(peer);
      }
    }
  }
}
