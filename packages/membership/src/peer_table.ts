/** The known peers, from the settings, the platform's instance list and their heartbeats. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import type {ListedInstance} from './instance_list.js';
import type {InstanceReport} from './instance_report.js';

/** A peer protocol address with its failure domain. */
export type PeerEndpoint = PeerAddress & {domain: string};

/** The known state of a peer. */
export interface PeerStatus {
  address: PeerAddress;
  domain: string;
  /** When a heartbeat of the peer was last received; `-Infinity` when there was none. */
  lastHeardAt: Instant;
  /** Latest report of the peer. */
  report?: InstanceReport;
  /** Local time that is not after the report was made; `-Infinity` when none is known. */
  reportMadeAfter: Instant;
  /** State of the peer in the latest instance list; `unlisted` also before the first read of the list. */
  listed: 'live' | 'leaving' | 'unlisted';
  /** Since when the peer or the instance list has reported that the peer is leaving. */
  leavingSince?: Instant;
  /** Since when the peer has reported that it is not ready. */
  notReadySince?: Instant;
  /** When the peer was added to the table. */
  knownSince: Instant;
}

/** Time without a heartbeat after which a peer that is not listed is removed. */
export const FORGET_AFTER_MS: Milliseconds = 60_000;

/** Time after its last heartbeat during which a peer's own address takes precedence over the listed one. */
const HEARTBEAT_TRUST_MS: Milliseconds = 5000;

/** The known peers by instance; never includes the instance itself. */
export class PeerTable {
  private readonly peers = new Map<string, PeerStatus>();
  /** Instances known from the settings; never removed. */
  private readonly configuredInstances: Set<string>;

  constructor(
    private readonly self: string,
    seeds: readonly PeerEndpoint[],
    now: Instant,
  ) {
    this.configuredInstances = new Set(
      seeds.map(endpoint => endpoint.instance),
    );
    for (const endpoint of seeds) {
      this.upsert(endpoint, now);
    }
  }

  /** Returns the status of a peer; undefined when it is not known. */
  get(instance: string): PeerStatus | undefined {
    return this.peers.get(instance);
  }

  /** Returns the status of every known peer. */
  list(): PeerStatus[] {
    return [...this.peers.values()];
  }

  /** Adds a peer or updates its address. Returns its status; undefined for the instance itself. */
  upsert(endpoint: PeerEndpoint, now: Instant): PeerStatus | undefined {
    if (endpoint.instance === this.self) {
      return undefined;
    }
    const {instance, host, port, domain} = endpoint;
    const address = {instance, host, port};
    const known = this.peers.get(instance);
    if (known) {
      known.address = address;
      known.domain = domain;
      return known;
    }
    const status: PeerStatus = {
      address,
      domain,
      lastHeardAt: -Infinity,
      reportMadeAfter: -Infinity,
      listed: 'unlisted',
      knownSince: now,
    };
    this.peers.set(instance, status);
    return status;
  }

  /** Applies a report that a peer sent. */
  applyReport(
    status: PeerStatus,
    report: InstanceReport,
    madeAfter: Instant | undefined,
    now: Instant,
  ): void {
    status.report = report;
    status.reportMadeAfter = madeAfter ?? -Infinity;
    status.lastHeardAt = now;
    status.notReadySince = report.ready
      ? undefined
      : (status.notReadySince ?? now);
    this.updateLeaving(status, now);
  }

  /** Applies the platform's instance list. The list lags, so a peer that is not listed may still be alive. */
  applyInstanceList(listed: readonly ListedInstance[], now: Instant): void {
    for (const status of this.peers.values()) {
      status.listed = 'unlisted';
    }
    for (const entry of listed) {
      this.applyListedInstance(entry, now);
    }
    this.removeStalePeers(now);
    for (const status of this.peers.values()) {
      this.updateLeaving(status, now);
    }
  }

  private applyListedInstance(entry: ListedInstance, now: Instant): void {
    const {id, role, host, port, domain, state} = entry;
    if (role !== 'entry' || host === undefined || port === undefined) {
      return;
    }
    const known = this.peers.get(id);
    // An alive peer's own address is newer than the one in the list.
    const isRecentlyHeard =
      known && now - known.lastHeardAt < HEARTBEAT_TRUST_MS;
    const status = isRecentlyHeard
      ? known
      : this.upsert({instance: id, host, port, domain}, now);
    if (status) {
      status.listed = state;
    }
  }

  private updateLeaving(status: PeerStatus, now: Instant): void {
    const isLeaving = status.listed === 'leaving' || status.report?.leaving;
    status.leavingSince = isLeaving ? (status.leavingSince ?? now) : undefined;
  }

  private removeStalePeers(now: Instant): void {
    for (const [instance, status] of this.peers) {
      const lastActiveAt = Math.max(status.lastHeardAt, status.knownSince);
      const isSilent = now - lastActiveAt > FORGET_AFTER_MS;
      if (
        isSilent &&
        status.listed === 'unlisted' &&
        !this.configuredInstances.has(instance)
      ) {
        this.peers.delete(instance);
      }
    }
  }
}

/** Returns whether a peer is eligible for roles: it is ready and not leaving. */
export function isEligible(peer: PeerStatus): boolean {
  return peer.report?.ready === true && peer.leavingSince === undefined;
}
