/** Capacity and usage of one target. */
import type {Target, TaskDemand} from '@galenavalve/model';
import {countBits, createFullMask} from './accelerator_mask.js';
import type {RunningGang, TargetCondition} from './policy.js';
import type {RackCell} from './rack_cell.js';

/** Amounts of the resources of one target. */
export interface TargetResources {
  /** Bit mask of accelerators. */
  accelerators: number;
  /** Processor cores. */
  processors: number;
  /** Mebibytes. */
  memoryMb: number;
  /** Number of tasks. */
  slots: number;
}

/** A gang on one target, with the tasks and accelerators that it has there. */
export interface Occupant {
  gang: RunningGang;
  tasks: number;
  /** Bit mask of the accelerators that are allocated to it here. */
  mask: number;
}

/** Absolute tolerance for rounding errors in sums of processor cores and of mebibytes. */
const ROUNDING_TOLERANCE = 1e-6;

/** State of one target, as its scheduler knows it. */
export class TargetCell {
  condition: TargetCondition = 'well';
  /** Resources that no gang uses. */
  readonly free: TargetResources;
  /** Gangs that run here, by job id. */
  readonly occupants = new Map<string, Occupant>();
  private readonly permitted: ReadonlySet<string> | undefined;

  constructor(
    readonly spec: Target,
    readonly rack: RackCell,
    /** Position in the domain's list of targets; breaks ties. */
    readonly index: number,
  ) {
    this.free = getCapacity(spec);
    this.permitted =
      spec.permittedWorkspaces && new Set(spec.permittedWorkspaces);
  }

  get id(): string {
    return this.spec.id;
  }

  /** Whether the configuration and the condition let new work start here. */
  get isSchedulable(): boolean {
    return this.condition === 'well' && this.spec.state === 'in-service';
  }

  get freeAccelerators(): number {
    return countBits(this.free.accelerators);
  }

  /** Returns whether a workspace may use the target; without a list of permitted workspaces, all may. */
  permits(workspace: string): boolean {
    return !this.permitted || this.permitted.has(workspace);
  }
}

/** Returns all resources of a target. */
export function getCapacity(spec: Target): TargetResources {
  return {
    accelerators: createFullMask(spec.accelerators),
    processors: spec.processors,
    memoryMb: spec.memoryMb,
    slots: spec.slots,
  };
}

/** Counts the tasks of one demand that fit into `resources`. */
export function countFitting(
  resources: TargetResources,
  demand: TaskDemand,
): number {
  let count = resources.slots;
  if (demand.accelerators > 0) {
    const accelerators = countBits(resources.accelerators);
    count = Math.min(count, Math.floor(accelerators / demand.accelerators));
  }
  if (demand.processors > 0) {
    const processors =
      (resources.processors + ROUNDING_TOLERANCE) / demand.processors;
    count = Math.min(count, Math.floor(processors));
  }
  if (demand.memoryMb > 0) {
    const memory = (resources.memoryMb + ROUNDING_TOLERANCE) / demand.memoryMb;
    count = Math.min(count, Math.floor(memory));
  }
  return Math.max(0, count);
}

/** Subtracts the demand of `tasks` tasks and the accelerators `mask` from `resources`, in place. */
export function subtractTasks(
  resources: TargetResources,
  demand: TaskDemand,
  tasks: number,
  mask: number,
): void {
  resources.accelerators &= ~mask;
  resources.processors -= demand.processors * tasks;
  resources.memoryMb -= demand.memoryMb * tasks;
  resources.slots -= tasks;
}

/** Adds the demand of `tasks` tasks and the accelerators `mask` to `resources`, in place. */
export function addTasks(
  resources: TargetResources,
  demand: TaskDemand,
  tasks: number,
  mask: number,
): void {
  resources.accelerators |= mask;
  resources.processors += demand.processors * tasks;
  resources.memoryMb += demand.memoryMb * tasks;
  resources.slots += tasks;
}
