/** What one failure domain holds, with indices of free capacity kept up to date. */
import type {
  Adjacency,
  CellLevel,
  Configuration,
  Rules,
} from '@galenavalve/model';
import {countBits} from './accelerator_mask.js';
import {apportionGuarantees} from './apportion.js';
import {EstimateBook} from './estimate.js';
import {hasPromiseChange} from './guarantee_check.js';
import type {HomeMap, Part} from './home.js';
import {claimPlace} from './home_exchange.js';
import {type HomePlan, type MissingHomes, planHomes} from './home_planner.js';
import {buildInventory} from './inventory.js';
import type {DomainCells, RunningGang, TargetCondition} from './policy.js';
import type {DomainPromise} from './promise.js';
import type {RackCell} from './rack_cell.js';
import type {Reservation} from './reservation.js';
import {type TargetCell, addTasks, subtractTasks} from './target_cell.js';

const NO_PROMISES: readonly DomainPromise[] = [];

/** Capacity and running gangs of one failure domain. */
export class Cells implements DomainCells {
  targets = new Map<string, TargetCell>();
  racks = new Map<string, RackCell>();
  /** Racks by their number of free accelerators. */
  readonly racksByFree: Set<RackCell>[] = [];
  readonly running = new Map<string, RunningGang>();
  readonly estimates = new EstimateBook();
  /** Accelerators that workspaces use. */
  readonly usedByWorkspace = new Map<string, number>();
  /** Accelerators of the largest target. */
  targetSize = 0;
  configuration!: Configuration;
  /** What is promised in this domain. */
  promises: readonly DomainPromise[] = NO_PROMISES;
  /** The place that is kept for the oldest large job. */
  reservation: Reservation | undefined;
  /** Jobs for which gangs were told to stop; what becomes free is theirs first. */
  readonly reclaiming = new Set<string>();
  private plan: HomePlan | undefined;
  private previousHomes: HomeMap | undefined;

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
    this.promises =
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

  occupy(gang: RunningGang): void {
    this.vacate(gang.jobId);
    this.running.set(gang.jobId, gang);
    this.take(gang);
    if (gang.guaranteed && this.plan) {
      this.useHomes(gang);
    }
  }

  vacate(jobId: string): void {
    const gang = this.running.get(jobId);
    if (!gang) {
      return;
    }
    this.running.delete(jobId);
    this.release(gang);
    if (gang.guaranteed && this.plan) {
      for (const part of this.listParts(gang)) {
        this.plan.homes.unuse(gang, part, part.tasks);
      }
    }
  }

  learn(
    workspace: string,
    kind: string,
    declaredSeconds: number,
    actualSeconds: number,
  ): void {
    this.estimates.learn(workspace, kind, declaredSeconds, actualSeconds);
  }

  // Queries

  /** The homes of all guaranteed cells, planned anew after a change of inventory. */
  get homes(): HomeMap {
    return this.homePlan.homes;
  }

  /** Guaranteed cells that no well target can hold now. */
  get missingHomes(): readonly MissingHomes[] {
    return this.homePlan.missing;
  }

  gangs(): Iterable<RunningGang> {
    return this.running.values();
  }

  condition(target: string): TargetCondition {
    return this.targets.get(target)?.condition ?? 'out';
  }

  acceleratorsUsed(id: string): number {
    const target = this.targets.get(id);
    return target ? target.spec.accelerators - target.freeAccelerators : 0;
  }

  tasksOn(id: string): number {
    const target = this.targets.get(id);
    return target ? target.spec.slots - target.free.slots : 0;
  }

  /** Accelerators of the largest cell of a level. */
  sizeOfLevel(level: CellLevel): number {
    const racks = [...this.racks.values()].map(({targets}) =>
      targets.reduce((sum, {spec}) => sum + spec.accelerators, 0),
    );
    const sizes: Record<CellLevel, number> = {
      accelerator: 1,
      half: Math.floor(this.targetSize / 2),
      target: this.targetSize,
      rack: Math.max(0, ...racks),
      domain: racks.reduce((sum, size) => sum + size, 0),
    };
    return sizes[level];
  }

  /** Free accelerators of the emptiest cell of a level that can take work. */
  largestFree(level: Adjacency): number {
    const racks = [...this.racks.values()];
    if (level === 'domain') {
      return racks.reduce((sum, rack) => sum + rack.free, 0);
    }
    const sizes = racks.map(rack =>
      level === 'rack' ? rack.free : rack.largestFreeTarget(),
    );
    return Math.max(0, ...sizes);
  }

  // Homes

  private get homePlan(): HomePlan {
    this.plan ??= planHomes({
      inventory: this,
      promises: this.promises,
      isAvailable: target => target.isWell,
      guaranteedGangs: [...this.running.values()].filter(
        gang => gang.guaranteed,
      ),
      previous: this.previousHomes,
    });
    return this.plan;
  }

  private invalidateHomes(): void {
    this.previousHomes = this.plan?.homes ?? this.previousHomes;
    this.plan = undefined;
  }

  /** Binds homes to a guaranteed gang; plans anew when none can be moved there. */
  private useHomes(gang: RunningGang): void {
    const parts = this.listParts(gang);
    const {homes} = this;
    const {masks} = homes.of(gang.workspace);
    const isHome = parts.every(
      ({target, mask}) => (mask & ~(masks.get(target) ?? 0)) === 0,
    );
    if (!isHome && !claimPlace(this, gang, gang.assignments)) {
      this.invalidateHomes();
      return;
    }
    parts.forEach(part => homes.use(gang, part, part.tasks));
  }

  private listParts(gang: RunningGang): (Part & {tasks: number})[] {
    const parts: (Part & {tasks: number})[] = [];
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
      !hasPromiseChange(next, this.configuration) &&
      [...this.targets].every(([id, {spec}]) => next.targets.get(id) === spec)
    );
  }

  private rebuild(conditions: ReadonlyMap<string, TargetCondition>): void {
    const {targets, racks} = buildInventory(this.configuration, this.domain);
    this.targets = targets;
    this.racks = racks;
    this.racksByFree.length = 0;
    this.targetSize = 0;
    for (const target of targets.values()) {
      this.targetSize = Math.max(this.targetSize, target.spec.accelerators);
      target.condition = conditions.get(target.id) ?? 'well';
    }
    for (const rack of racks.values()) {
      rack.targets.forEach(target => rack.count(target, 1));
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
    rack.count(target, -1);
    apply();
    rack.count(target, 1);
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
