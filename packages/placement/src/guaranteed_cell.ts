/**
 * Guaranteed cells: the accelerators that currently back each guarantee.
 *
 * Guaranteed cells never overlap, so while every guarantee has its cells, all
 * unused guarantees can be satisfied at once. A cell in which its workspace runs
 * guaranteed work is bound. Any other cell only proves that the guarantee can be
 * satisfied, and can be exchanged with an equal block of the domain at any time.
 */
import type {CellLevel} from '@galenavalve/model';
import {countBits} from './accelerator_mask.js';
import type {RunningGang} from './policy.js';
import type {TargetResources, TargetCell} from './target_cell.js';
import {addTasks, getCapacity, subtractTasks} from './target_cell.js';

/** A slice: the accelerators of one target that belong to a cell, as a bit mask. */
export interface TargetSlice {
  target: TargetCell;
  mask: number;
}

/**
 * A part of the capacity hierarchy (an accelerator, half a target, a target, a
 * rack or the domain) that currently backs one cell of a guarantee.
 */
export interface GuaranteedCell {
  readonly workspace: string;
  readonly level: CellLevel;
  /** The accelerators of the cell, one slice for each of its targets. */
  slices: TargetSlice[];
}

/** Guaranteed cells and guaranteed work of one workspace. */
export interface WorkspaceCells {
  readonly cells: Set<GuaranteedCell>;
  /** Masks of the accelerators of its cells, by target. */
  readonly masksByTarget: Map<TargetCell, number>;
  /**
   * Usage by its guaranteed gangs, by target: the mask of used accelerators, and
   * the other resources as negative amounts.
   */
  readonly usageByTarget: Map<TargetCell, TargetResources>;
  /** Number of accelerators of its cells that its guaranteed gangs do not use. */
  unusedAccelerators: number;
}

/** The guaranteed cells of one failure domain. */
export class GuaranteedCellMap {
  private readonly workspaces = new Map<string, WorkspaceCells>();
  private readonly cellsByTarget = new Map<TargetCell, Set<GuaranteedCell>>();
  private readonly usedMasks = new Map<TargetCell, number>();

  // Commands

  /** Adds a cell; its slices must not overlap other cells. */
  add(cell: GuaranteedCell): void {
    const entry = this.getWorkspace(cell.workspace);
    entry.cells.add(cell);
    for (const {target, mask} of cell.slices) {
      entry.masksByTarget.set(
        target,
        (entry.masksByTarget.get(target) ?? 0) | mask,
      );
      entry.unusedAccelerators += countBits(mask);
      let cells = this.cellsByTarget.get(target);
      if (!cells) {
        cells = new Set();
        this.cellsByTarget.set(target, cells);
      }
      cells.add(cell);
    }
  }

  /** Removes a cell; usage by running gangs is kept. */
  remove(cell: GuaranteedCell): void {
    const entry = this.getWorkspace(cell.workspace);
    entry.cells.delete(cell);
    for (const {target, mask} of cell.slices) {
      const rest = (entry.masksByTarget.get(target) ?? 0) & ~mask;
      if (rest === 0) {
        entry.masksByTarget.delete(target);
      } else {
        entry.masksByTarget.set(target, rest);
      }
      entry.unusedAccelerators -= countBits(mask);
      this.cellsByTarget.get(target)?.delete(cell);
    }
  }

  /** Records that a guaranteed gang runs on a target. */
  addUse(gang: RunningGang, {target, mask}: TargetSlice, tasks: number): void {
    const entry = this.getWorkspace(gang.workspace);
    const {usageByTarget} = entry;
    let used = usageByTarget.get(target);
    if (!used) {
      used = {accelerators: 0, processors: 0, memoryMb: 0, slots: 0};
      usageByTarget.set(target, used);
    }
    subtractTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators |= mask;
    entry.unusedAccelerators -= countBits(mask);
    this.usedMasks.set(target, this.getUsedMask(target) | mask);
  }

  /** Reverts `addUse`. */
  removeUse(
    gang: RunningGang,
    {target, mask}: TargetSlice,
    tasks: number,
  ): void {
    const entry = this.getWorkspace(gang.workspace);
    const {usageByTarget} = entry;
    const used = usageByTarget.get(target);
    if (!used) {
      return;
    }
    addTasks(used, gang.gang.perTask, tasks, 0);
    used.accelerators &= ~mask;
    if (used.slots === 0) {
      usageByTarget.delete(target);
    }
    entry.unusedAccelerators += countBits(mask);
    this.usedMasks.set(target, this.getUsedMask(target) & ~mask);
  }

  // Queries

  /** Returns the cells of a workspace; creates an empty entry if there is none. */
  getWorkspace(workspace: string): WorkspaceCells {
    let entry = this.workspaces.get(workspace);
    if (!entry) {
      entry = {
        cells: new Set(),
        masksByTarget: new Map(),
        usageByTarget: new Map(),
        unusedAccelerators: 0,
      };
      this.workspaces.set(workspace, entry);
    }
    return entry;
  }

  /** Lists the workspaces that have an entry, with their cells. */
  listWorkspaces(): Iterable<[string, WorkspaceCells]> {
    return this.workspaces;
  }

  /** Returns the cells of all workspaces on a target. */
  listCellsOn(target: TargetCell): ReadonlySet<GuaranteedCell> {
    return this.cellsByTarget.get(target) ?? NO_CELLS;
  }

  /**
   * Returns the mask of a target's accelerators that belong to guaranteed cells
   * of any workspace.
   */
  getGuaranteedMask(target: TargetCell): number {
    let mask = 0;
    for (const cell of this.listCellsOn(target)) {
      mask |= getMaskOn(cell, target);
    }
    return mask;
  }

  /** Returns the mask of a target's accelerators that guaranteed gangs use. */
  getUsedMask(target: TargetCell): number {
    return this.usedMasks.get(target) ?? 0;
  }

  /**
   * Returns whether guaranteed work of its workspace runs in a cell. A gang
   * without accelerators binds every cell of its workspace on the target, if no
   * guaranteed gang uses accelerators there.
   */
  isBound(cell: GuaranteedCell): boolean {
    const {usageByTarget} = this.getWorkspace(cell.workspace);
    return cell.slices.some(({target, mask}) => {
      const used = usageByTarget.get(target);
      return (
        used !== undefined &&
        (used.accelerators === 0 || (used.accelerators & mask) !== 0)
      );
    });
  }

  /**
   * Returns the resources of a target that are guaranteed to a workspace, or
   * undefined if it has no cell there. Processors, memory and slots are
   * proportional to the accelerators.
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

  /**
   * Returns the resources of a target that a workspace may still use within its
   * guarantee, as if no borrowers ran there.
   */
  getRemainingGuarantee(
    workspace: string,
    target: TargetCell,
  ): TargetResources | undefined {
    const resources = this.getGuaranteedResources(workspace, target);
    const used = this.getWorkspace(workspace).usageByTarget.get(target);
    if (resources && used) {
      resources.accelerators &= ~used.accelerators;
      resources.processors += used.processors;
      resources.memoryMb += used.memoryMb;
      resources.slots += used.slots;
    }
    return resources;
  }
}

/** Returns the mask of a cell's accelerators on one target. */
export function getMaskOn(cell: GuaranteedCell, target: TargetCell): number {
  return cell.slices.find(slice => slice.target === target)?.mask ?? 0;
}

const NO_CELLS: ReadonlySet<GuaranteedCell> = new Set();
