/** Holds: take-outs that peers know by gossip before the log has them. */
import type {Hold} from './instance_report.js';

/** A hold with its offset: that of its record, or else the one up to which the instance that added it had read the log. */
export type PositionedHold = Hold & {offset: number};

/**
 * The holds in force. Keeps one hold per entity, the one with the highest
 * offset. A hold ends only with an accepted record about its entity at or after
 * the hold's offset; it never expires, and no peer can end it.
 */
export class HoldRegistry {
  private readonly holds = new Map<string, PositionedHold>();
  /** Offset of the latest accepted record about each entity. */
  private readonly acceptedAt = new Map<string, number>();

  /** Adds a hold unless an accepted record has already ended it. Returns whether the registry changed. */
  add(hold: PositionedHold): boolean {
    const current = this.holds.get(hold.entity);
    if (this.isEnded(hold) || (current && current.offset >= hold.offset)) {
      return false;
    }
    this.holds.set(hold.entity, hold);
    return true;
  }

  /** Handles an accepted record about `entity`. Returns the hold that it ends, if any. */
  onEntityAccepted(entity: string, offset: number): PositionedHold | undefined {
    const latestOffset = Math.max(offset, this.acceptedAt.get(entity) ?? -1);
    this.acceptedAt.set(entity, latestOffset);
    const current = this.holds.get(entity);
    if (!current || !this.isEnded(current)) {
      return undefined;
    }
    this.holds.delete(entity);
    return current;
  }

  /** Returns the holds in force. */
  list(): PositionedHold[] {
    return [...this.holds.values()];
  }

  /** Returns whether a hold takes `entity` out of service. */
  isHeld(entity: string): boolean {
    return this.holds.has(entity);
  }

  private isEnded(hold: PositionedHold): boolean {
    const offset = this.acceptedAt.get(hold.entity);
    return offset !== undefined && offset >= hold.offset;
  }
}
