/** Take-outs that are in force by gossip before the log has them. */
import type {Hold} from './instance_report.js';

/** A hold with the offset that its author had read up to. */
export type PositionedHold = Hold & {offset: number};

/**
 * The holds in force, one an entity: the one that ends last. A hold ends only
 * by an accepted record about its entity at or after the hold's offset, never
 * by time or by a peer's word.
 */
export class HoldRegistry {
  private readonly holds = new Map<string, PositionedHold>();
  /** Offset of the latest accepted record about each entity. */
  private readonly acceptedAt = new Map<string, number>();

  /** Adds a hold, unless a later record ended it already. Returns whether it is new. */
  add(hold: PositionedHold): boolean {
    const held = this.holds.get(hold.entity);
    if (this.isEnded(hold) || (held && held.offset >= hold.offset)) {
      return false;
    }
    this.holds.set(hold.entity, hold);
    return true;
  }

  /** Notes an accepted record about `entity`. Returns the hold that it ends. */
  onEntityAccepted(entity: string, offset: number): PositionedHold | undefined {
    const latest = Math.max(offset, this.acceptedAt.get(entity) ?? -1);
    this.acceptedAt.set(entity, latest);
    const held = this.holds.get(entity);
    if (!held || !this.isEnded(held)) {
      return undefined;
    }
    this.holds.delete(entity);
    return held;
  }

  /** The holds in force. */
  list(): PositionedHold[] {
    return [...this.holds.values()];
  }

  /** Tells whether a hold takes `entity` out. */
  isHeld(entity: string): boolean {
    return this.holds.has(entity);
  }

  private isEnded(hold: PositionedHold): boolean {
    const offset = this.acceptedAt.get(hold.entity);
    return offset !== undefined && offset >= hold.offset;
  }
}
