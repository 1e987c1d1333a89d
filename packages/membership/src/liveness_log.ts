/** Logs when peers come to be alive or suspected. */
import type {Logger} from '@galenavalve/shared';
import type {PeerStatus} from './peer_table.js';

/** One line a change. */
export class LivenessLog {
  private readonly alive = new Set<string>();

  constructor(private readonly logger: Logger) {}

  /** Notes whether a peer is alive now. */
  note({address, domain}: PeerStatus, isAlive: boolean): void {
    const {instance} = address;
    if (isAlive === this.alive.has(instance)) {
      return;
    }
    if (isAlive) {
      this.alive.add(instance);
    } else {
      this.alive.delete(instance);
    }
    const event = isAlive ? 'peer-alive' : 'peer-suspected';
    this.logger.info(event, {peer: instance, domain});
  }
}
