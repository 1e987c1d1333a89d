/**
 * Exchanges unbound homes for equal parts of the domain, so that a workspace
 * can use its guarantee where capacity is free instead of stopping borrowers.
 *
 * Each exchange moves whole blocks of equal size in which no guaranteed work
 * runs, so homes stay disjoint and complete after every step.
 */
import type {Assignment, CellLevel, GangShape} from '@galenavalve/model';
import {countBits, halfMasks, lowestBits} from './accelerator_mask.js';
import type {Cells} from './cells.js';
import type {Home, HomeMap, Part} from './home.js';
import {toWholePart} from './home_planner.js';
import {type TargetCell, countFitting} from './target_cell.js';

/** Moves homes of the job's workspace under `assignments`; tells whether they now lie within its guarantee. */
export function claimPlace(
  cells: Cells,
  request: {workspace: string; gang: GangShape},
  assignments: readonly Assignment[],
): boolean {
  const claim = new Claim(cells, request.workspace, assignments);
  return (
    claim.isMade() &&
    assignments.every(({target: id, tasks}) => {
      const target = cells.targets.get(id)!;
      const room = cells.homes.guaranteedRoom(request.workspace, target);
      return room && countFitting(room, request.gang.perTask) >= tasks;
    })
  );
}

/** One attempt to bring homes under a place. */
class Claim {
  private readonly homes: HomeMap;
  private readonly parts: Part[];
  private readonly needed: ReadonlyMap<TargetCell, number>;
  private readonly unbound = new Map<CellLevel, Home[]>();

  constructor(
    cells: Cells,
    private readonly workspace: string,
    assignments: readonly Assignment[],
  ) {
    this.homes = cells.homes;
    this.parts = assignments.map(({target, accelerators}) => ({
      target: cells.targets.get(target)!,
      mask: accelerators,
    }));
    this.needed = new Map(this.parts.map(part => [part.target, part.mask]));
    for (const home of this.homes.of(workspace).homes) {
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

  private claim({target, mask}: Part): boolean {
    const owned = this.homes.of(this.workspace).masks.get(target) ?? 0;
    const missing = mask & ~owned;
    return (
      missing === 0 ||
      this.claimBits(target, missing) ||
      this.claimHalves(target, missing) ||
      this.exchangeOne('target', [toWholePart(target)]) ||
      this.exchangeOne('rack', target.rack.targets.map(toWholePart))
    );
  }

  private claimBits(target: TargetCell, mask: number): boolean {
    const homes = this.unbound.get('accelerator') ?? [];
    if (homes.length < countBits(mask)) {
      return false;
    }
    for (let rest = mask; rest !== 0; rest &= rest - 1) {
      const part = {target, mask: lowestBits(rest, 1)};
      if (!this.exchangeOne('accelerator', [part])) {
        return false;
      }
    }
    return true;
  }

  private claimHalves(target: TargetCell, mask: number): boolean {
    const halves = halfMasks(target.spec.accelerators).filter(
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
  private exchangeOne(level: CellLevel, block: Part[]): boolean {
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
  private canGive(home: Home): boolean {
    const isNeeded = home.parts.some(
      ({target, mask}) => ((this.needed.get(target) ?? 0) & mask) !== 0,
    );
    return !isNeeded && !this.homes.isBound(home);
  }
}

/** Puts `home` on `block`, and what lies in the block on the old place of `home`. */
function exchange(homes: HomeMap, home: Home, block: Part[]): boolean {
  const old = home.parts;
  if (!isSameShape(old, block)) {
    return false;
  }
  const displaced = listInside(homes, block);
  const isPossible =
    displaced !== undefined &&
    block.every(
      ({target, mask}) =>
        target.isWell &&
        target.permits(home.workspace) &&
        (homes.usedMask(target) & mask) === 0,
    ) &&
    displaced.every(
      other =>
        !homes.isBound(other) &&
        old.every(
          ({target}) => target.isWell && target.permits(other.workspace),
        ),
    );
  if (!isPossible) {
    return false;
  }
  homes.remove(home);
  displaced.forEach(other => homes.remove(other));
  for (const other of displaced) {
    other.parts = other.parts.map(part => translate(part, block, old));
    homes.add(other);
  }
  home.parts = block;
  homes.add(home);
  return true;
}

/** The homes that lie in a block; undefined when one lies in it only in part. */
function listInside(homes: HomeMap, block: Part[]): Home[] | undefined {
  const masks = new Map(block.map(({target, mask}) => [target, mask]));
  const inside = new Set<Home>();
  for (const {target, mask} of block) {
    for (const home of homes.on(target)) {
      if (home.parts.some(part => part.target === target && part.mask & mask)) {
        inside.add(home);
      }
    }
  }
  const isWhole = [...inside].every(home =>
    home.parts.every(
      part => (part.mask & ~(masks.get(part.target) ?? 0)) === 0,
    ),
  );
  return isWhole ? [...inside] : undefined;
}

function isSameShape(a: readonly Part[], b: readonly Part[]): boolean {
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
  part: Part,
  from: readonly Part[],
  to: readonly Part[],
): Part {
  const index = from.findIndex(({target}) => target === part.target);
  const source = from[index]!;
  const destination = to[index]!;
  const offset = part.mask / (source.mask & -source.mask);
  return {
    target: destination.target,
    mask: offset * (destination.mask & -destination.mask),
  };
}
