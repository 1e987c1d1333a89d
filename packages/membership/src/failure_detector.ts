/** Failure detector: decides from received heartbeats which peers are alive, and logs changes. */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {PeerStatus, PeerTable} from './peer_table.js';

/** Number of heartbeat rounds per heartbeat to a peer of a remote failure domain; peers of the own domain get one in every round. */
export const REMOTE_HEARTBEAT_RATIO = 2;

/**
 * Suspects peers of the own failure domain after `suspectMs` without a
 * heartbeat, and those of remote domains after `REMOTE_HEARTBEAT_RATIO` times
 * as long, because they send fewer heartbeats.
 */
export class FailureDetector {
  /** Instances that were alive at the last call of `logLivenessChange`. */
  private readonly aliveInstances = new Set<string>();

  constructor(
    private readonly domain: string,
    private readonly table: PeerTable,
    private readonly suspectMs: Milliseconds,
    private readonly logger: Logger,
  ) {}

  /** Returns whether a peer belongs to the own failure domain. */
  isInOwnDomain(peer: PeerStatus): boolean {
    return peer.domain === this.domain;
  }

  /** Returns whether a heartbeat of a peer was received within its suspicion timeout. */
  isAlive(peer: PeerStatus, now: Instant): boolean {
    const timeoutFactor = this.isInOwnDomain(peer) ? 1 : REMOTE_HEARTBEAT_RATIO;
    return now - peer.lastHeardAt <= timeoutFactor * this.suspectMs;
  }

  /** Returns the peers of a failure domain that are alive. */
  listAlive(domain: string, now: Instant): PeerStatus[] {
    return this.table
      .list()
      .filter(peer => peer.domain === domain && this.isAlive(peer, now));
  }

  /** Logs an event if a peer has become alive or suspected since the last call. */
  logLivenessChange(peer: PeerStatus, now: Instant): void {
    const {instance} = peer.address;
    const isAlive = this.isAlive(peer, now);
    if (isAlive === this.aliveInstances.has(instance)) {
      return;
    }
    if (isAlive) {
      this.aliveInstances.add(instance);
    } else {
      this.aliveInstances.delete(instance);
    }
    const event = isAlive ? 'peer-alive' : 'peer-suspected';
    this.logger.info(event, {peer: instance, domain: peer.domain});
  }
}
