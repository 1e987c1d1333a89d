/**
 * Finds a home for every guaranteed cell of a failure domain: largest cells
 * first, workspaces with the fewest permitted targets first.
 */
import type {CellLevel} from '@galenavalve/model';
import {
  countBits,
  fullMask,
  halfMasks,
  lowestBits,
} from './accelerator_mask.js';
import {type Home, HomeMap, type Part} from './home.js';
import type {Inventory} from './inventory.js';
import type {RunningGang} from './policy.js';
import {
  type DomainPromise,
  LEVELS_DOWNWARDS,
  type LevelCounts,
  emptyLevelCounts,
} from './promise.js';
import type {RackCell} from './rack_cell.js';
import type {TargetCell} from './target_cell.js';
import {coverUses} from './home_binding.js';

/** A promise of which cells have no home. */
export interface MissingHomes extends DomainPromise {
  missing: number;
}

/** The result of planning. */
export interface HomePlan {
  homes: HomeMap;
  missing: MissingHomes[];
}

/** What a plan has to respect. */
export interface PlanRequest {
  inventory: Inventory;
  promises: readonly DomainPromise[];
  /** Whether unbound homes may lie on the target. */
  isAvailable: (target: TargetCell) => boolean;
  /** Gangs that run within a guarantee; their places are bound. */
  guaranteedGangs: Iterable<RunningGang>;
  /** The homes until now; those that are bound stay. */
  previous?: HomeMap;
}

/** Plans the homes of one domain. */
export function planHomes(request: PlanRequest): HomePlan {
  return new HomePlanner(request).plan();
}

/** The state of one planning. */
export class HomePlanner {
  readonly homes = new HomeMap();
  readonly inventory: Inventory;
  /** Accelerators that have an owner, by target. */
  readonly taken = new Map<TargetCell, number>();
  /** Homes in which guaranteed work runs. */
  readonly bound = new Set<Home>();
  private readonly remaining = new Map<string, LevelCounts>();
  private readonly missing: MissingHomes[] = [];
  private readonly targets: TargetCell[];
  private readonly racks: RackCell[];
  private readonly isRestricted: boolean;

  constructor(private readonly request: PlanRequest) {
    this.inventory = request.inventory;
    this.racks = [...request.inventory.racks.values()];
    this.racks.sort((a, b) => countRack(b) - countRack(a));
    // Small cells lie in small racks, so that large racks stay whole.
    this.targets = [...this.racks].reverse().flatMap(rack => rack.targets);
    this.isRestricted = this.targets.some(
      target => target.spec.permittedWorkspaces,
    );
    for (const {workspace, level, count} of request.promises) {
      this.remainingOf(workspace)[level] += count;
    }
  }

  plan(): HomePlan {
    coverUses(this, this.request.guaranteedGangs, this.request.previous);
    const order = this.orderWorkspaces();
    for (const level of LEVELS_DOWNWARDS) {
      for (const workspace of order) {
        this.placeLevel(workspace, level);
      }
    }
    return {homes: this.homes, missing: this.missing};
  }

  remainingOf(workspace: string): LevelCounts {
    let counts = this.remaining.get(workspace);
    if (!counts) {
      counts = emptyLevelCounts();
      this.remaining.set(workspace, counts);
    }
    return counts;
  }

  /** Whether no accelerator of the parts has an owner. */
  isUntaken(parts: readonly Part[]): boolean {
    return parts.every(
      ({target, mask}) => ((this.taken.get(target) ?? 0) & mask) === 0,
    );
  }

  take(parts: readonly Part[]): void {
    for (const {target, mask} of parts) {
      this.taken.set(target, (this.taken.get(target) ?? 0) | mask);
    }
  }

  addHome(workspace: string, level: CellLevel, parts: Part[]): Home {
    const home: Home = {workspace, level, parts};
    this.remainingOf(workspace)[level]--;
    this.take(parts);
    this.homes.add(home);
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
    const remaining = this.remainingOf(workspace);
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
    const remaining = this.remainingOf(workspace);
    for (const targets of this.listLarge(level)) {
      if (remaining[level] === 0) {
        return;
      }
      const parts = targets.map(toWholePart);
      const isUsable = targets.every(target =>
        this.isUsable(workspace, target),
      );
      if (parts.length > 0 && isUsable && this.isUntaken(parts)) {
        this.addHome(workspace, level, parts);
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
        .map(toWholePart)
        .filter(part => this.isUntaken([part])),
    );
    rests.sort((a, b) => b.length - a.length);
    for (const rest of rests.slice(0, this.remainingOf(workspace)[level])) {
      if (rest.length > 0) {
        this.addHome(workspace, level, rest);
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
    const remaining = this.remainingOf(workspace);
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
      if (this.remainingOf(workspace)[level] === 0) {
        return;
      }
      if (mask !== 0 && this.isUntaken([part])) {
        this.addHome(workspace, level, [part]);
      }
    }
  }

  private listCells(level: CellLevel, target: TargetCell): number[] {
    const total = target.spec.accelerators;
    if (level === 'target') {
      return [fullMask(total)];
    }
    if (level === 'half') {
      return halfMasks(total);
    }
    const free = fullMask(total) & ~(this.taken.get(target) ?? 0);
    const masks: number[] = [];
    for (let rest = free; rest !== 0; rest &= rest - 1) {
      masks.push(lowestBits(rest, 1));
    }
    return masks;
  }

  /** Finds a whole target for a workspace by moving other unbound whole-target homes. */
  private augment(workspace: string, visited: Set<TargetCell>): boolean {
    for (const target of this.targets) {
      if (visited.has(target) || !this.isUsable(workspace, target)) {
        continue;
      }
      const part = toWholePart(target);
      const [home] = this.homes.on(target);
      if (this.isUntaken([part]) && part.mask !== 0) {
        this.take([part]);
        this.homes.add({workspace, level: 'target', parts: [part]});
        return true;
      }
      visited.add(target);
      if (home && this.isMovable(home, part) && this.evict(home, visited)) {
        this.homes.add({workspace, level: 'target', parts: [part]});
        return true;
      }
    }
    return false;
  }

  private isMovable(home: Home, part: Part): boolean {
    return (
      home.level === 'target' &&
      home.parts[0]!.mask === part.mask &&
      !this.bound.has(home)
    );
  }

  private evict(home: Home, visited: Set<TargetCell>): boolean {
    if (!this.augment(home.workspace, visited)) {
      return false;
    }
    this.homes.remove(home);
    return true;
  }

  private isUsable(workspace: string, target: TargetCell): boolean {
    return this.request.isAvailable(target) && target.permits(workspace);
  }
}

/** All accelerators of a target. */
export function toWholePart(target: TargetCell): Part {
  return {target, mask: fullMask(target.spec.accelerators)};
}

function countRack(rack: RackCell): number {
  return rack.targets.reduce(
    (sum, target) => sum + countBits(toWholePart(target).mask),
    0,
  );
}
