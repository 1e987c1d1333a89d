/**
 * Relocates unbound guaranteed cells to equal blocks of the domain, so that a
 * workspace can use its guarantee where capacity is free instead of stopping
 * borrowers.
 *
 * A block is a list of slices, each a set of accelerators of one target. Each
 * exchange swaps complete blocks of equal shape in which no guaranteed work
 * runs, so cells stay disjoint and complete after every step.
 */
import type {Assignment, CellLevel, GangShape} from '@galenavalve/model';
import {
  countBits,
  listHalfMasks,
  selectLowestBits,
} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import type {
  GuaranteedCell,
  GuaranteedCellMap,
  TargetSlice,
} from './guaranteed_cell.js';
import {toWholeSlice} from './cell_planner.js';
import {type TargetCell, countFitting} from './target_cell.js';

/**
 * Moves cells of the job's workspace to the accelerators of `assignments`.
 * Returns whether the assignments are now within the guarantee; cells that were
 * moved before a failure stay where they are.
 */
export function relocateCells(
  cells: Cells,
  request: {workspace: string; gang: GangShape},
  assignments: readonly Assignment[],
): boolean {
  const relocation = new Relocation(cells, request.workspace, assignments);
  return (
    relocation.relocate() &&
    assignments.every(({target: id, tasks}) => {
      const target = cells.targets.get(id)!;
      const unused = cells.guaranteedCells.getRemainingGuarantee(
        request.workspace,
        target,
      );
      return unused && countFitting(unused, request.gang.perTask) >= tasks;
    })
  );
}

/** One attempt to move cells of a workspace to the accelerators of a placement. */
class Relocation {
  private readonly cellMap: GuaranteedCellMap;
  private readonly slices: TargetSlice[];
  private readonly neededMasks: ReadonlyMap<TargetCell, number>;
  private readonly unboundCells = new Map<CellLevel, GuaranteedCell[]>();

  constructor(
    cells: Cells,
    private readonly workspace: string,
    assignments: readonly Assignment[],
  ) {
    this.cellMap = cells.guaranteedCells;
    this.slices = assignments.map(({target, accelerators}) => ({
      target: cells.targets.get(target)!,
      mask: accelerators,
    }));
    this.neededMasks = new Map(
      this.slices.map(slice => [slice.target, slice.mask]),
    );
    for (const cell of this.cellMap.getWorkspace(workspace).cells) {
      if (this.canMove(cell)) {
        const cells = this.unboundCells.get(cell.level) ?? [];
        cells.push(cell);
        this.unboundCells.set(cell.level, cells);
      }
    }
  }

  /** Moves cells until they cover the placement; returns whether that succeeded. */
  relocate(): boolean {
    return this.slices.every(slice => this.coverSlice(slice));
  }

  /** Covers the accelerators of a slice, with the smallest cells that can be moved there. */
  private coverSlice({target, mask}: TargetSlice): boolean {
    const coveredMask =
      this.cellMap.getWorkspace(this.workspace).masksByTarget.get(target) ?? 0;
    const missing = mask & ~coveredMask;
    return (
      missing === 0 ||
      this.coverWithAccelerators(target, missing) ||
      this.coverWithHalves(target, missing) ||
      this.exchangeCell('target', [toWholeSlice(target)]) ||
      this.exchangeCell('rack', target.rack.targets.map(toWholeSlice))
    );
  }

  private coverWithAccelerators(target: TargetCell, mask: number): boolean {
    const cells = this.unboundCells.get('accelerator') ?? [];
    if (cells.length < countBits(mask)) {
      return false;
    }
    for (let rest = mask; rest !== 0; rest &= rest - 1) {
      const slice = {target, mask: selectLowestBits(rest, 1)};
      if (!this.exchangeCell('accelerator', [slice])) {
        return false;
      }
    }
    return true;
  }

  private coverWithHalves(target: TargetCell, mask: number): boolean {
    const halves = listHalfMasks(target.spec.accelerators).filter(
      half => (half & mask) !== 0,
    );
    const covered = halves.reduce((sum, half) => sum | half, 0) & mask;
    return (
      covered === mask &&
      (this.unboundCells.get('half')?.length ?? 0) >= halves.length &&
      halves.every(half => this.exchangeCell('half', [{target, mask: half}]))
    );
  }

