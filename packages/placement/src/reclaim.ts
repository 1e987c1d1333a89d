/** Chooses the borrowers to stop so that a guaranteed job can start: least lost work first. */
import type {Assignment} from '@galenavalve/model';
import {chooseAccelerators} from './accelerator_mask.js';
import {type Cells, countAccelerators} from './cells.js';
import {
  intersectResources,
  groupGuaranteedTargetsByRack,
  createReclaimableView,
} from './guaranteed_search.js';
import type {RunningGang} from './policy.js';
import {
  type TargetCandidate,
  type SearchRequest,
  listCandidates,
} from './best_fit_search.js';
import {
  type TargetResources,
  type TargetCell,
  addTasks,
  countFitting,
} from './target_cell.js';

/** A place within the guarantee, and the borrowers that are in the way. */
export interface ReclaimPlan {
  assignments: Assignment[];
  /** Borrowers that were told to stop before. */
  stopping: RunningGang[];
  /** Borrowers to stop now. */
  victims: RunningGang[];
  /** Expected loss of work, in accelerator seconds. */
  cost: number;
}

/** Share of the progress since the last checkpoint that a graceful stop loses on average. */
const CHECKPOINT_LOSS = 0.05;

/** Weight of the progress of a job that cannot be run again. */
const LOST_WEIGHT = 1e6;

/** Loss of each stop apart from progress, in seconds. */
const RESTART_SECONDS = 5;

/** Finds the cheapest place within the guarantee; undefined when it has no room even without borrowers. */
export function planReclaim(
  cells: Cells,
  request: SearchRequest,
  now: number,
  chosen: ReadonlySet<RunningGang> = new Set(),
): ReclaimPlan | undefined {
  let best: ReclaimPlan | undefined;
  for (const targets of listScopes(cells, request)) {
    const plan = new Reclaim(cells, request, now, chosen, targets).plan();
    if (plan && (!best || plan.cost < best.cost)) {
      best = plan;
    }
  }
  return best;
}

/** Expected loss of work when a gang is stopped now, in accelerator seconds. */
export function estimateStopCost(gang: RunningGang, now: number): number {
  const accelerators = Math.max(1, countAccelerators(gang));
  const since = gang.checkpointable ? gang.savedAt : gang.startedAt;
  const seconds = Math.max(0, now - since) / 1000;
  const weight = gang.checkpointable
    ? CHECKPOINT_LOSS
    : gang.repeatable
      ? 1
      : LOST_WEIGHT;
  return accelerators * (seconds * weight + RESTART_SECONDS);
}

/** The sets of targets in which a gang may lie whole. */
function listScopes(
  cells: Cells,
  request: SearchRequest,
): (readonly TargetCell[])[] {
  const groups = groupGuaranteedTargetsByRack(cells, request.workspace);
  if (request.gang.adjacency === 'rack') {
    return groups;
  }
  const targets = groups.flat();
  return request.gang.adjacency === 'domain'
    ? [targets]
    : targets.map(target => [target]);
}

/** The choice of victims within one set of targets. */
class Reclaim {
  /** Gangs that are counted as gone. */
  private readonly gone = new Set<RunningGang>();
  private readonly costs = new Map<RunningGang, number>();
  /** Tasks that fit on each target once the gangs that are counted as gone are gone. */
  private readonly fits = new Map<TargetCell, number>();
  private missing: number;

  constructor(
    private readonly cells: Cells,
    private readonly request: SearchRequest,
    private readonly now: number,
    /** Gangs that were chosen for other jobs before. */
    private readonly chosen: ReadonlySet<RunningGang>,
    private readonly targets: readonly TargetCell[],
  ) {
    this.missing = request.gang.tasks;
  }

  plan(): ReclaimPlan | undefined {
    const {gang} = this.request;
    const view = createReclaimableView(this.cells, this.request);
    const portions = listCandidates(this.targets, gang, view);
    const most = portions.reduce((sum, {tasks}) => sum + tasks, 0);
    if (most < gang.tasks) {
      return undefined;
    }
    for (const {target} of portions) {
      this.fits.set(target, 0);
      this.refit(target);
    }
    this.addStopping();
    this.chooseVictims(portions);
    this.spareVictims();
    return this.toPlan();
  }

  private isStopping(gang: RunningGang): boolean {
    return gang.stopping || this.chosen.has(gang);
  }

  private addStopping(): void {
    for (const target of this.fits.keys()) {
      for (const gang of this.borrowersOn(target)) {
        if (this.isStopping(gang)) {
          this.setGone(gang, true);
        }
      }
    }
  }

  /** Clears targets, the cheapest per task first, until the gang fits. */
  private chooseVictims(portions: readonly TargetCandidate[]): void {
    if (this.missing <= 0) {
      return;
    }
    const order = portions
      .map(portion => ({portion, price: this.priceOf(portion)}))
      .sort((a, b) => a.price - b.price);
    for (const {portion} of order) {
      if (this.missing > 0) {
        this.clear(portion.target);
      }
    }
  }

