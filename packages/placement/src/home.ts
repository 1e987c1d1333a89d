/**
 * Homes: the physical cell of every guaranteed cell.
 *
 * Homes never overlap, so as long as every guaranteed cell has one, all unused
 * guarantees can be satisfied at once. A home in which its workspace runs
 * guaranteed work is bound; any other home is only a witness and can be
 * exchanged with an equal part of the domain at any time.
 */
import type {CellLevel} from '@galenavalve/model';
import {countBits} from './accelerator_mask.js';
import type {RunningGang} from './policy.js';
import type {Room, TargetCell} from './target_cell.js';
import {addTasks, capacityOf, subtractTasks} from './target_cell.js';

/** Accelerators of one target. */
export interface Part {
  target: TargetCell;
  mask: number;
}

/** The physical cell of one guaranteed cell. */
export interface Home {
  readonly workspace: string;
  readonly level: CellLevel;
  parts: Part[];
}

/** Homes and guaranteed work of one workspace. */
export interface WorkspaceHomes {
  readonly homes: Set<Home>;
  /** Accelerators of its homes, by target. */
  readonly masks: Map<TargetCell, number>;
  /** What its guaranteed gangs use, by target; sums are negative, the mask is not. */
  readonly uses: Map<TargetCell, Room>;
  /** Accelerators of its homes that its guaranteed gangs do not use. */
  unused: number;
}

/** The homes of one failure domain. */
export class HomeMap {
  private readonly workspaces = new Map<string, WorkspaceHomes>();
  private readonly homesByTarget = new Map<TargetCell, Set<Home>>();
  private readonly usedMasks = new Map<TargetCell, number>();

  // Commands

  /** Adds a home whose parts no other home covers. */
  add(home: Home): void {
    const own = this.of(home.workspace);
    own.homes.add(home);
    for (const {target, mask} of home.parts) {
      own.masks.set(target, (own.masks.get(target) ?? 0) | mask);
      own.unused += countBits(mask);
      let homes = this.homesByTarget.get(target);
      if (!homes) {
        homes = new Set();
        this.homesByTarget.set(target, homes);
      }
      homes.add(home);
    }
  }

  remove(home: Home): void {
    const own = this.of(home.workspace);
    own.homes.delete(home);
    for (const {target, mask} of home.parts) {
      const rest = (own.masks.get(target) ?? 0) & ~mask;
      if (rest === 0) {
        own.masks.delete(target);
      } else {
        own.masks.set(target, rest);
      }
      own.unused -= countBits(mask);
      this.homesByTarget.get(target)?.delete(home);
    }
  }

  /** Notes that a guaranteed gang runs on a target. */
  use(gang: RunningGang, {target, mask}: Part, tasks: number): void {
    const own = this.of(gang.workspace);
    const {uses} = own;
    let used = uses.get(target);
    if (!used) {
      used = {accelerators: 0, processors: 0, memoryMb: 0, slots: 0};
      uses.set(target, used);
    }
    subtractTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators |= mask;
    own.unused -= countBits(mask);
    this.usedMasks.set(target, this.usedMask(target) | mask);
  }

  /** Takes back what `use` noted. */
  unuse(gang: RunningGang, {target, mask}: Part, tasks: number): void {
    const own = this.of(gang.workspace);
    const {uses} = own;
    const used = uses.get(target);
    if (!used) {
      return;
    }
    addTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators &= ~mask;
    if (used.slots === 0) {
      uses.delete(target);
    }
    own.unused += countBits(mask);
    this.usedMasks.set(target, this.usedMask(target) & ~mask);
  }

  // Queries

  of(workspace: string): WorkspaceHomes {
    let own = this.workspaces.get(workspace);
    if (!own) {
      own = {homes: new Set(), masks: new Map(), uses: new Map(), unused: 0};
      this.workspaces.set(workspace, own);
    }
    return own;
  }

  all(): Iterable<[string, WorkspaceHomes]> {
    return this.workspaces;
  }

  on(target: TargetCell): ReadonlySet<Home> {
    return this.homesByTarget.get(target) ?? NO_HOMES;
  }

  /** Accelerators of a target that are promised to anybody. */
  promisedMask(target: TargetCell): number {
    let mask = 0;
    for (const home of this.on(target)) {
      mask |= maskOn(home, target);
    }
    return mask;
  }

  /** Accelerators of a target that guaranteed gangs use. */
  usedMask(target: TargetCell): number {
    return this.usedMasks.get(target) ?? 0;
  }

  /** Whether guaranteed work of its workspace runs in a home. */
  isBound(home: Home): boolean {
    const {uses} = this.of(home.workspace);
    return home.parts.some(({target, mask}) => {
      const used = uses.get(target);
      return (
        used !== undefined &&
        (used.accelerators === 0 || (used.accelerators & mask) !== 0)
      );
    });
  }

  /**
   * The part of a target that a workspace is promised. Processors, memory and
   * slots are shared in proportion to accelerators.
   */
  promisedRoom(workspace: string, target: TargetCell): Room | undefined {
    const mask = this.of(workspace).masks.get(target);
    if (!mask) {
      return undefined;
    }
    const capacity = capacityOf(target.spec);
    const share = countBits(mask) / target.spec.accelerators;
    return {
      accelerators: mask,
      processors: capacity.processors * share,
      memoryMb: capacity.memoryMb * share,
      slots: Math.floor(capacity.slots * share),
    };
  }

  /** What a workspace may still use of a target within its guarantee, counting borrowers as absent. */
  guaranteedRoom(workspace: string, target: TargetCell): Room | undefined {
    const room = this.promisedRoom(workspace, target);
    const used = this.of(workspace).uses.get(target);
    if (room && used) {
      room.accelerators &= ~used.accelerators;
      room.processors += used.processors;
      room.memoryMb += used.memoryMb;
      room.slots += used.slots;
    }
    return room;
  }
}

/** The accelerators of a home on one target. */
export function maskOn(home: Home, target: TargetCell): number {
  return home.parts.find(part => part.target === target)?.mask ?? 0;
}

const NO_HOMES: ReadonlySet<Home> = new Set();
