/** Measures fragmentation: free accelerators that no queued or guaranteed gang shape can use. */
import type {CellLevel, GangShape} from '@galenavalve/model';
import {
  type Cells,
  type TargetCell,
  type WaitingJob,
  countBits,
  countFitting,
  listHalfMasks,
} from '@galenavalve/placement';

/** Counts the free accelerators of a domain that neither a queued gang nor a guaranteed cell can use. */
export function countFragmentedAccelerators(
  cells: Cells,
  queue: readonly WaitingJob[],
  guaranteeLevels: ReadonlySet<CellLevel>,
): number {
  const usable = new Map<TargetCell, number>();
  const shapes = listDistinctShapes(queue);
  for (const {targets} of cells.racks.values()) {
    for (const target of targets) {
      usable.set(target, countUsableByGuarantees(target, guaranteeLevels));
    }
    if (guaranteeLevels.has('rack') && targets.every(isEmpty)) {
      targets.forEach(target => usable.set(target, target.freeAccelerators));
    }
  }
  for (const {gang} of shapes) {
    markUsable(cells, gang, usable);
  }
  let fragmented = 0;
  for (const [target, count] of usable) {
    fragmented += target.isSchedulable ? target.freeAccelerators - count : 0;
  }
  return fragmented;
}

function countUsableByGuarantees(
  target: TargetCell,
  levels: ReadonlySet<CellLevel>,
): number {
  const {free, spec} = target;
  if (levels.has('accelerator')) {
    return target.freeAccelerators;
  }
  if (levels.has('target') && isEmpty(target)) {
    return spec.accelerators;
  }
  if (!levels.has('half')) {
    return 0;
  }
  return listHalfMasks(spec.accelerators)
    .filter(half => (free.accelerators & half) === half)
    .reduce((sum, half) => sum + countBits(half), 0);
}

/** Marks accelerators as usable by a gang shape wherever a whole gang of that shape fits. */
function markUsable(
  cells: Cells,
  gang: GangShape,
  usable: Map<TargetCell, number>,
): void {
  const groups = [...cells.racks.values()].map(({targets}) => targets);
  const scopes =
    gang.adjacency === 'target'
      ? groups.flat().map(target => [target])
      : gang.adjacency === 'rack'
        ? groups
        : [groups.flat()];
  for (const scope of scopes) {
    const taskCounts = scope.map(target =>
      target.isSchedulable ? countFitting(target.free, gang.perTask) : 0,
    );
    if (taskCounts.reduce((sum, n) => sum + n, 0) >= gang.tasks) {
      scope.forEach((target, i) => {
        const count = taskCounts[i]! * gang.perTask.accelerators;
        usable.set(target, Math.max(usable.get(target) ?? 0, count));
      });
    }
  }
}

function isEmpty(target: TargetCell): boolean {
  return (
    target.isSchedulable && target.freeAccelerators === target.spec.accelerators
  );
}

function listDistinctShapes(queue: readonly WaitingJob[]): WaitingJob[] {
  const shapes = new Map<string, WaitingJob>();
  for (const job of queue) {
    shapes.set(JSON.stringify(job.gang), job);
  }
  return [...shapes.values()];
}
