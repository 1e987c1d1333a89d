/** Binds guaranteed cells to the places where guaranteed work already runs. */
import type {CellLevel} from '@galenavalve/model';
import {countBits, halfMasks, lowestBits} from './accelerator_mask.js';
import type {HomeMap, Part} from './home.js';
import {type HomePlanner, toWholePart} from './home_planner.js';
import type {RunningGang} from './policy.js';
import type {TargetCell} from './target_cell.js';

/** Gives every guaranteed gang a home around it, as small as its workspace's cells allow. */
export function coverUses(
  planner: HomePlanner,
  gangs: Iterable<RunningGang>,
  previous: HomeMap | undefined,
): void {
  for (const gang of gangs) {
    noteUses(planner, gang);
  }
  if (previous) {
    keepBound(planner, previous);
  }
  for (const [workspace, {uses}] of [...planner.homes.all()]) {
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

function noteUses(planner: HomePlanner, gang: RunningGang): void {
  for (const {target: id, tasks, accelerators} of gang.assignments) {
    const target = planner.inventory.targets.get(id);
    if (target) {
      planner.homes.use(gang, {target, mask: accelerators}, tasks);
    }
  }
}

/** Keeps the homes in which guaranteed work runs, as far as they are still promised. */
function keepBound(planner: HomePlanner, previous: HomeMap): void {
  for (const [workspace, {homes}] of previous.all()) {
    for (const home of homes) {
      const parts = findParts(planner, home.level, home.parts);
      const {uses} = planner.homes.of(workspace);
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
  planner: HomePlanner,
  level: CellLevel,
  parts: readonly Part[],
): Part[] {
  const found: Part[] = [];
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
  planner: HomePlanner,
  workspace: string,
  target: TargetCell,
  used: number,
): void {
  const mask = used & ~(planner.homes.of(workspace).masks.get(target) ?? 0);
  if (mask === 0) {
    return;
  }
  const remaining = planner.remainingOf(workspace);
  if (countBits(mask) <= remaining.accelerator) {
    for (let rest = mask; rest !== 0; rest &= rest - 1) {
      const part = {target, mask: lowestBits(rest, 1)};
      bind(planner, workspace, 'accelerator', [part]);
    }
    return;
  }
  const halves = halfMasks(target.spec.accelerators)
    .filter(half => (half & mask) !== 0)
    .map(half => [{target, mask: half}]);
  if (halves.length <= remaining.half && planner.isUntaken(halves.flat())) {
    halves.forEach(parts => bind(planner, workspace, 'half', parts));
    return;
  }
  const isCovered =
    bind(planner, workspace, 'target', [toWholePart(target)]) ||
    bind(planner, workspace, 'rack', target.rack.targets.map(toWholePart)) ||
    bind(
      planner,
      workspace,
      'domain',
      [...planner.inventory.targets.values()].map(toWholePart),
    );
  if (!isCovered) {
    planner.take([{target, mask}]);
  }
}

/** Makes a bound home, when one is promised and its parts have no other owner. */
function bind(
  planner: HomePlanner,
  workspace: string,
  level: CellLevel,
  parts: Part[],
): boolean {
  const isPromised = planner.remainingOf(workspace)[level] > 0;
  if (!isPromised || parts.length === 0 || !planner.isUntaken(parts)) {
    return false;
  }
  planner.bound.add(planner.addHome(workspace, level, parts));
  return true;
}
