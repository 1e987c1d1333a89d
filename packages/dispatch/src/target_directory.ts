/** The rooms of all targets, kept in step with the registry. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {MAX_INCARNATIONS} from './leader_monitor.js';
import {type TargetInfo, formatIncarnationKey} from './target_info.js';
import {TargetState} from './target_state.js';

/** What the directory tells of. */
export interface TargetDirectoryEvents {
  onTargetAdded(room: TargetState): void;
  /** Another life took the place of `room`'s. */
  onTargetReplaced(room: TargetState, next: TargetState): void;
}

/** Rooms by life, and the present life of each id. */
export class TargetDirectory {
  private readonly byLife = new Map<string, TargetState>();
  private readonly byId = new Map<string, TargetState>();

  /** `othersOverAt`: until when leases that former dispatchers granted may be alive. */
  constructor(
    private readonly events: TargetDirectoryEvents,
    private readonly othersOverAt: Instant,
  ) {}

  /** Every room that may hold runs. */
  listTargets(): IterableIterator<TargetState> {
    return this.byLife.values();
  }

  /** Takes an entry of the registry. */
  onRegistered(info: TargetInfo, now: Instant): void {
    const present = this.byId.get(info.id);
    if (!present) {
      this.add(info);
      return;
    }
    if (info.born < present.info.born) {
      return;
    }
    if (info.born > present.info.born) {
      this.replace(present, info);
      return;
    }
    present.info = info;
    present.isRegistered = true;
    if (info.isDraining) {
      present.drainingSince ??= now;
    }
  }

  /** The registry no longer lists the target. */
  onUnregistered(id: string): void {
    const room = this.byId.get(id);
    if (room) {
      room.isRegistered = false;
    }
  }

  /** The room of a life that a record names; made up when the registry does not know it. */
  findOrCreateIncarnation(key: string): TargetState {
    const known = this.byLife.get(key);
    if (known) {
      return known;
    }
    const [id, born] = key.split('@');
    const info: TargetInfo = {
      id: id ?? key,
      born: Number(born ?? 0),
      address: '',
      pool: '',
      domain: '',
      rack: '',
      labels: [],
      capacity: {cpu: 0, memoryMb: 0, accelerators: 0},
      isDraining: true,
    };
    const room = new TargetState(info, this.othersOverAt);
    room.isRegistered = false;
    this.byLife.set(key, room);
    return room;
  }

  /** Another life answered at the room's address. */
  onOtherIncarnation(room: TargetState, born: number): void {
    if (!room.isRemoved && this.byId.get(room.info.id) === room) {
      this.replace(room, {...room.info, born});
    }
  }

  /** Forgets rooms that hold nothing and that the registry does not list. */
  sweep(now: Instant, unlistedTime: Milliseconds): void {
    for (const room of this.byLife.values()) {
      const isSilent = now - room.lastResponseAt > unlistedTime;
      if (!room.isRegistered && room.allocations.size === 0 && isSilent) {
        this.remove(room);
      }
    }
  }

  private add(info: TargetInfo, epochOffset = 0): TargetState {
    const room = new TargetState(info, this.othersOverAt);
    const ghost = this.byLife.get(room.key);
    if (ghost) {
      ghost.info = info;
      ghost.isRegistered = true;
    }
    const present = ghost ?? room;
    this.byLife.set(present.key, present);
    this.byId.set(info.id, present);
    present.epochOffset = epochOffset;
    this.events.onTargetAdded(present);
    return present;
  }

  private replace(room: TargetState, info: TargetInfo): void {
    this.remove(room);
    const next = this.byLife.get(formatIncarnationKey(info.id, info.born));
    const offset = Math.min(room.epochOffset + 1, MAX_INCARNATIONS - 1);
    const replacement = next ?? this.add(info, offset);
    this.events.onTargetReplaced(room, replacement);
  }

  private remove(room: TargetState): void {
    room.isRemoved = true;
    this.byLife.delete(room.key);
    if (this.byId.get(room.info.id) === room) {
      this.byId.delete(room.info.id);
    }
  }
}
