/** Directory of target states, updated from the registry. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {TargetReference} from '@galenavalve/workload';
import {MAX_INCARNATIONS} from './leader_monitor.js';
import type {TargetInfo} from './target_info.js';
import {TargetState} from './target_state.js';

/**
 * Time by which a start may lie after this instance's clock. An entry beyond it
 * names no target; the clocks of working machines differ by far less.
 */
const MAX_BIRTH_LEAD_MS: Milliseconds = 24 * 3_600_000;

/**
 * Time without a response after which an entry that contradicts a target
 * replaces it. Until then the target itself tells whether it has restarted.
 */
const SILENCE_MS: Milliseconds = 2000;

/**
 * Time for which a target that was removed after its runs had lapsed is
 * remembered, and the limit of such targets. One that comes back later is not
 * taken for crashed under these runs.
 */
const MAX_ABSENCE_MS: Milliseconds = 600_000;
const MAX_ABSENT_TARGETS = 1000;

/** Events of the directory. */
export interface TargetDirectoryEvents {
  /** Called when an incarnation was registered for the first time. */
  onTargetAdded(target: TargetState): void;
  /** Called when incarnation `next` has replaced `target`. */
  onTargetReplaced(target: TargetState, next: TargetState): void;
  /** Called when entry `info` contradicts `target`, which has not fallen silent. */
  onTargetContested(target: TargetState, info: TargetInfo): void;
  /** Called when an entry names no target. */
  onEntryIgnored(info: TargetInfo): void;
}

/** Target states by incarnation, and the current incarnation by target id. */
export class TargetDirectory {
  private readonly byIncarnation = new Map<string, TargetState>();
  private readonly byId = new Map<string, TargetState>();
  private readonly byAddress = new Map<string, TargetState>();
  /** Targets that were swept after runs on them had lapsed, by incarnation. */
  private readonly absent = new Map<
    string,
    {target: TargetState; since: Instant}
  >();
  /** Entries that contradict a target which responds, by id. */
  private readonly contested = new Map<string, TargetInfo>();
  /** Entry of the last incarnation that has responded and was replaced, by id. */
  private readonly displaced = new Map<string, TargetInfo>();
  /**
   * Newest incarnation, by target id, whose commands carry an epoch offset. It
   * is kept when the target is swept, since the target keeps its fence.
   */
  private readonly epochOffsets = new Map<
    string,
    {born: number; offset: number}
  >();

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

  /** Returns all target states, and those that were swept after runs on them had lapsed; a successor proves that these had crashed. */
  listAllTargets(): TargetState[] {
    const absent = [...this.absent.values()].map(({target}) => target);
    return [...this.listTargets(), ...absent];
  }

  /** Whether there are targets and all registered ones have listed their runs. */
  get areAllListed(): boolean {
    const targets = [...this.byIncarnation.values()];
    return (
      targets.length > 0 &&
      targets.every(target => target.hasListing || !target.isRegistered)
    );
  }

  /**
   * Adds or updates a target from its registry entry. Anyone may write there, so
   * an entry does not end a target that responds: that needs the target's
   * silence, or the response of another incarnation.
   */
  onRegistered(info: TargetInfo, now: Instant, wallNow: number): void {
    if (info.born > wallNow + MAX_BIRTH_LEAD_MS) {
      this.events.onEntryIgnored(info);
      return;
    }
    const current = this.byId.get(info.id);
    if (info.born >= (this.contested.get(info.id)?.born ?? 0)) {
      this.contested.delete(info.id);
    }
    if (!current) {
      this.add(info);
    } else if (info.born === current.info.born) {
      this.update(current, info, now);
    } else if (mayReplace(current, info, now)) {
      this.replace(current, info);
    } else if (info.born > current.info.born || !current.hasListing) {
      this.contested.set(info.id, info);
      this.events.onTargetContested(current, info);
    }
  }

