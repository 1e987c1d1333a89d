/** Judges which peers are alive, and logs when that changes. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {PeerStatus, PeerTable} from './peer_table.js';

/** Heartbeats to a peer of the own failure domain for one to a peer of another. */
export const FAR_BEAT_RATIO = 2;

/** Peers of the own failure domain are suspected after `suspectMs`, those of others later. */
export class Liveness {
  private readonly alive = new Set<string>();

  constructor(
    private readonly domain: string,
    private readonly table: PeerTable,
    private readonly suspectMs: Milliseconds,
    private readonly logger: Logger,
  ) {}

  /** Tells whether a peer is of the own failure domain. */
  isNear(peer: PeerStatus): boolean {
    return peer.domain === this.domain;
  }

  /** Tells whether a peer was heard within the suspicion time. */
  isHeard(peer: PeerStatus, now: Instant): boolean {
    const patience = this.isNear(peer) ? 1 : FAR_BEAT_RATIO;
    return now - peer.lastHeardAt <= patience * this.suspectMs;
  }

  /** The peers of a failure domain that are alive. */
  listHeard(domain: string, now: Instant): PeerStatus[] {
    return this.table
      .list()
      .filter(peer => peer.domain === domain && this.isHeard(peer, now));
  }

  /** Logs a line if a peer came to be alive or suspected since the last call. */
  logChange(peer: PeerStatus, now: Instant): void {
    const {instance} = peer.address;
    const isAlive = this.isHeard(peer, now);
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
