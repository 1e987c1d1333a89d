/** Binds guaranteed cells to the places where guaranteed work already runs. */
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

/** Gives every guaranteed gang a home around it, as small as its workspace's cells allow. */
export function bindRunningGangs(
  planner: CellPlanner,
  gangs: Iterable<RunningGang>,
  previous: GuaranteedCellMap | undefined,
): void {
  for (const gang of gangs) {
    noteUses(planner, gang);
  }
  if (previous) {
    keepBound(planner, previous);
  }
  for (const [workspace, {usageByTarget: uses}] of [
    ...planner.guaranteedCells.listWorkspaces(),
  ]) {
    const places = [...uses].sort(
      ([a, use], [b, other]) =>
        countBits(use.accelerators) - countBits(other.accelerators) ||
        a.index - b.index,
    );
    for (const [target, use] of places) {
      cover(planner, workspace, target, use.accelerators);
    }
  }
}

function noteUses(planner: CellPlanner, gang: RunningGang): void {
  for (const {target: id, tasks, accelerators} of gang.assignments) {
    const target = planner.inventory.targets.get(id);
    if (target) {
      planner.guaranteedCells.addUse(gang, {target, mask: accelerators}, tasks);
    }
  }
}

/** Keeps the homes in which guaranteed work runs, as far as they are still promised. */
function keepBound(planner: CellPlanner, previous: GuaranteedCellMap): void {
  for (const [workspace, {cells: homes}] of previous.listWorkspaces()) {
    for (const home of homes) {
      const parts = findParts(planner, home.level, home.slices);
      const {usageByTarget: uses} =
        planner.guaranteedCells.getWorkspace(workspace);
      const isBound = parts.some(
        ({target, mask}) => (uses.get(target)?.accelerators ?? 0) & mask,
      );
      if (isBound) {
        bind(planner, workspace, home.level, parts);
      }
    }
  }
}

/** The same parts in the planner's inventory, which may have been rebuilt. */
function findParts(
  planner: CellPlanner,
  level: CellLevel,
  parts: readonly TargetSlice[],
): TargetSlice[] {
  const found: TargetSlice[] = [];
  for (const {target, mask} of parts) {
    const present = planner.inventory.targets.get(target.id);
    if (present && (level !== 'rack' || present.rack.id === target.rack.id)) {
      found.push({target: present, mask});
    }
  }
  return found;
}

/** Binds the smallest cells that a workspace has left to the accelerators that it uses. */
function cover(
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
      const part = {target, mask: selectLowestBits(rest, 1)};
      bind(planner, workspace, 'accelerator', [part]);
    }
    return;
  }
  const halves = listHalfMasks(target.spec.accelerators)
    .filter(half => (half & mask) !== 0)
    .map(half => [{target, mask: half}]);
  if (halves.length <= remaining.half && planner.isFree(halves.flat())) {
    halves.forEach(parts => bind(planner, workspace, 'half', parts));
    return;
  }
  const isCovered =
    bind(planner, workspace, 'target', [toWholeSlice(target)]) ||
    bind(planner, workspace, 'rack', target.rack.targets.map(toWholeSlice)) ||
    bind(
      planner,
      workspace,
      'domain',
      [...planner.inventory.targets.values()].map(toWholeSlice),
    );
  if (!isCovered) {
    planner.markTaken([{target, mask}]);
  }
}

/** Makes a bound home, when one is promised and its parts have no other owner. */
function bind(
  planner: CellPlanner,
  workspace: string,
  level: CellLevel,
  parts: TargetSlice[],
): boolean {
  const isPromised = planner.getRemaining(workspace)[level] > 0;
  if (!isPromised || parts.length === 0 || !planner.isFree(parts)) {
    return false;
  }
  planner.boundCells.add(planner.addCell(workspace, level, parts));
  return true;
}
