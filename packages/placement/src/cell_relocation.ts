/**
 * Exchanges unbound homes for equal parts of the domain, so that a workspace
 * can use its guarantee where capacity is free instead of stopping borrowers.
 *
 * Each exchange moves whole blocks of equal size in which no guaranteed work
 * runs, so homes stay disjoint and complete after every step.
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

/** Moves homes of the job's workspace under `assignments`; tells whether they now lie within its guarantee. */
export function relocateCells(
  cells: Cells,
  request: {workspace: string; gang: GangShape},
  assignments: readonly Assignment[],
): boolean {
  const claim = new Claim(cells, request.workspace, assignments);
  return (
    claim.isMade() &&
    assignments.every(({target: id, tasks}) => {
      const target = cells.targets.get(id)!;
      const room = cells.guaranteedCells.getRemainingGuarantee(
        request.workspace,
        target,
      );
      return room && countFitting(room, request.gang.perTask) >= tasks;
    })
  );
}

/** One attempt to bring homes under a place. */
class Claim {
  private readonly homes: GuaranteedCellMap;
  private readonly parts: TargetSlice[];
  private readonly needed: ReadonlyMap<TargetCell, number>;
  private readonly unbound = new Map<CellLevel, GuaranteedCell[]>();

  constructor(
    cells: Cells,
    private readonly workspace: string,
    assignments: readonly Assignment[],
  ) {
    this.homes = cells.guaranteedCells;
    this.parts = assignments.map(({target, accelerators}) => ({
      target: cells.targets.get(target)!,
      mask: accelerators,
    }));
    this.needed = new Map(this.parts.map(part => [part.target, part.mask]));
    for (const home of this.homes.getWorkspace(workspace).cells) {
      if (this.canGive(home)) {
        const homes = this.unbound.get(home.level) ?? [];
        homes.push(home);
        this.unbound.set(home.level, homes);
      }
    }
  }

  isMade(): boolean {
    return this.parts.every(part => this.claim(part));
  }

  private claim({target, mask}: TargetSlice): boolean {
    const owned =
      this.homes.getWorkspace(this.workspace).masksByTarget.get(target) ?? 0;
    const missing = mask & ~owned;
    return (
      missing === 0 ||
      this.claimBits(target, missing) ||
      this.claimHalves(target, missing) ||
      this.exchangeOne('target', [toWholeSlice(target)]) ||
      this.exchangeOne('rack', target.rack.targets.map(toWholeSlice))
    );
  }

  private claimBits(target: TargetCell, mask: number): boolean {
    const homes = this.unbound.get('accelerator') ?? [];
    if (homes.length < countBits(mask)) {
      return false;
    }
    for (let rest = mask; rest !== 0; rest &= rest - 1) {
      const part = {target, mask: selectLowestBits(rest, 1)};
      if (!this.exchangeOne('accelerator', [part])) {
        return false;
      }
    }
    return true;
  }

  private claimHalves(target: TargetCell, mask: number): boolean {
    const halves = listHalfMasks(target.spec.accelerators).filter(
      half => (half & mask) !== 0,
    );
    const isCovered = halves.reduce((sum, half) => sum | half, 0) & mask;
    return (
      isCovered === mask &&
      (this.unbound.get('half')?.length ?? 0) >= halves.length &&
      halves.every(half => this.exchangeOne('half', [{target, mask: half}]))
    );
  }

  /** Exchanges one unbound home of a level for a block. */
  private exchangeOne(level: CellLevel, block: TargetSlice[]): boolean {
    const candidates = this.unbound.get(level) ?? [];
    for (let i = candidates.length - 1; i >= 0; i--) {
      if (exchange(this.homes, candidates[i]!, block)) {
        candidates.splice(i, 1);
        return true;
      }
    }
    return false;
  }

  /** Whether a home is unbound and not itself needed for the place. */
  private canGive(home: GuaranteedCell): boolean {
    const isNeeded = home.slices.some(
      ({target, mask}) => ((this.needed.get(target) ?? 0) & mask) !== 0,
    );
    return !isNeeded && !this.homes.isBound(home);
  }
}

/** Puts `home` on `block`, and what lies in the block on the old place of `home`. */
function exchange(
  homes: GuaranteedCellMap,
  home: GuaranteedCell,
  block: TargetSlice[],
): boolean {
  const old = home.slices;
  if (!isSameShape(old, block)) {
    return false;
  }
  const displaced = listInside(homes, block);
  const isPossible =
    displaced !== undefined &&
    block.every(
      ({target, mask}) =>
        target.isSchedulable &&
        target.permits(home.workspace) &&
        (homes.getUsedMask(target) & mask) === 0,
    ) &&
    displaced.every(
      other =>
        !homes.isBound(other) &&
        old.every(
          ({target}) => target.isSchedulable && target.permits(other.workspace),
        ),
    );
  if (!isPossible) {
    return false;
  }
  homes.remove(home);
  displaced.forEach(other => homes.remove(other));
  for (const other of displaced) {
    other.slices = other.slices.map(part => translate(part, block, old));
    homes.add(other);
  }
  home.slices = block;
  homes.add(home);
  return true;
}

/** The homes that lie in a block; undefined when one lies in it only in part. */
function listInside(
  homes: GuaranteedCellMap,
  block: TargetSlice[],
): GuaranteedCell[] | undefined {
  const masks = new Map(block.map(({target, mask}) => [target, mask]));
  const inside = new Set<GuaranteedCell>();
  for (const {target, mask} of block) {
    for (const home of homes.listCellsOn(target)) {
      if (
        home.slices.some(part => part.target === target && part.mask & mask)
      ) {
        inside.add(home);
      }
    }
  }
  const isWhole = [...inside].every(home =>
    home.slices.every(
      part => (part.mask & ~(masks.get(part.target) ?? 0)) === 0,
    ),
  );
  return isWhole ? [...inside] : undefined;
}

function isSameShape(
  a: readonly TargetSlice[],
  b: readonly TargetSlice[],
): boolean {
  return (
    a.length === b.length &&
    a.every(
      (part, i) =>
        countBits(part.mask) === countBits(b[i]!.mask) &&
        part.target.spec.accelerators === b[i]!.target.spec.accelerators,
    )
  );
}

/** The place of a part after its block was exchanged for another. */
function translate(
  part: TargetSlice,
  from: readonly TargetSlice[],
  to: readonly TargetSlice[],
): TargetSlice {
  const index = from.findIndex(({target}) => target === part.target);
  const source = from[index]!;
  const destination = to[index]!;
  const offset = part.mask / (source.mask & -source.mask);
  return {
    target: destination.target,
    mask: offset * (destination.mask & -destination.mask),
  };
}
