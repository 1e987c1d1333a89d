/**
 * Plans the guaranteed cells of a failure domain: assigns accelerators to every
 * guarantee, the largest cells first and, within a level, the workspaces with
 * the fewest permitted targets first.
 */
import type {CellLevel} from '@galenavalve/model';
import {
  countBits,
  createFullMask,
  listHalfMasks,
  selectLowestBits,
} from './accelerator_mask.js';
import {
  type GuaranteedCell,
  GuaranteedCellMap,
  type TargetSlice,
} from './guaranteed_cell.js';
import type {Inventory} from './inventory.js';
import type {RunningGang} from './policy.js';
import {
  type DomainGuarantee,
  LEVELS_LARGEST_FIRST,
  type LevelCounts,
  createLevelCounts,
} from './domain_guarantee.js';
import type {RackCell} from './rack_cell.js';
import type {TargetCell} from './target_cell.js';
import {bindRunningGangs} from './cell_binding.js';

/** A guarantee of which some cells fit on no available targets. */
export interface UnplacedCells extends DomainGuarantee {
  /** Cells without a complete place, of the `count` that were still to be placed. */
  missing: number;
}

/** The result of planning. */
export interface CellPlan {
  /** All placed cells, including degraded ones, which lack some targets of their rack or domain. */
  guaranteedCells: GuaranteedCellMap;
  unplaced: UnplacedCells[];
}

/** Input of a plan. */
export interface CellPlanRequest {
  inventory: Inventory;
  guarantees: readonly DomainGuarantee[];
  /** Returns whether unbound cells may use the target. */
  isAvailable: (target: TargetCell) => boolean;
  /** Gangs that run within a guarantee; the cells around them are bound. */
  guaranteedGangs: Iterable<RunningGang>;
  /** The cells of the previous plan; bound cells, in which guaranteed work runs, are kept. */
  previous?: GuaranteedCellMap;
}

/** Plans the guaranteed cells of one domain. */
export function planGuaranteedCells(request: CellPlanRequest): CellPlan {
  return new CellPlanner(request).plan();
}

/** Working state of one plan. */
export class CellPlanner {
  readonly guaranteedCells = new GuaranteedCellMap();
  readonly inventory: Inventory;
  /** Accelerators that belong to a cell or to running guaranteed work, by target. */
  readonly takenMasks = new Map<TargetCell, number>();
  /** Cells in which guaranteed work runs. */
  readonly boundCells = new Set<GuaranteedCell>();
  private readonly remaining = new Map<string, LevelCounts>();
  private readonly unplaced: UnplacedCells[] = [];
  private readonly targets: TargetCell[];
  private readonly racks: RackCell[];
  private readonly isRestricted: boolean;

  constructor(private readonly request: CellPlanRequest) {
    this.inventory = request.inventory;
    this.racks = [...request.inventory.racks.values()];
    this.racks.sort(
      (a, b) => countRackAccelerators(b) - countRackAccelerators(a),
    );
    // Small cells are placed in small racks first, so that large racks stay
    // intact for rack cells.
    this.targets = [...this.racks].reverse().flatMap(rack => rack.targets);
    this.isRestricted = this.targets.some(
      target => target.spec.permittedWorkspaces,
    );
    for (const {workspace, level, count} of request.guarantees) {
      this.getRemaining(workspace)[level] += count;
    }
  }

  /** Binds cells to running gangs, then places the remaining cells. */
  plan(): CellPlan {
    bindRunningGangs(this, this.request.guaranteedGangs, this.request.previous);
    const order = this.orderWorkspaces();
    for (const level of LEVELS_LARGEST_FIRST) {
      for (const workspace of order) {
        this.placeLevel(workspace, level);
      }
    }
    return {guaranteedCells: this.guaranteedCells, unplaced: this.unplaced};
  }

  /** Returns the numbers of guaranteed cells of a workspace that are still to be placed. */
  getRemaining(workspace: string): LevelCounts {
    let counts = this.remaining.get(workspace);
    if (!counts) {
      counts = createLevelCounts();
      this.remaining.set(workspace, counts);
    }
    return counts;
  }

  /** Returns whether no accelerator of the slices is taken. A slice is a set of accelerators of one target. */
  isFree(slices: readonly TargetSlice[]): boolean {
    return slices.every(
      ({target, mask}) => ((this.takenMasks.get(target) ?? 0) & mask) === 0,
    );
  }

  /** Marks the accelerators of the slices as taken. */
  markTaken(slices: readonly TargetSlice[]): void {
    for (const {target, mask} of slices) {
      this.takenMasks.set(target, (this.takenMasks.get(target) ?? 0) | mask);
    }
  }

  /** Places one cell of a workspace on slices that are free. */
  addCell(
    workspace: string,
    level: CellLevel,
    slices: TargetSlice[],
  ): GuaranteedCell {
    const cell: GuaranteedCell = {workspace, level, slices};
    this.getRemaining(workspace)[level]--;
    this.markTaken(slices);
    this.guaranteedCells.add(cell);
    return cell;
  }

  private orderWorkspaces(): string[] {
    const permitted = new Map<string, number>();
    for (const workspace of this.remaining.keys()) {
      const count = this.isRestricted
        ? this.targets.filter(target => target.permits(workspace)).length
        : 0;
      permitted.set(workspace, count);
    }
    return [...permitted.keys()].sort(
      (a, b) => permitted.get(a)! - permitted.get(b)! || (a < b ? -1 : 1),
    );
  }

