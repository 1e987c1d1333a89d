/**
 * Capacity, running gangs and guaranteed cells of one failure domain, with
 * up-to-date indices of free capacity.
 */
import type {
  Adjacency,
  CellLevel,
  Configuration,
  Rules,
} from '@galenavalve/model';
import {countBits} from './accelerator_mask.js';
import {apportionGuarantees} from './apportionment.js';
import {RunTimeEstimator} from './run_time_estimator.js';
import {hasGuaranteeChange} from './guarantee_check.js';
import type {GuaranteedCellMap, TargetSlice} from './guaranteed_cell.js';
import {relocateCells} from './cell_relocation.js';
import {
  type CellPlan,
  type UnplacedCells,
  planGuaranteedCells,
} from './cell_planner.js';
import {buildInventory} from './inventory.js';
import type {DomainCells, RunningGang, TargetCondition} from './policy.js';
import type {DomainGuarantee} from './domain_guarantee.js';
import type {RackCell} from './rack_cell.js';
import type {Reservation} from './reservation.js';
import {type TargetCell, addTasks, subtractTasks} from './target_cell.js';

const NO_GUARANTEES: readonly DomainGuarantee[] = [];

/** Capacity and running gangs of one failure domain. */
export class Cells implements DomainCells {
  targets = new Map<string, TargetCell>();
  racks = new Map<string, RackCell>();
  /** Racks; the index is their number of free accelerators on schedulable targets. */
  readonly racksByFree: Set<RackCell>[] = [];
  readonly running = new Map<string, RunningGang>();
  readonly estimates = new RunTimeEstimator();
  /** Accelerators in use, by workspace. */
  readonly usedByWorkspace = new Map<string, number>();
  /** Number of accelerators of the largest target. */
  maxTargetSize = 0;
  configuration!: Configuration;
  /** Guarantees that are apportioned to this domain. */
  guarantees: readonly DomainGuarantee[] = NO_GUARANTEES;
  /** Targets that are reserved for the oldest large job. */
  reservation: Reservation | undefined;
  /** Jobs for which gangs are being stopped; they are first to use the freed capacity. */
  readonly reclaimingJobs = new Set<string>();
  private plan: CellPlan | undefined;
  private previousCells: GuaranteedCellMap | undefined;

  constructor(
    readonly domain: string,
    configuration: Configuration,
  ) {
    this.configure(configuration);
  }

  get rules(): Rules {
    return this.configuration.rules;
  }

  /** Whether the configuration lets work start in the domain. */
  get isInService(): boolean {
    return this.configuration.domains.get(this.domain)?.state === 'in-service';
  }

  // Commands

  configure(configuration: Configuration): void {
    if (this.configuration && this.isUnaffectedBy(configuration)) {
      this.configuration = configuration;
      return;
    }
    const conditions = new Map<string, TargetCondition>();
    for (const target of this.targets.values()) {
      conditions.set(target.id, target.condition);
    }
    this.configuration = configuration;
    this.usedByWorkspace.clear();
    this.guarantees =
      apportionGuarantees(configuration).get(this.domain) ?? NO_GUARANTEES;
    this.invalidatePlan();
    this.rebuildInventory(conditions);
    for (const gang of this.running.values()) {
      this.allocate(gang);
    }
  }

  setCondition(id: string, condition: TargetCondition): void {
    const target = this.targets.get(id);
    if (!target || target.condition === condition) {
      return;
    }
    this.changeTarget(target, () => {
      target.condition = condition;
    });
    this.invalidatePlan();
  }

  addGang(gang: RunningGang): void {
    this.removeGang(gang.jobId);
    this.running.set(gang.jobId, gang);
    this.allocate(gang);
    if (gang.guaranteed && this.plan) {
      this.bindGuaranteedCells(gang);
    }
  }

  removeGang(jobId: string): void {
    const gang = this.running.get(jobId);
    if (!gang) {
      return;
    }
    this.running.delete(jobId);
    this.release(gang);
    if (gang.guaranteed && this.plan) {
      for (const slice of this.listSlices(gang)) {
        this.plan.guaranteedCells.removeUse(gang, slice, slice.tasks);
      }
    }
  }

  recordRunTime(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    actualSeconds: number,
  ): void {
    this.estimates.recordRunTime(
      workspace,
      kind,
      declaredSeconds,
      actualSeconds,
    );
  }

  // Queries

  /**
   * The guaranteed cells of all workspaces; planned again after the inventory,
   * the guarantees or a target condition changed.
   */
  get guaranteedCells(): GuaranteedCellMap {
    return this.cellPlan.guaranteedCells;
  }

  /** Guaranteed cells that no schedulable targets can hold now. */
  get unplacedCells(): readonly UnplacedCells[] {
    return this.cellPlan.unplaced;
  }

  listGangs(): Iterable<RunningGang> {
    return this.running.values();
  }

  getCondition(target: string): TargetCondition {
    return this.targets.get(target)?.condition ?? 'out';
  }

  countUsedAccelerators(id: string): number {
    const target = this.targets.get(id);
    return target ? target.spec.accelerators - target.freeAccelerators : 0;
  }

  countTasksOn(id: string): number {
    const target = this.targets.get(id);
    return target ? target.spec.slots - target.free.slots : 0;
  }

  /**
   * Returns the number of accelerators of the largest cell of a level. A cell is
   * a part of the capacity hierarchy, such as a target or a rack.
   */
  getMaxCellSize(level: CellLevel): number {
    const racks = [...this.racks.values()].map(({targets}) =>
      targets.reduce((sum, {spec}) => sum + spec.accelerators, 0),
    );
    const sizes: Record<CellLevel, number> = {
      accelerator: 1,
      half: Math.floor(this.maxTargetSize / 2),
      target: this.maxTargetSize,
      rack: Math.max(0, ...racks),
      domain: racks.reduce((sum, size) => sum + size, 0),
    };
    return sizes[level];
  }

