/** A brute-force check of promises on small inventories. */
import type {CellLevel} from '@galenavalve/model';
import type {Cells, DomainGuarantee, RunningGang} from '../src/index.js';

/** Accelerators by target. */
type Block = ReadonlyMap<string, number>;

interface WantedCell {
  workspace: string;
  blocks: Block[];
}

/**
 * Whether all promised cells fit at once, each workspace's guaranteed gangs
 * inside its own cells, as if nothing else ran.
 */
export function isSatisfiable(
  cells: Cells,
  promises: readonly DomainGuarantee[],
): boolean {
  const gangs = [...cells.listGangs()].filter(gang => gang.guaranteed);
  const wanted: WantedCell[] = [];
  for (const {workspace, level, count} of promises) {
    const own = gangs.filter(gang => gang.workspace === workspace);
    const isUsed = (block: Block) =>
      own.some(gang => overlaps(blockOf(gang), block));
    // Blocks that are used already are tried first.
    const blocks = listBlocks(cells, workspace, level).sort(
      (a, b) => Number(isUsed(b)) - Number(isUsed(a)),
    );
    for (let i = 0; i < count; i++) {
      wanted.push({workspace, blocks});
    }
  }
  wanted.sort((a, b) => (a.workspace < b.workspace ? -1 : 1));
  return search(wanted, 0, 0, [], gangs);
}

function search(
  wanted: WantedCell[],
  index: number,
  start: number,
  chosen: {workspace: string; block: Block}[],
  gangs: RunningGang[],
): boolean {
  const cell = wanted[index];
  // Once all cells of a workspace have a place, its gangs must lie inside them.
  const done = wanted[index - 1]?.workspace;
  if (done !== undefined && done !== cell?.workspace) {
    const own = gangs.filter(gang => gang.workspace === done);
    if (!own.every(gang => isCovered(gang, chosen))) {
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
          gang.workspace === cell.workspace || !overlaps(blockOf(gang), block),
      );
    if (!isFree) {
      continue;
    }
    chosen.push({workspace: cell.workspace, block});
    // Equal cells are tried in one order only.
    const isSame = wanted[index + 1]?.blocks === cell.blocks;
    if (search(wanted, index + 1, isSame ? i + 1 : 0, chosen, gangs)) {
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
  const whole = (id: string, count: number): [string, number] => [
    id,
    2 ** count - 1,
  ];
  if (level === 'target') {
    return targets.map(({id, spec}) => new Map([whole(id, spec.accelerators)]));
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
      group => new Map(group.map(({id, spec}) => whole(id, spec.accelerators))),
    );
}

function blockOf(gang: RunningGang): Block {
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
    const own = chosen
      .filter(({workspace}) => workspace === gang.workspace)
      .reduce((mask, {block}) => mask | (block.get(target) ?? 0), 0);
    return (accelerators & ~own) === 0;
  });
}
