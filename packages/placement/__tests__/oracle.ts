/** Brute-force check of guarantees on small inventories, as a reference for the planner. */
import type {CellLevel} from '@galenavalve/model';
import type {Cells, DomainGuarantee, RunningGang} from '../src/index.js';

/** Accelerator masks by target id. */
type Block = ReadonlyMap<string, number>;

/** A cell to place, and the blocks on which it may be placed. */
interface WantedCell {
  workspace: string;
  blocks: Block[];
}

/**
 * Returns whether all guaranteed cells fit at once, with the guaranteed gangs of
 * each workspace inside its own cells, as if nothing else ran.
 */
export function isSatisfiable(
  cells: Cells,
  guarantees: readonly DomainGuarantee[],
): boolean {
  const gangs = [...cells.listGangs()].filter(gang => gang.guaranteed);
  const wanted: WantedCell[] = [];
  for (const {workspace, level, count} of guarantees) {
    const ownGangs = gangs.filter(gang => gang.workspace === workspace);
    const isUsed = (block: Block) =>
      ownGangs.some(gang => overlaps(toBlock(gang), block));
    // Tries blocks first on which guaranteed gangs already run.
    const blocks = listBlocks(cells, workspace, level).sort(
      (a, b) => Number(isUsed(b)) - Number(isUsed(a)),
    );
    for (let i = 0; i < count; i++) {
      wanted.push({workspace, blocks});
    }
  }
  wanted.sort((a, b) => (a.workspace < b.workspace ? -1 : 1));
  return canPlaceFrom(wanted, 0, 0, [], gangs);
}

/**
 * Returns whether the cells from `index` on can be placed, the first on a block
 * from `start` on; searches depth first.
 */
function canPlaceFrom(
  wanted: WantedCell[],
  index: number,
  start: number,
  chosen: {workspace: string; block: Block}[],
  gangs: RunningGang[],
): boolean {
  const cell = wanted[index];
  // Once all cells of a workspace are placed, its gangs must lie inside them.
  const completed = wanted[index - 1]?.workspace;
  if (completed !== undefined && completed !== cell?.workspace) {
    const ownGangs = gangs.filter(gang => gang.workspace === completed);
    if (!ownGangs.every(gang => isCovered(gang, chosen))) {
      return false;
    }
  }
  if (!cell) {
    return gangs.every(gang => isCovered(gang, chosen));
  }
  for (let i = start; i < cell.blocks.length; i++) {
    const block = cell.blocks[i]!;
    const isFree =
      chosen.every(other => !overlaps(other.block, block)) &&
      gangs.every(
        gang =>
          gang.workspace === cell.workspace || !overlaps(toBlock(gang), block),
      );
    if (!isFree) {
      continue;
    }
    chosen.push({workspace: cell.workspace, block});
    // Equal cells are interchangeable, so only one order of them is tried.
    const isEqualCell = wanted[index + 1]?.blocks === cell.blocks;
    if (
      canPlaceFrom(wanted, index + 1, isEqualCell ? i + 1 : 0, chosen, gangs)
    ) {
      return true;
    }
    chosen.pop();
  }
  return false;
}

function listBlocks(
  cells: Cells,
  workspace: string,
  level: CellLevel,
): Block[] {
  const targets = [...cells.targets.values()].filter(
    target => target.isSchedulable && target.permits(workspace),
  );
  const toFullEntry = (id: string, count: number): [string, number] => [
    id,
    2 ** count - 1,
  ];
  if (level === 'target') {
    return targets.map(
      ({id, spec}) => new Map([toFullEntry(id, spec.accelerators)]),
    );
  }
  if (level === 'half') {
    return targets.flatMap(({id, spec}) => {
      const half = 2 ** (spec.accelerators / 2) - 1;
      const high = half << (spec.accelerators / 2);
      return [new Map([[id, half]]), new Map([[id, high]])];
    });
  }
  if (level === 'accelerator') {
    return targets.flatMap(({id, spec}) =>
      Array.from(
        {length: spec.accelerators},
        (_, bit) => new Map([[id, 1 << bit]]),
      ),
    );
  }
  const groups =
    level === 'rack'
      ? [...cells.racks.values()].map(rack => rack.targets)
      : [[...cells.targets.values()]];
  return groups
    .filter(group => group.every(target => targets.includes(target)))
    .map(
      group =>
        new Map(group.map(({id, spec}) => toFullEntry(id, spec.accelerators))),
    );
}

function toBlock(gang: RunningGang): Block {
  return new Map(
    gang.assignments.map(({target, accelerators}) => [target, accelerators]),
  );
}

function overlaps(a: Block, b: Block): boolean {
  return [...a].some(([target, mask]) => mask & (b.get(target) ?? 0));
}

function isCovered(
  gang: RunningGang,
  chosen: readonly {workspace: string; block: Block}[],
): boolean {
  return gang.assignments.every(({target, accelerators}) => {
    const coveredMask = chosen
      .filter(({workspace}) => workspace === gang.workspace)
      .reduce((mask, {block}) => mask | (block.get(target) ?? 0), 0);
    return (accelerators & ~coveredMask) === 0;
  });
}
