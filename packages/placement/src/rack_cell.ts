/** The targets of one rack, with counts of their free accelerators. */
import type {TargetCell} from './target_cell.js';

/** Largest number of accelerators of a target. */
export const MAX_TARGET_ACCELERATORS = 16;

/** One rack as its scheduler sees it. Counts cover targets that can take work. */
export class RackCell {
  readonly targets: TargetCell[] = [];
  /** Number of targets by their number of free accelerators. */
  readonly targetsByFree = new Uint16Array(MAX_TARGET_ACCELERATORS + 1);
  /** Free accelerators. */
  free = 0;

  constructor(readonly id: string) {}

  /** Counts a target in or out, before and after its free accelerators change. */
  updateCounts(target: TargetCell, sign: 1 | -1): void {
    if (!target.isSchedulable) {
      return;
    }
    const free = target.freeAccelerators;
    this.targetsByFree[free]! += sign;
    this.free += sign * free;
  }

  /** An upper bound of the tasks that fit, by accelerators alone. */
  getTaskUpperBound(accelerators: number): number {
    if (accelerators === 0) {
      return Infinity;
    }
    let tasks = 0;
    for (let free = accelerators; free <= MAX_TARGET_ACCELERATORS; free++) {
      tasks += this.targetsByFree[free]! * Math.floor(free / accelerators);
    }
    return tasks;
  }

  /** Free accelerators of the emptiest target. */
  getMaxFreeOnTarget(): number {
    let free = MAX_TARGET_ACCELERATORS;
    while (free > 0 && this.targetsByFree[free] === 0) {
      free--;
    }
    return free;
  }
}
