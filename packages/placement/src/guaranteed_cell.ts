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
import type {TargetResources, TargetCell} from './target_cell.js';
import {addTasks, getCapacity, subtractTasks} from './target_cell.js';

/** Accelerators of one target. */
export interface TargetSlice {
  target: TargetCell;
  mask: number;
}

/** The physical cell of one guaranteed cell. */
export interface GuaranteedCell {
  readonly workspace: string;
  readonly level: CellLevel;
  slices: TargetSlice[];
}

/** Homes and guaranteed work of one workspace. */
export interface WorkspaceCells {
  readonly cells: Set<GuaranteedCell>;
  /** Accelerators of its homes, by target. */
  readonly masksByTarget: Map<TargetCell, number>;
  /** What its guaranteed gangs use, by target; sums are negative, the mask is not. */
  readonly usageByTarget: Map<TargetCell, TargetResources>;
  /** Accelerators of its homes that its guaranteed gangs do not use. */
  unusedAccelerators: number;
}

/** The homes of one failure domain. */
export class GuaranteedCellMap {
  private readonly workspaces = new Map<string, WorkspaceCells>();
  private readonly homesByTarget = new Map<TargetCell, Set<GuaranteedCell>>();
  private readonly usedMasks = new Map<TargetCell, number>();

  // Commands

  /** Adds a home whose parts no other home covers. */
  add(home: GuaranteedCell): void {
    const own = this.getWorkspace(home.workspace);
    own.cells.add(home);
    for (const {target, mask} of home.slices) {
      own.masksByTarget.set(
        target,
        (own.masksByTarget.get(target) ?? 0) | mask,
      );
      own.unusedAccelerators += countBits(mask);
      let homes = this.homesByTarget.get(target);
      if (!homes) {
        homes = new Set();
        this.homesByTarget.set(target, homes);
      }
      homes.add(home);
    }
  }

  remove(home: GuaranteedCell): void {
    const own = this.getWorkspace(home.workspace);
    own.cells.delete(home);
    for (const {target, mask} of home.slices) {
      const rest = (own.masksByTarget.get(target) ?? 0) & ~mask;
      if (rest === 0) {
        own.masksByTarget.delete(target);
      } else {
        own.masksByTarget.set(target, rest);
      }
      own.unusedAccelerators -= countBits(mask);
      this.homesByTarget.get(target)?.delete(home);
    }
  }

  /** Notes that a guaranteed gang runs on a target. */
  addUse(gang: RunningGang, {target, mask}: TargetSlice, tasks: number): void {
    const own = this.getWorkspace(gang.workspace);
    const {usageByTarget: uses} = own;
    let used = uses.get(target);
    if (!used) {
      used = {accelerators: 0, processors: 0, memoryMb: 0, slots: 0};
      uses.set(target, used);
    }
    subtractTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators |= mask;
    own.unusedAccelerators -= countBits(mask);
    this.usedMasks.set(target, this.getUsedMask(target) | mask);
  }

  /** Takes back what `use` noted. */
  removeUse(
    gang: RunningGang,
    {target, mask}: TargetSlice,
    tasks: number,
  ): void {
    const own = this.getWorkspace(gang.workspace);
    const {usageByTarget: uses} = own;
    const used = uses.get(target);
    if (!used) {
      return;
    }
    addTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators &= ~mask;
    if (used.slots === 0) {
      uses.delete(target);
    }
    own.unusedAccelerators += countBits(mask);
    this.usedMasks.set(target, this.getUsedMask(target) & ~mask);
  }

  // Queries

  getWorkspace(workspace: string): WorkspaceCells {
    let own = this.workspaces.get(workspace);
    if (!own) {
      own = {
        cells: new Set(),
        masksByTarget: new Map(),
        usageByTarget: new Map(),
        unusedAccelerators: 0,
      };
      this.workspaces.set(workspace, own);
    }
    return own;
  }

  listWorkspaces(): Iterable<[string, WorkspaceCells]> {
    return this.workspaces;
  }

  listCellsOn(target: TargetCell): ReadonlySet<GuaranteedCell> {
    return this.homesByTarget.get(target) ?? NO_HOMES;
  }

  /** Accelerators of a target that are promised to anybody. */
  getGuaranteedMask(target: TargetCell): number {
    let mask = 0;
    for (const home of this.listCellsOn(target)) {
      mask |= getMaskOn(home, target);
    }
    return mask;
  }

  /** Accelerators of a target that guaranteed gangs use. */
  getUsedMask(target: TargetCell): number {
    return this.usedMasks.get(target) ?? 0;
  }

  /** Whether guaranteed work of its workspace runs in a home. */
  isBound(home: GuaranteedCell): boolean {
    const {usageByTarget: uses} = this.getWorkspace(home.workspace);
    return home.slices.some(({target, mask}) => {
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
  getGuaranteedResources(
    workspace: string,
    target: TargetCell,
  ): TargetResources | undefined {
    const mask = this.getWorkspace(workspace).masksByTarget.get(target);
    if (!mask) {
      return undefined;
    }
    const capacity = getCapacity(target.spec);
    const share = countBits(mask) / target.spec.accelerators;
    return {
      accelerators: mask,
      processors: capacity.processors * share,
      memoryMb: capacity.memoryMb * share,
      slots: Math.floor(capacity.slots * share),
    };
  }

  /** What a workspace may still use of a target within its guarantee, counting borrowers as absent. */
  getRemainingGuarantee(
    workspace: string,
    target: TargetCell,
  ): TargetResources | undefined {
    const room = this.getGuaranteedResources(workspace, target);
    const used = this.getWorkspace(workspace).usageByTarget.get(target);
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
export function getMaskOn(home: GuaranteedCell, target: TargetCell): number {
  return home.slices.find(part => part.target === target)?.mask ?? 0;
}

const NO_HOMES: ReadonlySet<GuaranteedCell> = new Set();
