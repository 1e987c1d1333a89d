/**
 * Finds a home for every guaranteed cell of a failure domain: largest cells
 * first, workspaces with the fewest permitted targets first.
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

/** A promise of which cells have no home. */
export interface UnplacedCells extends DomainGuarantee {
  missing: number;
}

/** The result of planning. */
export interface CellPlan {
  guaranteedCells: GuaranteedCellMap;
  unplaced: UnplacedCells[];
}

/** What a plan has to respect. */
export interface CellPlanRequest {
  inventory: Inventory;
  guarantees: readonly DomainGuarantee[];
  /** Whether unbound homes may lie on the target. */
  isAvailable: (target: TargetCell) => boolean;
  /** Gangs that run within a guarantee; their places are bound. */
  guaranteedGangs: Iterable<RunningGang>;
  /** The homes until now; those that are bound stay. */
  previous?: GuaranteedCellMap;
}

/** Plans the homes of one domain. */
export function planGuaranteedCells(request: CellPlanRequest): CellPlan {
  return new CellPlanner(request).plan();
}

/** The state of one planning. */
export class CellPlanner {
  readonly guaranteedCells = new GuaranteedCellMap();
  readonly inventory: Inventory;
  /** Accelerators that have an owner, by target. */
  readonly takenMasks = new Map<TargetCell, number>();
  /** Homes in which guaranteed work runs. */
  readonly boundCells = new Set<GuaranteedCell>();
  private readonly remaining = new Map<string, LevelCounts>();
  private readonly missing: UnplacedCells[] = [];
  private readonly targets: TargetCell[];
  private readonly racks: RackCell[];
  private readonly isRestricted: boolean;

  constructor(private readonly request: CellPlanRequest) {
    this.inventory = request.inventory;
    this.racks = [...request.inventory.racks.values()];
    this.racks.sort((a, b) => countRack(b) - countRack(a));
    // Small cells lie in small racks, so that large racks stay whole.
    this.targets = [...this.racks].reverse().flatMap(rack => rack.targets);
    this.isRestricted = this.targets.some(
      target => target.spec.permittedWorkspaces,
    );
    for (const {workspace, level, count} of request.guarantees) {
      this.getRemaining(workspace)[level] += count;
    }
  }

  plan(): CellPlan {
    bindRunningGangs(this, this.request.guaranteedGangs, this.request.previous);
    const order = this.orderWorkspaces();
    for (const level of LEVELS_LARGEST_FIRST) {
      for (const workspace of order) {
        this.placeLevel(workspace, level);
      }
    }
    return {guaranteedCells: this.guaranteedCells, unplaced: this.missing};
  }

  getRemaining(workspace: string): LevelCounts {
    let counts = this.remaining.get(workspace);
    if (!counts) {
      counts = createLevelCounts();
      this.remaining.set(workspace, counts);
    }
    return counts;
  }

  /** Whether no accelerator of the parts has an owner. */
  isFree(parts: readonly TargetSlice[]): boolean {
    return parts.every(
      ({target, mask}) => ((this.takenMasks.get(target) ?? 0) & mask) === 0,
    );
  }

  markTaken(parts: readonly TargetSlice[]): void {
    for (const {target, mask} of parts) {
      this.takenMasks.set(target, (this.takenMasks.get(target) ?? 0) | mask);
    }
  }

  addCell(
    workspace: string,
    level: CellLevel,
    parts: TargetSlice[],
  ): GuaranteedCell {
    const home: GuaranteedCell = {workspace, level, slices: parts};
    this.getRemaining(workspace)[level]--;
    this.markTaken(parts);
    this.guaranteedCells.add(home);
    return home;
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
    const wanted = remaining[level];
    if (wanted === 0) {
      return;
    }
    if (level === 'domain' || level === 'rack') {
      this.placeLarge(workspace, level);
    } else {
      this.placeOnTargets(workspace, level);
    }
    const missing = remaining[level];
    if (missing > 0) {
      this.missing.push({workspace, level, count: wanted, missing});
      this.placeDegraded(workspace, level);
    }
  }

  private placeLarge(workspace: string, level: 'domain' | 'rack'): void {
    const remaining = this.getRemaining(workspace);
    for (const targets of this.listLarge(level)) {
      if (remaining[level] === 0) {
        return;
      }
      const parts = targets.map(toWholeSlice);
      const isUsable = targets.every(target =>
        this.isUsable(workspace, target),
      );
      if (parts.length > 0 && isUsable && this.isFree(parts)) {
        this.addCell(workspace, level, parts);
      }
    }
  }

  /** Gives cells without a whole home what is left of one, the largest rest first. */
  private placeDegraded(workspace: string, level: CellLevel): void {
    if (level !== 'domain' && level !== 'rack') {
      return;
    }
    const rests = this.listLarge(level).map(targets =>
      targets
        .filter(target => this.isUsable(workspace, target))
        .map(toWholeSlice)
        .filter(part => this.isFree([part])),
    );
    rests.sort((a, b) => b.length - a.length);
    for (const rest of rests.slice(0, this.getRemaining(workspace)[level])) {
      if (rest.length > 0) {
        this.addCell(workspace, level, rest);
      }
    }
  }

  private listLarge(level: 'domain' | 'rack'): (readonly TargetCell[])[] {
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
      while (remaining.target > 0 && this.augment(workspace, new Set())) {
        remaining.target--;
      }
    }
  }

  private placeOnTarget(
    workspace: string,
    level: 'target' | 'half' | 'accelerator',
    target: TargetCell,
  ): void {
    for (const mask of this.listCells(level, target)) {
      const part = {target, mask};
      if (this.getRemaining(workspace)[level] === 0) {
        return;
      }
      if (mask !== 0 && this.isFree([part])) {
        this.addCell(workspace, level, [part]);
      }
    }
  }

  private listCells(level: CellLevel, target: TargetCell): number[] {
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

  /** Finds a whole target for a workspace by moving other unbound whole-target homes. */
  private augment(workspace: string, visited: Set<TargetCell>): boolean {
    for (const target of this.targets) {
      if (visited.has(target) || !this.isUsable(workspace, target)) {
        continue;
      }
      const part = toWholeSlice(target);
      const [home] = this.guaranteedCells.listCellsOn(target);
      if (this.isFree([part]) && part.mask !== 0) {
        this.markTaken([part]);
        this.guaranteedCells.add({workspace, level: 'target', slices: [part]});
        return true;
      }
      visited.add(target);
      if (home && this.isMovable(home, part) && this.evict(home, visited)) {
        this.guaranteedCells.add({workspace, level: 'target', slices: [part]});
        return true;
      }
    }
    return false;
  }

  private isMovable(home: GuaranteedCell, part: TargetSlice): boolean {
    return (
      home.level === 'target' &&
      home.slices[0]!.mask === part.mask &&
      !this.boundCells.has(home)
    );
  }

  private evict(home: GuaranteedCell, visited: Set<TargetCell>): boolean {
    if (!this.augment(home.workspace, visited)) {
      return false;
    }
    this.guaranteedCells.remove(home);
    return true;
  }

  private isUsable(workspace: string, target: TargetCell): boolean {
    return this.request.isAvailable(target) && target.permits(workspace);
  }
}

/** All accelerators of a target. */
export function toWholeSlice(target: TargetCell): TargetSlice {
  return {target, mask: createFullMask(target.spec.accelerators)};
}

function countRack(rack: RackCell): number {
  return rack.targets.reduce(
    (sum, target) => sum + countBits(toWholeSlice(target).mask),
    0,
  );
}
