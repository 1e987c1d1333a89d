/** State of the heartbeat exchange with each peer: acknowledged details, and lower bounds for the time of reports. */
import {type Instant, type Random, nextInteger} from '@galenavalve/shared';
import {type Heartbeat, type HeartbeatDetails, toReport} from './heartbeat.js';
import type {InstanceReport} from './instance_report.js';

/** Number of latest heartbeats sent to a peer whose echo is accepted. */
const MAX_ACCEPTED_ECHOES = 4;

const MAX_BASE_VERSION = 2 ** 31;

/** This instance's details, the report fields that change rarely, with their version, which increases with each change. */
export class LocalDetails {
  /** Random, so that versions of an earlier process of the same instance are not mistaken for versions of this one. */
  private readonly baseVersion: number;
  private currentVersion: number;
  private serializedDetails = '';
  private currentDetails: HeartbeatDetails | undefined;

  constructor(random: Random) {
    this.baseVersion = 1 + nextInteger(random, MAX_BASE_VERSION);
    this.currentVersion = this.baseVersion;
  }

  /** Version of the current details. */
  get version(): number {
    return this.currentVersion;
  }

  /** The current details; undefined before the first update. */
  get details(): HeartbeatDetails | undefined {
    return this.currentDetails;
  }

  /** Sets the current details; increments the version if they changed. */
  update(details: HeartbeatDetails): void {
    const serialized = JSON.stringify(details);
    if (serialized !== this.serializedDetails) {
      this.serializedDetails = serialized;
      this.currentDetails = details;
      this.currentVersion += 1;
    }
  }

  /** Returns whether this process has issued the given version. */
  hasIssuedVersion(version: number): boolean {
    return version > this.baseVersion && version <= this.currentVersion;
  }
}

/** The fields of a heartbeat that are the same for every peer. */
export type HeartbeatStatus = Pick<
  Heartbeat,
  'offset' | 'freshnessAgeMs' | 'schedulerHeardAgeMs' | 'load'
>;

/** A report that was received in a heartbeat. */
export interface ReceivedReport {
  report: InstanceReport;
  details: HeartbeatDetails;
  /** Local time that is not after the report was made; undefined when none is known. */
  madeAfter?: Instant;
}

/** The heartbeat exchange with one peer. */
export class HeartbeatExchange {
  /** Whether a heartbeat is in flight. */
  isPending = false;
  /** The `sentAt` of the latest heartbeats to the peer, newest first. */
  private recentSentTimes: Instant[] = [];
  /** The `sentAt` of the heartbeat that was last received from the peer. */
  private peerSentAt: Instant | undefined;
  /** The peer's latest known details; `seenVersion` is their version, or 0. */
  private peerDetails: HeartbeatDetails | undefined;
  private seenVersion = 0;
  /** Version of this instance's details that the peer has. */
  private ackedVersion = 0;

  constructor(
    private readonly peer: string,
    private readonly localDetails: LocalDetails,
  ) {}

  /** Creates the next heartbeat to the peer. */
  createHeartbeat(status: HeartbeatStatus, now: Instant): Heartbeat {
    const sentAt = Math.floor(now);
    this.recentSentTimes = [sentAt, ...this.recentSentTimes].slice(
      0,
      MAX_ACCEPTED_ECHOES,
    );
    const isAcknowledged = this.ackedVersion === this.localDetails.version;
    return {
      ...status,
      sentAt,
      echo: this.peerSentAt,
      version: this.localDetails.version,
      seenVersion: this.seenVersion,
      details: isAcknowledged ? undefined : this.localDetails.details,
    };
  }

  /** Applies a received heartbeat. Returns undefined while the peer's details are not known. */
  receive(heartbeat: Heartbeat): ReceivedReport | undefined {
    if (heartbeat.details) {
      this.peerDetails = heartbeat.details;
      this.seenVersion = heartbeat.version;
    } else if (heartbeat.version !== this.seenVersion) {
      // Makes the peer send its details again.
      this.seenVersion = 0;
    }
    this.ackedVersion = heartbeat.seenVersion;
    this.peerSentAt = heartbeat.sentAt;
    if (!this.peerDetails) {
      return undefined;
    }
    const report = toReport(this.peer, heartbeat, this.peerDetails);
    const madeAfter = this.findMadeAfter(heartbeat);
    return {report, details: this.peerDetails, madeAfter};
  }

  /**
   * Returns the echo of a heartbeat as the lower bound for the time of its
   * report. Ignores echoes of heartbeats that an earlier process of this
   * instance sent; they come with a details version that this process has not
   * issued.
   */
  private findMadeAfter(heartbeat: Heartbeat): Instant | undefined {
    const isCurrentProcess = this.localDetails.hasIssuedVersion(
      heartbeat.seenVersion,
    );
    const isRecentEcho =
      heartbeat.echo !== undefined &&
      this.recentSentTimes.includes(heartbeat.echo);
    return isCurrentProcess && isRecentEcho ? heartbeat.echo : undefined;
  }
}

/** The heartbeat exchanges of an instance by peer. */
export class HeartbeatExchangeTable {
  private readonly exchanges = new Map<string, HeartbeatExchange>();

  constructor(private readonly localDetails: LocalDetails) {}

  /** Returns the exchange with a peer; creates it on first use. */
  getOrCreate(peer: string): HeartbeatExchange {
    let exchange = this.exchanges.get(peer);
    if (!exchange) {
      exchange = new HeartbeatExchange(peer, this.localDetails);
      this.exchanges.set(peer, exchange);
    }
    return exchange;
  }

  /** Removes the exchanges with peers that are no longer known. */
  retain(isKnown: (peer: string) => boolean): void {
    for (const peer of this.exchanges.keys()) {
      if (!isKnown(peer)) {
        this.exchanges.delete(peer);
      }
    }
  }
}