  /**
   * Returns the number of free accelerators of the emptiest cell of a level, on
   * schedulable targets.
   */
  getMaxFreeAccelerators(level: Adjacency): number {
    const racks = [...this.racks.values()];
    if (level === 'domain') {
      return racks.reduce((sum, rack) => sum + rack.free, 0);
    }
    const sizes = racks.map(rack =>
      level === 'rack' ? rack.free : rack.getMaxFreeOnTarget(),
    );
    return Math.max(0, ...sizes);
  }

  // Guaranteed cells

  private get cellPlan(): CellPlan {
    this.plan ??= planGuaranteedCells({
      inventory: this,
      guarantees: this.guarantees,
      isAvailable: target => target.isSchedulable,
      guaranteedGangs: [...this.running.values()].filter(
        gang => gang.guaranteed,
      ),
      previous: this.previousCells,
    });
    return this.plan;
  }

  private invalidatePlan(): void {
    this.previousCells = this.plan?.guaranteedCells ?? this.previousCells;
    this.plan = undefined;
  }

  /**
   * Binds the cells in which a guaranteed gang runs, after moving cells to its
   * accelerators if necessary; invalidates the plan if they cannot be moved there.
   */
  private bindGuaranteedCells(gang: RunningGang): void {
    const slices = this.listSlices(gang);
    const {guaranteedCells} = this;
    const {masksByTarget} = guaranteedCells.getWorkspace(gang.workspace);
    const isWithinCells = slices.every(
      ({target, mask}) => (mask & ~(masksByTarget.get(target) ?? 0)) === 0,
    );
    if (!isWithinCells && !relocateCells(this, gang, gang.assignments)) {
      this.invalidatePlan();
      return;
    }
    slices.forEach(slice => guaranteedCells.addUse(gang, slice, slice.tasks));
  }

  private listSlices(gang: RunningGang): (TargetSlice & {tasks: number})[] {
    const slices: (TargetSlice & {tasks: number})[] = [];
    for (const {target: id, tasks, accelerators} of gang.assignments) {
      const target = this.targets.get(id);
      if (target) {
        slices.push({target, tasks, mask: accelerators});
      }
    }
    return slices;
  }

  // Indices

  /**
   * Returns whether the inventory and the guarantees of the domain stay the same
   * under the next configuration. Weights, limits and rules do not count, since
   * they are read from the configuration when they are needed.
   */
  private isUnaffectedBy(next: Configuration): boolean {
    const domain = next.domains.get(this.domain);
    return (
      domain === this.configuration.domains.get(this.domain) &&
      !hasGuaranteeChange(next, this.configuration) &&
      [...this.targets].every(([id, {spec}]) => next.targets.get(id) === spec)
    );
  }

  private rebuildInventory(
    conditions: ReadonlyMap<string, TargetCondition>,
  ): void {
    const {targets, racks} = buildInventory(this.configuration, this.domain);
    this.targets = targets;
    this.racks = racks;
    this.racksByFree.length = 0;
    this.maxTargetSize = 0;
    for (const target of targets.values()) {
      this.maxTargetSize = Math.max(
        this.maxTargetSize,
        target.spec.accelerators,
      );
      target.condition = conditions.get(target.id) ?? 'well';
    }
    for (const rack of racks.values()) {
      rack.targets.forEach(target => rack.updateCounts(target, 1));
      this.indexRack(rack);
    }
  }

  private allocate(gang: RunningGang): void {
    for (const {target, tasks, mask} of this.listSlices(gang)) {
      // Masks of gangs may overlap after a fault; each accelerator is allocated once.
      const allocated = mask & target.free.accelerators;
      this.changeTarget(target, () => {
        subtractTasks(target.free, gang.gang.perTask, tasks, allocated);
        target.occupants.set(gang.jobId, {gang, tasks, mask: allocated});
      });
      this.addWorkspaceUsage(gang.workspace, countBits(allocated));
    }
  }

  private release(gang: RunningGang): void {
    for (const {target, tasks} of this.listSlices(gang)) {
      const mask = target.occupants.get(gang.jobId)?.mask ?? 0;
      this.changeTarget(target, () => {
        addTasks(target.free, gang.gang.perTask, tasks, mask);
        target.occupants.delete(gang.jobId);
      });
      this.addWorkspaceUsage(gang.workspace, -countBits(mask));
    }
  }

  private addWorkspaceUsage(workspace: string, accelerators: number): void {
    const before = this.usedByWorkspace.get(workspace) ?? 0;
    this.usedByWorkspace.set(workspace, before + accelerators);
  }

  /** Applies a change to one target and updates the counts and the index of its rack. */
  private changeTarget(target: TargetCell, apply: () => void): void {
    const rack = target.rack;
    this.racksByFree[rack.free]?.delete(rack);
    rack.updateCounts(target, -1);
    apply();
    rack.updateCounts(target, 1);
    this.indexRack(rack);
  }

  private indexRack(rack: RackCell): void {
    while (this.racksByFree.length <= rack.free) {
      this.racksByFree.push(new Set());
    }
    this.racksByFree[rack.free]!.add(rack);
  }
}

/** Returns the number of accelerators that a gang occupies. */
export function countAccelerators(gang: RunningGang): number {
  let count = 0;
  for (const {accelerators} of gang.assignments) {
    count += countBits(accelerators);
  }
  return count;
}
