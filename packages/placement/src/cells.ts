/** What one failure domain holds, with indices of free capacity kept up to date. */
import type {Adjacency, Configuration, Rules, Target} from '@galenavalve/model';
import {countBits} from './accelerator_mask.js';
import {EstimateBook} from './estimate.js';
import type {DomainCells, RunningGang, TargetCondition} from './policy.js';
import {RackCell} from './rack_cell.js';
import {TargetCell, addTasks, subtractTasks} from './target_cell.js';

/** Capacity and running gangs of one failure domain. */
export class Cells implements DomainCells {
  readonly targets = new Map<string, TargetCell>();
  readonly racks = new Map<string, RackCell>();
  /** Racks by their number of free accelerators. */
  readonly racksByFree: Set<RackCell>[] = [];
  readonly running = new Map<string, RunningGang>();
  readonly estimates = new EstimateBook();
  /** Rises with each change of capacity or of gangs. */
  version = 0;
  configuration!: Configuration;

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
    const conditions = new Map<string, TargetCondition>();
    for (const target of this.targets.values()) {
      conditions.set(target.id, target.condition);
    }
    this.configuration = configuration;
    this.rebuild(conditions);
    for (const gang of this.running.values()) {
      this.take(gang);
    }
    this.version++;
  }

  setCondition(id: string, condition: TargetCondition): void {
    const target = this.targets.get(id);
    if (!target || target.condition === condition) {
      return;
    }
    this.change(target, () => {
      target.condition = condition;
    });
    this.version++;
  }

  occupy(gang: RunningGang): void {
    this.vacate(gang.jobId);
    this.running.set(gang.jobId, gang);
    this.take(gang);
    this.version++;
  }

  vacate(jobId: string): void {
    const gang = this.running.get(jobId);
    if (!gang) {
      return;
    }
    this.running.delete(jobId);
    this.release(gang);
    this.version++;
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

  // Indices

  private rebuild(conditions: ReadonlyMap<string, TargetCondition>): void {
    this.targets.clear();
    this.racks.clear();
    this.racksByFree.length = 0;
    for (const spec of sortedTargets(this.configuration, this.domain)) {
      this.addTarget(spec, conditions.get(spec.id) ?? 'well');
    }
    for (const rack of this.racks.values()) {
      rack.targets.forEach(target => rack.count(target, 1));
      this.file(rack);
    }
  }

  private addTarget(spec: Target, condition: TargetCondition): void {
    let rack = this.racks.get(spec.rack);
    if (!rack) {
      rack = new RackCell(spec.rack);
      this.racks.set(spec.rack, rack);
    }
    const target = new TargetCell(spec, rack, this.targets.size);
    target.condition = condition;
    rack.targets.push(target);
    this.targets.set(spec.id, target);
  }

  private take(gang: RunningGang): void {
    for (const {target: id, tasks, accelerators} of gang.assignments) {
      const target = this.targets.get(id);
      if (target) {
        this.change(target, () => {
          subtractTasks(target.free, gang.gang.perTask, tasks, accelerators);
          target.tasksByJob.set(gang.jobId, tasks);
        });
      }
    }
  }

  private release(gang: RunningGang): void {
    for (const {target: id, tasks, accelerators} of gang.assignments) {
      const target = this.targets.get(id);
      if (target?.tasksByJob.delete(gang.jobId)) {
        this.change(target, () =>
          addTasks(target.free, gang.gang.perTask, tasks, accelerators),
        );
      }
    }
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

function sortedTargets(configuration: Configuration, domain: string): Target[] {
  return [...configuration.targets.values()]
    .filter(target => target.domain === domain)
    .sort((a, b) => compareNames(a.rack, b.rack) || compareNames(a.id, b.id));
}

function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