  /** Stops borrowers on one target, the cheapest first, while tasks are missing. */
  private clear(target: TargetCell): void {
    const borrowers = this.borrowersOn(target)
      .filter(gang => !this.gone.has(gang))
      .sort((a, b) => this.costOf(a) - this.costOf(b));
    for (const gang of borrowers) {
      if (this.missing > 0) {
        this.setGone(gang, true);
      }
    }
  }

  /** Takes back victims without which the gang fits too, the dearest first. */
  private spareVictims(): void {
    const victims = [...this.gone]
      .filter(gang => !this.isStopping(gang))
      .sort((a, b) => this.costOf(b) - this.costOf(a));
    for (const gang of victims) {
      this.setGone(gang, false);
      if (this.missing > 0) {
        this.setGone(gang, true);
      }
    }
  }

  private toPlan(): ReclaimPlan {
    const {gang} = this.request;
    const assignments: Assignment[] = [];
    const needed = new Set<RunningGang>();
    let firstTask = 0;
    for (const target of this.orderByPresence()) {
      const tasks = Math.min(this.fits.get(target)!, gang.tasks - firstTask);
      if (tasks > 0) {
        const accelerators = chooseAccelerators(
          this.roomOn(target).accelerators,
          tasks * gang.perTask.accelerators,
          target.spec.accelerators,
        );
        assignments.push({target: target.id, firstTask, tasks, accelerators});
        this.goneOn(target).forEach(borrower => needed.add(borrower));
        firstTask += tasks;
      }
    }
    const victims = [...this.gone].filter(other => !this.isStopping(other));
    const cost = victims.reduce((sum, other) => sum + this.costOf(other), 0);
    const stopping = [...needed].filter(other => this.isStopping(other));
    return {assignments, stopping, victims, cost};
  }

  /** Targets that need no stop first. */
  private orderByPresence(): TargetCell[] {
    return [...this.fits.keys()]
      .map(target => ({target, count: this.goneOn(target).length}))
      .sort((a, b) => a.count - b.count || a.target.index - b.target.index)
      .map(({target}) => target);
  }

  private priceOf({target, tasks}: TargetCandidate): number {
    const gain = tasks - this.fits.get(target)!;
    const cost = this.borrowersOn(target)
      .filter(gang => !this.gone.has(gang))
      .reduce((sum, gang) => sum + this.costOf(gang), 0);
    return gain > 0 ? cost / gain : Infinity;
  }

  private setGone(gang: RunningGang, isGone: boolean): void {
    if (isGone) {
      this.gone.add(gang);
    } else {
      this.gone.delete(gang);
    }
    for (const {target: id} of gang.assignments) {
      const target = this.cells.targets.get(id);
      if (target && this.fits.has(target)) {
        this.refit(target);
      }
    }
  }

  private refit(target: TargetCell): void {
    const fitting = countFitting(
      this.roomOn(target),
      this.request.gang.perTask,
    );
    this.missing += this.fits.get(target)! - fitting;
    this.fits.set(target, fitting);
  }

  /** Room within the guarantee that is free once the chosen gangs are gone. */
  private roomOn(target: TargetCell): TargetResources {
    const free = {...target.free};
    for (const {gang, tasks, mask} of target.occupants.values()) {
      if (this.gone.has(gang)) {
        addTasks(free, gang.gang.perTask, tasks, mask);
      }
    }
    const whole = createReclaimableView(this.cells, this.request)(target)!;
    return intersectResources(whole, free);
  }

  private goneOn(target: TargetCell): RunningGang[] {
    return this.borrowersOn(target).filter(gang => this.gone.has(gang));
  }

  /** Borrowers that use accelerators of the guarantee, or hold back its other resources. */
  private borrowersOn(target: TargetCell): RunningGang[] {
    const own = this.cells.guaranteedCells
      .getWorkspace(this.request.workspace)
      .masksByTarget.get(target)!;
    const isShort = this.isShort(target);
    const gangs: RunningGang[] = [];
    for (const {gang, mask} of target.occupants.values()) {
      if (!gang.guaranteed && ((mask & own) !== 0 || isShort)) {
        gangs.push(gang);
      }
    }
    return gangs;
  }

  /** Whether processors, memory or slots allow fewer tasks than the guarantee. */
  private isShort(target: TargetCell): boolean {
    const {perTask} = this.request.gang;
    const whole = createReclaimableView(this.cells, this.request)(target)!;
    const room = {...target.free, accelerators: whole.accelerators};
    return countFitting(room, perTask) < countFitting(whole, perTask);
  }

  private costOf(gang: RunningGang): number {
    let cost = this.costs.get(gang);
    if (cost === undefined) {
      cost = estimateStopCost(gang, this.now);
      this.costs.set(gang, cost);
    }
    return cost;
  }
}
