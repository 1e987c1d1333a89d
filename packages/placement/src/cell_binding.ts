/**
 * Binds guaranteed cells to the accelerators on which guaranteed gangs run.
 *
 * A guaranteed cell is bound while guaranteed work of its workspace runs in it;
 * the planner does not move bound cells.
 */
import type {CellLevel} from '@galenavalve/model';
import {
  countBits,
  listHalfMasks,
  selectLowestBits,
} from './accelerator_mask.js';
import type {GuaranteedCellMap, TargetSlice} from './guaranteed_cell.js';
import {type CellPlanner, toWholeSlice} from './cell_planner.js';
import type {RunningGang} from './policy.js';
import type {TargetCell} from './target_cell.js';

/**
 * Binds cells around every running guaranteed gang, with the smallest levels
 * that the guarantees of its workspace allow. Cells of `previous` that are
 * still in use and still guaranteed are kept.
 */
export function bindRunningGangs(
  planner: CellPlanner,
  gangs: Iterable<RunningGang>,
  previous: GuaranteedCellMap | undefined,
): void {
  for (const gang of gangs) {
    recordUsage(planner, gang);
  }
  if (previous) {
    keepBoundCells(planner, previous);
  }
  for (const [workspace, {usageByTarget}] of [
    ...planner.guaranteedCells.listWorkspaces(),
  ]) {
    const usedTargets = [...usageByTarget].sort(
      ([a, usage], [b, otherUsage]) =>
        countBits(usage.accelerators) - countBits(otherUsage.accelerators) ||
        a.index - b.index,
    );
    for (const [target, usage] of usedTargets) {
      bindAccelerators(planner, workspace, target, usage.accelerators);
    }
  }
}

function recordUsage(planner: CellPlanner, gang: RunningGang): void {
  for (const {target: id, tasks, accelerators} of gang.assignments) {
    const target = planner.inventory.targets.get(id);
    if (target) {
      planner.guaranteedCells.addUse(gang, {target, mask: accelerators}, tasks);
    }
  }
}

/** Keeps the previous cells in which guaranteed work runs, as far as they are still guaranteed. */
function keepBoundCells(
  planner: CellPlanner,
  previous: GuaranteedCellMap,
): void {
  for (const [workspace, {cells}] of previous.listWorkspaces()) {
    for (const cell of cells) {
      const slices = findCurrentSlices(planner, cell.level, cell.slices);
      const {usageByTarget} = planner.guaranteedCells.getWorkspace(workspace);
      const isBound = slices.some(
        ({target, mask}) =>
          (usageByTarget.get(target)?.accelerators ?? 0) & mask,
      );
      if (isBound) {
        bindCell(planner, workspace, cell.level, slices);
      }
    }
  }
}

/** Finds the same slices (accelerators of single targets) in the planner's inventory, which may have been rebuilt. */
function findCurrentSlices(
  planner: CellPlanner,
  level: CellLevel,
  slices: readonly TargetSlice[],
): TargetSlice[] {
  const currentSlices: TargetSlice[] = [];
  for (const {target, mask} of slices) {
    const current = planner.inventory.targets.get(target.id);
    if (current && (level !== 'rack' || current.rack.id === target.rack.id)) {
      currentSlices.push({target: current, mask});
    }
  }
  return currentSlices;
}

/**
 * Binds the smallest remaining cells of a workspace that cover the accelerators
 * it uses on a target.
 */
function bindAccelerators(
  planner: CellPlanner,
  workspace: string,
  target: TargetCell,
  used: number,
): void {
  const mask =
    used &
    ~(
      planner.guaranteedCells
        .getWorkspace(workspace)
        .masksByTarget.get(target) ?? 0
    );
  if (mask === 0) {
    return;
  }
  const remaining = planner.getRemaining(workspace);
  if (countBits(mask) <= remaining.accelerator) {
    for (let rest = mask; rest !== 0; rest &= rest - 1) {
      const slice = {target, mask: selectLowestBits(rest, 1)};
      bindCell(planner, workspace, 'accelerator', [slice]);
    }
    return;
  }
  const halves = listHalfMasks(target.spec.accelerators)
    .filter(half => (half & mask) !== 0)
    .map(half => [{target, mask: half}]);
  if (halves.length <= remaining.half && planner.isFree(halves.flat())) {
    halves.forEach(slices => bindCell(planner, workspace, 'half', slices));
    return;
  }
  const isCovered =
    bindCell(planner, workspace, 'target', [toWholeSlice(target)]) ||
    bindCell(
      planner,
      workspace,
      'rack',
      target.rack.targets.map(toWholeSlice),
    ) ||
    bindCell(
      planner,
      workspace,
      'domain',
      [...planner.inventory.targets.values()].map(toWholeSlice),
    );
  if (!isCovered) {
    planner.markTaken([{target, mask}]);
  }
}

/**
 * Adds a bound cell if the workspace has one left at that level and no other
 * cell owns its slices. Returns whether it was added.
 */
function bindCell(
  planner: CellPlanner,
  workspace: string,
  level: CellLevel,
  slices: TargetSlice[],
): boolean {
  const isGuaranteed = planner.getRemaining(workspace)[level] > 0;
  if (!isGuaranteed || slices.length === 0 || !planner.isFree(slices)) {
    return false;
  }
  planner.boundCells.add(planner.addCell(workspace, level, slices));
  return true;
}
