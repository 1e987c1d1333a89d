/** What one failure domain holds, with indices of free capacity kept up to date. */
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

const NO_PROMISES: readonly DomainGuarantee[] = [];

/** Capacity and running gangs of one failure domain. */
export class Cells implements DomainCells {
  targets = new Map<string, TargetCell>();
  racks = new Map<string, RackCell>();
  /** Racks by their number of free accelerators. */
  readonly racksByFree: Set<RackCell>[] = [];
  readonly running = new Map<string, RunningGang>();
  readonly estimates = new RunTimeEstimator();
  /** Accelerators that workspaces use. */
  readonly usedByWorkspace = new Map<string, number>();
  /** Accelerators of the largest target. */
  maxTargetSize = 0;
  configuration!: Configuration;
  /** What is promised in this domain. */
  guarantees: readonly DomainGuarantee[] = NO_PROMISES;
  /** The place that is kept for the oldest large job. */
  reservation: Reservation | undefined;
  /** Jobs for which gangs were told to stop; what becomes free is theirs first. */
  readonly reclaimingJobs = new Set<string>();
  private plan: CellPlan | undefined;
  private previousHomes: GuaranteedCellMap | undefined;

  constructor(
    readonly domain: string,
    configuration: Configuration,
  ) {
    this.configure(configuration);
  }

  get rules(): Rules {
    return this.configuration.rules;
  }

  /** Whether operators let work start in the domain. */
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
      apportionGuarantees(configuration).get(this.domain) ?? NO_PROMISES;
    this.invalidateHomes();
    this.rebuild(conditions);
    for (const gang of this.running.values()) {
      this.take(gang);
    }
  }

  setCondition(id: string, condition: TargetCondition): void {
    const target = this.targets.get(id);
    if (!target || target.condition === condition) {
      return;
    }
    this.change(target, () => {
      target.condition = condition;
    });
    this.invalidateHomes();
  }

  addGang(gang: RunningGang): void {
    this.removeGang(gang.jobId);
    this.running.set(gang.jobId, gang);
    this.take(gang);
    if (gang.guaranteed && this.plan) {
      this.useHomes(gang);
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
      for (const part of this.listParts(gang)) {
        this.plan.guaranteedCells.removeUse(gang, part, part.tasks);
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

  /** The homes of all guaranteed cells, planned anew after a change of inventory. */
  get guaranteedCells(): GuaranteedCellMap {
    return this.homePlan.guaranteedCells;
  }

  /** Guaranteed cells that no well target can hold now. */
  get unplacedCells(): readonly UnplacedCells[] {
    return this.homePlan.unplaced;
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

  /** Accelerators of the largest cell of a level. */
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

  /** Free accelerators of the emptiest cell of a level that can take work. */
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

  // Homes

  private get homePlan(): CellPlan {
    this.plan ??= planGuaranteedCells({
      inventory: this,
      guarantees: this.guarantees,
      isAvailable: target => target.isSchedulable,
      guaranteedGangs: [...this.running.values()].filter(
        gang => gang.guaranteed,
      ),
      previous: this.previousHomes,
    });
    return this.plan;
  }

  private invalidateHomes(): void {
    this.previousHomes = this.plan?.guaranteedCells ?? this.previousHomes;
    this.plan = undefined;
  }

  /** Binds homes to a guaranteed gang; plans anew when none can be moved there. */
  private useHomes(gang: RunningGang): void {
    const parts = this.listParts(gang);
    const {guaranteedCells: homes} = this;
    const {masksByTarget: masks} = homes.getWorkspace(gang.workspace);
    const isHome = parts.every(
      ({target, mask}) => (mask & ~(masks.get(target) ?? 0)) === 0,
    );
    if (!isHome && !relocateCells(this, gang, gang.assignments)) {
      this.invalidateHomes();
      return;
    }
    parts.forEach(part => homes.addUse(gang, part, part.tasks));
  }

  private listParts(gang: RunningGang): (TargetSlice & {tasks: number})[] {
    const parts: (TargetSlice & {tasks: number})[] = [];
    for (const {target: id, tasks, accelerators} of gang.assignments) {
      const target = this.targets.get(id);
      if (target) {
        parts.push({target, tasks, mask: accelerators});
      }
    }
    return parts;
  }

  // Indices

  /** Tells whether the domain holds and promises the same; weights, limits and rules are read when needed. */
  private isUnaffectedBy(next: Configuration): boolean {
    const domain = next.domains.get(this.domain);
    return (
      domain === this.configuration.domains.get(this.domain) &&
      !hasGuaranteeChange(next, this.configuration) &&
      [...this.targets].every(([id, {spec}]) => next.targets.get(id) === spec)
    );
  }

  private rebuild(conditions: ReadonlyMap<string, TargetCondition>): void {
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
      this.file(rack);
    }
  }

  private take(gang: RunningGang): void {
    for (const {target, tasks, mask} of this.listParts(gang)) {
      // A caller's mask may overlap after a fault; each accelerator is taken once.
      const taken = mask & target.free.accelerators;
      this.change(target, () => {
        subtractTasks(target.free, gang.gang.perTask, tasks, taken);
        target.occupants.set(gang.jobId, {gang, tasks, mask: taken});
      });
      this.countUse(gang.workspace, countBits(taken));
    }
  }

  private release(gang: RunningGang): void {
    for (const {target, tasks} of this.listParts(gang)) {
      const mask = target.occupants.get(gang.jobId)?.mask ?? 0;
      this.change(target, () => {
        addTasks(target.free, gang.gang.perTask, tasks, mask);
        target.occupants.delete(gang.jobId);
      });
      this.countUse(gang.workspace, -countBits(mask));
    }
  }

  private countUse(workspace: string, accelerators: number): void {
    const before = this.usedByWorkspace.get(workspace) ?? 0;
    this.usedByWorkspace.set(workspace, before + accelerators);
  }

  /** Runs a change of one target and keeps the counts of its rack. */
  private change(target: TargetCell, apply: () => void): void {
    const rack = target.rack;
    this.racksByFree[rack.free]?.delete(rack);
    rack.updateCounts(target, -1);
    apply();
    rack.updateCounts(target, 1);
    this.file(rack);
  }

  private file(rack: RackCell): void {
    while (this.racksByFree.length <= rack.free) {
      this.racksByFree.push(new Set());
    }
    this.racksByFree[rack.free]!.add(rack);
  }
}

/** Accelerators that a gang occupies. */
export function countAccelerators(gang: RunningGang): number {
  let count = 0;
  for (const {accelerators} of gang.assignments) {
    count += countBits(accelerators);
  }
  return count;
}
