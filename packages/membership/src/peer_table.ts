/** The instances that are known, from settings, the platform's list and their own beats. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {PeerAddress} from '@galenavalve/wire';
import type {ListedInstance} from './instance_list.js';
import type {InstanceReport} from './instance_report.js';

/** A peer protocol address with its failure domain. */
export type PeerEndpoint = PeerAddress & {domain: string};

/** What is known about a peer. */
export interface PeerStatus {
  address: PeerAddress;
  domain: string;
  /** When a beat of it was last received; minus infinity when never. */
  lastHeardAt: Instant;
  report?: InstanceReport;
  /** A local time that is certainly not after the report was made; minus infinity when none is known. */
  reportMadeAfter: Instant;
  /** What the platform's list said last; `unlisted` also while the list was never read. */
  listed: 'live' | 'leaving' | 'unlisted';
  /** Since when it says, or the list says, that it is leaving. */
  leavingSince?: Instant;
  /** Since when it says that it is not ready. */
  notReadySince?: Instant;
  /** When it became known. */
  knownSince: Instant;
}

/** After this silence a peer that the list does not name is forgotten. */
export const FORGET_AFTER_MS: Milliseconds = 60_000;

/** After this silence the list's word about an address counts more than the peer's own. */
const TRUST_AFTER_BEAT_MS: Milliseconds = 5000;

/** Known peers by instance; never holds the instance itself. */
export class PeerTable {
  private readonly peers = new Map<string, PeerStatus>();
  private readonly seeds: Set<string>;

  constructor(
    private readonly self: string,
    seeds: readonly PeerEndpoint[],
    now: Instant,
  ) {
    this.seeds = new Set(seeds.map(seed => seed.instance));
    for (const seed of seeds) {
      this.upsert(seed, now);
    }
  }

  get(instance: string): PeerStatus | undefined {
    return this.peers.get(instance);
  }

  list(): PeerStatus[] {
    return [...this.peers.values()];
  }

  /** Notes where a peer is. Returns its status; undefined for the instance itself. */
  upsert(seed: PeerEndpoint, now: Instant): PeerStatus | undefined {
    if (seed.instance === this.self) {
      return undefined;
    }
    const {instance, host, port, domain} = seed;
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

  /** Notes a report that a peer sent. */
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

  /** Takes over the platform's list, which lags: a peer that it does not name may still live. */
  applyInstanceList(listed: readonly ListedInstance[], now: Instant): void {
    for (const status of this.peers.values()) {
      status.listed = 'unlisted';
    }
    for (const entry of listed) {
      this.noteListed(entry, now);
    }
    this.forgetOld(now);
    for (const status of this.peers.values()) {
      this.updateLeaving(status, now);
    }
  }

  private noteListed(entry: ListedInstance, now: Instant): void {
    const {id, role, host, port, domain, state} = entry;
    if (role !== 'entry' || host === undefined || port === undefined) {
      return;
    }
    const known = this.peers.get(id);
    // What a live peer says about itself is newer than the list.
    const isHeard = known && now - known.lastHeardAt < TRUST_AFTER_BEAT_MS;
    const status = isHeard
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

  private forgetOld(now: Instant): void {
    for (const [instance, status] of this.peers) {
      const since = Math.max(status.lastHeardAt, status.knownSince);
      const isOld = now - since > FORGET_AFTER_MS;
      if (isOld && status.listed === 'unlisted' && !this.seeds.has(instance)) {
        this.peers.delete(instance);
      }
    }
  }
}

/** Tells whether a peer may take over roles: it is ready and not leaving. */
export function isEligible(peer: PeerStatus): boolean {
  return peer.report?.ready === true && peer.leavingSince === undefined;
}
