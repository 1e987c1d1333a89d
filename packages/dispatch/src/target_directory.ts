/** Directory of target states, updated from the registry. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {TargetReference} from '@galenavalve/workload';
import {MAX_INCARNATIONS} from './leader_monitor.js';
import type {TargetInfo} from './target_info.js';
import {TargetState} from './target_state.js';

/** Events of the directory. */
export interface TargetDirectoryEvents {
  /** Called when an incarnation was registered for the first time. */
  onTargetAdded(target: TargetState): void;
  /** Called when incarnation `next` has replaced `target`. */
  onTargetReplaced(target: TargetState, next: TargetState): void;
}

/** Target states by incarnation, and the current incarnation by target id. */
export class TargetDirectory {
  private readonly byIncarnation = new Map<string, TargetState>();
  private readonly byId = new Map<string, TargetState>();
  private readonly byAddress = new Map<string, TargetState>();

  /**
   * `earlierLeasesExpireAt` is the time at which all leases that previous
   * leaders granted have expired.
   */
  constructor(
    private readonly events: TargetDirectoryEvents,
    private readonly earlierLeasesExpireAt: Instant,
  ) {}

  /** Returns all target states that may have allocations. */
  listTargets(): IterableIterator<TargetState> {
    return this.byIncarnation.values();
  }

  /** Whether there are targets and all registered ones have listed their runs. */
  get areAllListed(): boolean {
    const targets = [...this.byIncarnation.values()];
    return (
      targets.length > 0 &&
      targets.every(target => target.hasListing || !target.isRegistered)
    );
  }

  /** Adds or updates a target from its registry entry. */
  onRegistered(info: TargetInfo, now: Instant): void {
    const current = this.byId.get(info.id);
    if (!current) {
      this.add(info);
      return;
    }
    if (info.born < current.info.born) {
      return;
    }
    if (info.born > current.info.born) {
      this.replace(current, info);
      return;
    }
    current.info = info;
    current.isRegistered = true;
    this.byAddress.set(info.address, current);
    if (info.isDraining) {
      current.drainingSince ??= now;
    }
  }

  /** Marks a target that was removed from the registry. */
  onUnregistered(id: string): void {
    const target = this.byId.get(id);
    if (target) {
      target.isRegistered = false;
    }
  }

  /**
   * Returns the state of an incarnation that a record names. Creates a
   * placeholder if the registry does not list it.
   */
  findOrCreateIncarnation({
    incarnation: key,
    address,
  }: TargetReference): TargetState {
    const known = this.byIncarnation.get(key);
    if (known) {
      return known;
    }
    const [id, born] = key.split('@');
    const info: TargetInfo = {
      id: id ?? key,
      born: Number(born ?? 0),
      address,
      pool: '',
      domain: '',
      rack: '',
      labels: [],
      capacity: {cpu: 0, memoryMb: 0, accelerators: 0},
      isDraining: true,
    };
    const target = new TargetState(info, this.earlierLeasesExpireAt);
    target.isRegistered = false;
    this.byIncarnation.set(key, target);
    return target;
  }

  /** Called when another incarnation responds at the target's address. */
  onOtherIncarnation(target: TargetState, born: number): void {
    if (!target.isRemoved && this.byId.get(target.info.id) === target) {
      // The next incarnation may be of another kind, so its capacity and labels
      // are unknown until it is registered.
      this.replace(target, {...target.info, born}).isRegistered = false;
    }
  }

  /**
   * Returns the registered incarnation that has started later with the same id
   * or at the same address, which proves that `target` has ended.
   */
  findSuccessor({info}: TargetState): TargetState | undefined {
    const later = [this.byId.get(info.id), this.byAddress.get(info.address)];
    return later.find(other => other && other.info.born > info.born);
  }

  /**
   * Removes targets that are not registered, have no allocations and have not
   * responded for longer than `idleTimeout`.
   */
  sweep(now: Instant, idleTimeout: Milliseconds): void {
    for (const target of this.byIncarnation.values()) {
      const isUnresponsive = now - target.lastResponseAt > idleTimeout;
      if (
        !target.isRegistered &&
        target.allocations.size === 0 &&
        isUnresponsive
      ) {
        this.remove(target);
      }
    }
  }

  private add(info: TargetInfo, epochOffset = 0): TargetState {
    const target = new TargetState(info, this.earlierLeasesExpireAt);
    const unregistered = this.byIncarnation.get(target.key);
    if (unregistered) {
      unregistered.info = info;
      unregistered.isRegistered = true;
    }
    const current = unregistered ?? target;
    this.byIncarnation.set(current.key, current);
    this.byId.set(info.id, current);
    this.byAddress.set(info.address, current);
    current.epochOffset = epochOffset;
    this.events.onTargetAdded(current);
    return current;
  }

  private replace(target: TargetState, info: TargetInfo): TargetState {
    this.remove(target);
    const offset = Math.min(target.epochOffset + 1, MAX_INCARNATIONS - 1);
    const replacement = this.add(info, offset);
    this.events.onTargetReplaced(target, replacement);
    return replacement;
  }

  private remove(target: TargetState): void {
    target.isRemoved = true;
    this.byIncarnation.delete(target.key);
    const {id, address} = target.info;
    if (this.byId.get(id) === target) {
      this.byId.delete(id);
    }
    if (this.byAddress.get(address) === target) {
      this.byAddress.delete(address);
    }
  }
}