  /** Applies the entries that contradict targets which have fallen silent since. */
  settleContested(now: Instant): void {
    for (const [id, info] of this.contested) {
      const current = this.byId.get(id);
      if (!current || mayReplace(current, info, now)) {
        this.contested.delete(id);
        if (current) {
          this.replace(current, info);
        } else {
          this.add(info);
        }
      }
    }
  }

  /** Marks a target that was removed from the registry. */
  onUnregistered(id: string): void {
    this.contested.delete(id);
    this.displaced.delete(id);
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
    const separator = key.lastIndexOf('@');
    const info: TargetInfo = {
      id: key.slice(0, separator),
      born: Number(key.slice(separator + 1)),
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
    const {id} = target.info;
    if (target.isRemoved || this.byId.get(id) !== target) {
      return;
    }
    const entries = [this.contested.get(id), this.displaced.get(id)];
    const entry = entries.find(other => other?.born === born);
    if (entry) {
      this.contested.delete(id);
      this.replace(target, entry);
    } else {
      // The next incarnation may be of another kind, so its capacity and labels
      // are unknown until it is registered.
      this.replace(target, {...target.info, born}).isRegistered = false;
    }
  }

  /**
   * Returns the registered incarnation that has started later with the same id
   * or at the same address, and responds there, which proves that `target` has
   * ended.
   */
  findSuccessor({info}: TargetState): TargetState | undefined {
    const later = [this.byId.get(info.id), this.byAddress.get(info.address)];
    return later.find(
      other => other?.hasListing && other.info.born > info.born,
    );
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
        if (target.lapsedRuns.length > 0) {
          this.absent.set(target.key, {target, since: now});
        }
      }
    }
    for (const [key, {target, since}] of this.absent) {
      const isOver =
        now - since > MAX_ABSENCE_MS ||
        this.absent.size > MAX_ABSENT_TARGETS ||
        target.lapsedRuns.length === 0;
      if (isOver) {
        this.absent.delete(key);
      }
    }
  }

  private add(info: TargetInfo): TargetState {
    const target = new TargetState(info, this.earlierLeasesExpireAt);
    const unregistered = this.byIncarnation.get(target.key);
    if (unregistered) {
      unregistered.info = info;
      unregistered.isRegistered = true;
    }
    const current = unregistered ?? target;
    this.absent.delete(current.key);
    this.byIncarnation.set(current.key, current);
    this.byId.set(info.id, current);
    this.byAddress.set(info.address, current);
    current.epochOffset = this.chooseEpochOffset(info);
    this.events.onTargetAdded(current);
    return current;
  }

  private update(target: TargetState, info: TargetInfo, now: Instant): void {
    // The address of an incarnation that has responded at it cannot change.
    if (target.hasListing && info.address !== target.info.address) {
      this.events.onEntryIgnored(info);
      return;
    }
    target.info = info;
    target.isRegistered = true;
    this.byAddress.set(info.address, target);
    if (info.isDraining) {
      target.drainingSince ??= now;
    }
  }

  private replace(target: TargetState, info: TargetInfo): TargetState {
    this.remove(target);
    if (target.hasListing) {
      this.displaced.set(target.info.id, target.info);
    }
    const next = this.add(info);
    this.events.onTargetReplaced(target, next);
    return next;
  }

  /** Returns the offset of commands to an incarnation, one above that of the former one. */
  private chooseEpochOffset({id, born}: TargetInfo): number {
    const known = this.epochOffsets.get(id) ?? {born, offset: 0};
    // The clock by which start times are told may be set back.
    const offset =
      born === known.born
        ? known.offset
        : Math.min(known.offset + 1, MAX_INCARNATIONS - 1);
    this.epochOffsets.set(id, {born, offset});
    return offset;
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

/** Whether an entry of another incarnation replaces `target`. */
function mayReplace(
  target: TargetState,
  info: TargetInfo,
  now: Instant,
): boolean {
  const isEmpty = !target.hasListing && target.allocations.size === 0;
  return (
    target.isSilent(now, SILENCE_MS) &&
    (info.born > target.info.born || isEmpty)
  );
}
