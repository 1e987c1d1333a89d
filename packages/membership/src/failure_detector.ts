/** Judges which peers are alive, and logs when that changes. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {PeerStatus, PeerTable} from './peer_table.js';

/** Heartbeats to a peer of the own failure domain for one to a peer of another. */
export const REMOTE_HEARTBEAT_RATIO = 2;

/** Peers of the own failure domain are suspected after `suspectMs`, those of others later. */
export class FailureDetector {
  private readonly alive = new Set<string>();

  constructor(
    private readonly domain: string,
    private readonly table: PeerTable,
    private readonly suspectMs: Milliseconds,
    private readonly logger: Logger,
  ) {}

  /** Tells whether a peer is of the own failure domain. */
  isInOwnDomain(peer: PeerStatus): boolean {
    return peer.domain === this.domain;
  }

  /** Tells whether a peer was heard within the suspicion time. */
  isAlive(peer: PeerStatus, now: Instant): boolean {
    const patience = this.isInOwnDomain(peer) ? 1 : REMOTE_HEARTBEAT_RATIO;
    return now - peer.lastHeardAt <= patience * this.suspectMs;
  }

  /** The peers of a failure domain that are alive. */
  listAlive(domain: string, now: Instant): PeerStatus[] {
    return this.table
      .list()
      .filter(peer => peer.domain === domain && this.isAlive(peer, now));
  }

  /** Logs a line if a peer came to be alive or suspected since the last call. */
  logLivenessChange(peer: PeerStatus, now: Instant): void {
    const {instance} = peer.address;
    const isAlive = this.isAlive(peer, now);
    if (isAlive === this.alive.has(instance)) {
      return;
    }
    if (isAlive) {
      this.alive.add(instance);
    } else {
      this.alive.delete(instance);
    }
    const event = isAlive ? 'peer-alive' : 'peer-suspected';
    this.logger.info(event, {peer: instance, domain: peer.domain});
  }
}