  private placeLevel(workspace: string, level: CellLevel): void {
    const remaining = this.getRemaining(workspace);
    const count = remaining[level];
    if (count === 0) {
      return;
    }
    if (level === 'domain' || level === 'rack') {
      this.placeOnRacksOrDomain(workspace, level);
    } else {
      this.placeOnTargets(workspace, level);
    }
    const missing = remaining[level];
    if (missing > 0) {
      this.unplaced.push({workspace, level, count, missing});
      this.placeDegraded(workspace, level);
    }
  }

  private placeOnRacksOrDomain(
    workspace: string,
    level: 'domain' | 'rack',
  ): void {
    const remaining = this.getRemaining(workspace);
    for (const targets of this.listTargetGroups(level)) {
      if (remaining[level] === 0) {
        return;
      }
      const slices = targets.map(toWholeSlice);
      const isUsable = targets.every(target =>
        this.isUsable(workspace, target),
      );
      if (slices.length > 0 && isUsable && this.isFree(slices)) {
        this.addCell(workspace, level, slices);
      }
    }
  }

  /**
   * Places cells that fit nowhere as a whole in degraded form: each on the free
   * targets of one rack or of the domain, the one with the most free targets
   * first.
   */
  private placeDegraded(workspace: string, level: CellLevel): void {
    if (level !== 'domain' && level !== 'rack') {
      return;
    }
    const freeSlices = this.listTargetGroups(level).map(targets =>
      targets
        .filter(target => this.isUsable(workspace, target))
        .map(toWholeSlice)
        .filter(slice => this.isFree([slice])),
    );
    freeSlices.sort((a, b) => b.length - a.length);
    for (const slices of freeSlices.slice(
      0,
      this.getRemaining(workspace)[level],
    )) {
      if (slices.length > 0) {
        this.addCell(workspace, level, slices);
      }
    }
  }

  private listTargetGroups(
    level: 'domain' | 'rack',
  ): (readonly TargetCell[])[] {
    return level === 'domain'
      ? [this.targets]
      : this.racks.map(rack => rack.targets);
  }

  private placeOnTargets(
    workspace: string,
    level: 'target' | 'half' | 'accelerator',
  ): void {
    const remaining = this.getRemaining(workspace);
    for (const target of this.targets) {
      if (remaining[level] === 0) {
        return;
      }
      if (this.isUsable(workspace, target)) {
        this.placeOnTarget(workspace, level, target);
      }
    }
    if (level === 'target' && this.isRestricted) {
      while (
        remaining.target > 0 &&
        this.placeByAugmentingPath(workspace, new Set())
      ) {
        remaining.target--;
      }
    }
  }

  private placeOnTarget(
    workspace: string,
    level: 'target' | 'half' | 'accelerator',
    target: TargetCell,
  ): void {
    for (const mask of this.listCellMasks(level, target)) {
      const slice = {target, mask};
      if (this.getRemaining(workspace)[level] === 0) {
        return;
      }
      if (mask !== 0 && this.isFree([slice])) {
        this.addCell(workspace, level, [slice]);
      }
    }
  }

  private listCellMasks(level: CellLevel, target: TargetCell): number[] {
    const total = target.spec.accelerators;
    if (level === 'target') {
      return [createFullMask(total)];
    }
    if (level === 'half') {
      return listHalfMasks(total);
    }
    const free = createFullMask(total) & ~(this.takenMasks.get(target) ?? 0);
    const masks: number[] = [];
    for (let rest = free; rest !== 0; rest &= rest - 1) {
      masks.push(selectLowestBits(rest, 1));
    }
    return masks;
  }

  /**
   * Finds a whole target for a workspace along an augmenting path: each unbound
   * target cell on the path moves to another target that its workspace may use.
   */
  private placeByAugmentingPath(
    workspace: string,
    visited: Set<TargetCell>,
  ): boolean {
    for (const target of this.targets) {
      if (visited.has(target) || !this.isUsable(workspace, target)) {
        continue;
      }
      const slice = toWholeSlice(target);
      const [cell] = this.guaranteedCells.listCellsOn(target);
      if (this.isFree([slice]) && slice.mask !== 0) {
        this.markTaken([slice]);
        this.guaranteedCells.add({workspace, level: 'target', slices: [slice]});
        return true;
      }
      visited.add(target);
      if (
        cell &&
        this.isMovable(cell, slice) &&
        this.moveElsewhere(cell, visited)
      ) {
        this.guaranteedCells.add({workspace, level: 'target', slices: [slice]});
        return true;
      }
    }
    return false;
  }

  private isMovable(cell: GuaranteedCell, slice: TargetSlice): boolean {
    return (
      cell.level === 'target' &&
      cell.slices[0]!.mask === slice.mask &&
      !this.boundCells.has(cell)
    );
  }

  private moveElsewhere(
    cell: GuaranteedCell,
    visited: Set<TargetCell>,
  ): boolean {
    if (!this.placeByAugmentingPath(cell.workspace, visited)) {
      return false;
    }
    this.guaranteedCells.remove(cell);
    return true;
  }

  private isUsable(workspace: string, target: TargetCell): boolean {
    return this.request.isAvailable(target) && target.permits(workspace);
  }
}

/** Returns the slice with all accelerators of a target. */
export function toWholeSlice(target: TargetCell): TargetSlice {
  return {target, mask: createFullMask(target.spec.accelerators)};
}

function countRackAccelerators(rack: RackCell): number {
  return rack.targets.reduce(
    (sum, target) => sum + countBits(toWholeSlice(target).mask),
    0,
  );
}
