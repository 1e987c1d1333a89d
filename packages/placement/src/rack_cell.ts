/** The targets of one rack, with counts of free accelerators. */
import type {TargetCell} from './target_cell.js';

/** Largest number of accelerators that a target may have. */
export const MAX_TARGET_ACCELERATORS = 16;

/** State of one rack, as its scheduler knows it. Counts cover schedulable targets only. */
export class RackCell {
  readonly targets: TargetCell[] = [];
  /** Number of targets by their number of free accelerators. */
  readonly targetsByFree = new Uint16Array(MAX_TARGET_ACCELERATORS + 1);
  /** Number of free accelerators. */
  free = 0;

  constructor(readonly id: string) {}

  /**
   * Adds a target to the counts or subtracts it; called around each change of
   * its free accelerators.
   */
  updateCounts(target: TargetCell, sign: 1 | -1): void {
    if (!target.isSchedulable) {
      return;
    }
    const free = target.freeAccelerators;
    this.targetsByFree[free]! += sign;
    this.free += sign * free;
  }

  /** Returns an upper bound on the tasks that fit, by `accelerators` per task alone. */
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

  /** Returns the number of free accelerators of the emptiest target. */
  getMaxFreeOnTarget(): number {
    let free = MAX_TARGET_ACCELERATORS;
    while (free > 0 && this.targetsByFree[free] === 0) {
      free--;
    }
    return free;
  }
}