  /** Moves one unbound cell of a level to a block. */
  private exchangeCell(level: CellLevel, block: TargetSlice[]): boolean {
    const candidates = this.unboundCells.get(level) ?? [];
    for (let i = candidates.length - 1; i >= 0; i--) {
      if (exchangeCells(this.cellMap, candidates[i]!, block)) {
        candidates.splice(i, 1);
        return true;
      }
    }
    return false;
  }

  /** Returns whether a cell is unbound and does not overlap the placement. */
  private canMove(cell: GuaranteedCell): boolean {
    const isNeeded = cell.slices.some(
      ({target, mask}) => ((this.neededMasks.get(target) ?? 0) & mask) !== 0,
    );
    return !isNeeded && !this.cellMap.isBound(cell);
  }
}

/**
 * Moves `cell` to `block`, and the cells in the block to the old slices of
 * `cell`. Returns false, and changes nothing, if that is not allowed.
 */
function exchangeCells(
  cellMap: GuaranteedCellMap,
  cell: GuaranteedCell,
  block: TargetSlice[],
): boolean {
  const oldBlock = cell.slices;
  if (!hasSameShape(oldBlock, block)) {
    return false;
  }
  const displaced = listCellsInside(cellMap, block);
  const isPossible =
    displaced !== undefined &&
    block.every(
      ({target, mask}) =>
        target.isSchedulable &&
        target.permits(cell.workspace) &&
        (cellMap.getUsedMask(target) & mask) === 0,
    ) &&
    displaced.every(
      other =>
        !cellMap.isBound(other) &&
        oldBlock.every(
          ({target}) => target.isSchedulable && target.permits(other.workspace),
        ),
    );
  if (!isPossible) {
    return false;
  }
  cellMap.remove(cell);
  displaced.forEach(other => cellMap.remove(other));
  for (const other of displaced) {
    other.slices = other.slices.map(slice =>
      translateSlice(slice, block, oldBlock),
    );
    cellMap.add(other);
  }
  cell.slices = block;
  cellMap.add(cell);
  return true;
}

/** Lists the cells inside a block; returns undefined if a cell overlaps it only partly. */
function listCellsInside(
  cellMap: GuaranteedCellMap,
  block: TargetSlice[],
): GuaranteedCell[] | undefined {
  const masks = new Map(block.map(({target, mask}) => [target, mask]));
  const inside = new Set<GuaranteedCell>();
  for (const {target, mask} of block) {
    for (const cell of cellMap.listCellsOn(target)) {
      if (
        cell.slices.some(slice => slice.target === target && slice.mask & mask)
      ) {
        inside.add(cell);
      }
    }
  }
  const isComplete = [...inside].every(cell =>
    cell.slices.every(
      slice => (slice.mask & ~(masks.get(slice.target) ?? 0)) === 0,
    ),
  );
  return isComplete ? [...inside] : undefined;
}

function hasSameShape(
  a: readonly TargetSlice[],
  b: readonly TargetSlice[],
): boolean {
  return (
    a.length === b.length &&
    a.every(
      (slice, i) =>
        countBits(slice.mask) === countBits(b[i]!.mask) &&
        slice.target.spec.accelerators === b[i]!.target.spec.accelerators,
    )
  );
}

/**
 * Returns the slice that corresponds to `slice` after the block `from` that
 * contains it is exchanged for the block `to`. A slice is a set of accelerators
 * of one target; a block is a list of slices. Blocks have the same shape if
 * their slices have the same sizes, on targets of the same size.
 */
function translateSlice(
  slice: TargetSlice,
  from: readonly TargetSlice[],
  to: readonly TargetSlice[],
): TargetSlice {
  const index = from.findIndex(({target}) => target === slice.target);
  const source = from[index]!;
  const destination = to[index]!;
  const offset = slice.mask / (source.mask & -source.mask);
  return {
    target: destination.target,
    mask: offset * (destination.mask & -destination.mask),
  };
}
