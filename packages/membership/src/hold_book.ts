/** Take-outs that are in force by gossip before the log has them. */
import type {Hold} from './report.js';

/** A hold with the offset that its author had read up to. */
export type DatedHold = Hold & {offset: number};

/**
 * The holds in force. A hold ends only by an accepted record about its entity
 * at or after the hold's offset, never by time or by a peer's word.
 */
export class HoldBook {
  private readonly holds = new Map<string, DatedHold>();
  /** Offset of the latest accepted record about each entity. */
  private readonly acceptedAt = new Map<string, number>();

  /** Adds a hold, unless a later record ended it already. Returns whether it is new. */
  add(hold: DatedHold): boolean {
    if (this.holds.has(hold.id) || this.isEnded(hold)) {
      return false;
    }
    this.holds.set(hold.id, hold);
    return true;
  }

  /** Notes an accepted record about `entity`. Returns the holds that it ends. */
  noteAccepted(entity: string, offset: number): DatedHold[] {
    const latest = Math.max(offset, this.acceptedAt.get(entity) ?? -1);
    this.acceptedAt.set(entity, latest);
    const ended = this.list().filter(
      hold => hold.entity === entity && this.isEnded(hold),
    );
    for (const hold of ended) {
      this.holds.delete(hold.id);
    }
    return ended;
  }

  /** The holds in force. */
  list(): DatedHold[] {
    return [...this.holds.values()];
  }

  /** Tells whether a hold takes `entity` out. */
  isHeld(entity: string): boolean {
    return this.list().some(hold => hold.entity === entity);
  }

  private isEnded(hold: DatedHold): boolean {
    const offset = this.acceptedAt.get(hold.entity);
    return offset !== undefined && offset >= hold.offset;
  }
}
