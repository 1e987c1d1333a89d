/** The capacity of one target, and what is left of it. */
import type {Target, TaskDemand} from '@galenavalve/model';
import {countBits, createFullMask} from './accelerator_mask.js';
import type {RunningGang, TargetCondition} from './policy.js';
import type {RackCell} from './rack_cell.js';

/** An amount of each resource of one target. */
export interface TargetResources {
  /** Bit mask of accelerators. */
  accelerators: number;
  processors: number;
  memoryMb: number;
  slots: number;
}

/** The part of a gang on one target. */
export interface Occupant {
  gang: RunningGang;
  tasks: number;
  /** Accelerators that it took here. */
  mask: number;
}

/** Rounding tolerance for sums of processor cores and memory. */
const TOLERANCE = 1e-6;

/** One target as its scheduler sees it. */
export class TargetCell {
  condition: TargetCondition = 'well';
  /** What no gang uses. */
  readonly free: TargetResources;
  /** What runs here, by job. */
  readonly occupants = new Map<string, Occupant>();
  private readonly permitted: ReadonlySet<string> | undefined;

  constructor(
    readonly spec: Target,
    readonly rack: RackCell,
    /** Position in the domain's list of targets. */
    readonly index: number,
  ) {
    this.free = getCapacity(spec);
    this.permitted =
      spec.permittedWorkspaces && new Set(spec.permittedWorkspaces);
  }

  get id(): string {
    return this.spec.id;
  }

  /** Whether operators and evidence let new work start here. */
  get isSchedulable(): boolean {
    return this.condition === 'well' && this.spec.state === 'in-service';
  }

  get freeAccelerators(): number {
    return countBits(this.free.accelerators);
  }

  permits(workspace: string): boolean {
    return !this.permitted || this.permitted.has(workspace);
  }
}

/** All that a target has. */
export function getCapacity(spec: Target): TargetResources {
  return {
    accelerators: createFullMask(spec.accelerators),
    processors: spec.processors,
    memoryMb: spec.memoryMb,
    slots: spec.slots,
  };
}

/** Number of tasks of one demand that fit into `room`. */
export function countFitting(
  room: TargetResources,
  demand: TaskDemand,
): number {
  let count = room.slots;
  if (demand.accelerators > 0) {
    const accelerators = countBits(room.accelerators);
    count = Math.min(count, Math.floor(accelerators / demand.accelerators));
  }
  if (demand.processors > 0) {
    const processors = (room.processors + TOLERANCE) / demand.processors;
    count = Math.min(count, Math.floor(processors));
  }
  if (demand.memoryMb > 0) {
    const memory = (room.memoryMb + TOLERANCE) / demand.memoryMb;
    count = Math.min(count, Math.floor(memory));
  }
  return Math.max(0, count);
}

/** Takes the resources of `tasks` tasks out of `room`. */
export function subtractTasks(
  room: TargetResources,
  demand: TaskDemand,
  tasks: number,
  mask: number,
): void {
  room.accelerators &= ~mask;
  room.processors -= demand.processors * tasks;
  room.memoryMb -= demand.memoryMb * tasks;
  room.slots -= tasks;
}

/** Puts the resources of `tasks` tasks back into `room`. */
export function addTasks(
  room: TargetResources,
  demand: TaskDemand,
  tasks: number,
  mask: number,
): void {
  room.accelerators |= mask;
  room.processors += demand.processors * tasks;
  room.memoryMb += demand.memoryMb * tasks;
  room.slots += tasks;
}
