/**
 * Reclaim: chooses borrowers to stop so that a job can start within the guarantee
 * of its workspace, with the least expected loss of work.
 */
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

/** A placement within the guarantee, and the borrowers that have to stop for it. */
export interface ReclaimPlan {
  assignments: Assignment[];
  /** Borrowers that are already being stopped. */
  stopping: RunningGang[];
  /** Borrowers to stop now. */
  victims: RunningGang[];
  /** Expected loss of work by stopping the victims, in accelerator seconds. */
  cost: number;
}

/** Average share of the progress since the last checkpoint that is lost in a graceful stop. */
const CHECKPOINT_LOSS_SHARE = 0.05;

/** Factor for the progress of jobs that cannot be run again, which makes them the last choice. */
const NON_REPEATABLE_LOSS_FACTOR = 1e6;

/** Cost of each stop in addition to lost progress, in seconds of run time. */
const RESTART_COST_SECONDS = 5;

/**
 * Finds the placement within the guarantee with the lowest cost. `chosen` are
 * gangs that are already chosen to be stopped for other jobs. Returns undefined
 * if the guarantee cannot hold the job even without borrowers.
 */
export function planReclaim(
  cells: Cells,
  request: SearchRequest,
  now: number,
  chosen: ReadonlySet<RunningGang> = new Set(),
): ReclaimPlan | undefined {
  let best: ReclaimPlan | undefined;
  for (const targets of listTargetGroups(cells, request)) {
    const plan = new VictimSelection(
      cells,
      request,
      now,
      chosen,
      targets,
    ).plan();
    if (plan && (!best || plan.cost < best.cost)) {
      best = plan;
    }
  }
  return best;
}

/** Estimates the loss of work if a gang is stopped now, in accelerator seconds. */
export function estimateStopCost(gang: RunningGang, now: number): number {
  const accelerators = Math.max(1, countAccelerators(gang));
  const lossStartAt = gang.checkpointable ? gang.savedAt : gang.startedAt;
  const seconds = Math.max(0, now - lossStartAt) / 1000;
  const lossFactor = gang.checkpointable
    ? CHECKPOINT_LOSS_SHARE
    : gang.repeatable
      ? 1
      : NON_REPEATABLE_LOSS_FACTOR;
  return accelerators * (seconds * lossFactor + RESTART_COST_SECONDS);
}

/** Lists the groups of targets within which the adjacency of a gang is met. */
function listTargetGroups(
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

/** Selection of victims within one group of targets. */
class VictimSelection {
  /** Gangs that are treated as removed. */
  private readonly removed = new Set<RunningGang>();
  private readonly costs = new Map<RunningGang, number>();
  /** Tasks that fit on each target without the removed gangs. */
  private readonly fittingTasks = new Map<TargetCell, number>();
  /** Tasks of the gang that do not fit yet. */
  private missingTasks: number;

  constructor(
    private readonly cells: Cells,
    private readonly request: SearchRequest,
    private readonly now: number,
    /** Gangs that are already chosen to be stopped for other jobs. */
    private readonly chosenBefore: ReadonlySet<RunningGang>,
    private readonly targets: readonly TargetCell[],
  ) {
    this.missingTasks = request.gang.tasks;
  }

  plan(): ReclaimPlan | undefined {
    const {gang} = this.request;
    const view = createReclaimableView(this.cells, this.request);
    const candidates = listCandidates(this.targets, gang, view);
    const maxTasks = candidates.reduce((sum, {tasks}) => sum + tasks, 0);
    if (maxTasks < gang.tasks) {
      return undefined;
    }
    for (const {target} of candidates) {
      this.fittingTasks.set(target, 0);
      this.updateFitting(target);
    }
    this.removeStoppingGangs();
    this.chooseVictims(candidates);
    this.dropNeedlessVictims();
    return this.toPlan();
  }

  private isAlreadyStopping(gang: RunningGang): boolean {
    return gang.stopping || this.chosenBefore.has(gang);
  }

  private removeStoppingGangs(): void {
    for (const target of this.fittingTasks.keys()) {
      for (const gang of this.listBorrowersOn(target)) {
        if (this.isAlreadyStopping(gang)) {
          this.setRemoved(gang, true);
        }
      }
    }
  }

  /**
   * Removes the borrowers of targets, the lowest cost per gained task first,
   * until the gang fits.
   */
  private chooseVictims(candidates: readonly TargetCandidate[]): void {
    if (this.missingTasks <= 0) {
      return;
    }
    const order = candidates
      .map(candidate => ({
        candidate,
        costPerTask: this.computeCostPerTask(candidate),
      }))
      .sort((a, b) => a.costPerTask - b.costPerTask);
    for (const {candidate} of order) {
      if (this.missingTasks > 0) {
        this.removeBorrowersOn(candidate.target);
      }
    }
  }

  /** Removes borrowers on one target, the lowest cost first, while tasks are missing. */
  private removeBorrowersOn(target: TargetCell): void {
    const borrowers = this.listBorrowersOn(target)
      .filter(gang => !this.removed.has(gang))
      .sort((a, b) => this.getStopCost(a) - this.getStopCost(b));
    for (const gang of borrowers) {
      if (this.missingTasks > 0) {
        this.setRemoved(gang, true);
      }
    }
  }

  /** Drops victims that need not stop for the gang to fit, the highest cost first. */
  private dropNeedlessVictims(): void {
    const victims = [...this.removed]
      .filter(gang => !this.isAlreadyStopping(gang))
      .sort((a, b) => this.getStopCost(b) - this.getStopCost(a));
    for (const gang of victims) {
      this.setRemoved(gang, false);
      if (this.missingTasks > 0) {
        this.setRemoved(gang, true);
      }
    }
  }

  private toPlan(): ReclaimPlan {
    const {gang} = this.request;
    const assignments: Assignment[] = [];
    const needed = new Set<RunningGang>();
    let firstTask = 0;
    for (const target of this.orderByRemovedGangs()) {
      const tasks = Math.min(
        this.fittingTasks.get(target)!,
        gang.tasks - firstTask,
      );
      if (tasks > 0) {
        const accelerators = chooseAccelerators(
          this.getFreeInGuarantee(target).accelerators,
          tasks * gang.perTask.accelerators,
          target.spec.accelerators,
        );
        assignments.push({target: target.id, firstTask, tasks, accelerators});
        this.listRemovedOn(target).forEach(borrower => needed.add(borrower));
        firstTask += tasks;
      }
    }
    const victims = [...this.removed].filter(
      other => !this.isAlreadyStopping(other),
    );
    const cost = victims.reduce(
      (sum, other) => sum + this.getStopCost(other),
      0,
    );
    const stopping = [...needed].filter(other => this.isAlreadyStopping(other));
    return {assignments, stopping, victims, cost};
  }

  /** Orders targets by the number of removed gangs on them, targets without any first. */
  private orderByRemovedGangs(): TargetCell[] {
    return [...this.fittingTasks.keys()]
      .map(target => ({target, count: this.listRemovedOn(target).length}))
      .sort((a, b) => a.count - b.count || a.target.index - b.target.index)
      .map(({target}) => target);
  }

  /** Returns the cost of removing all borrowers of a target per task that fits in addition. */
  private computeCostPerTask({target, tasks}: TargetCandidate): number {
    const gain = tasks - this.fittingTasks.get(target)!;
    const cost = this.listBorrowersOn(target)
      .filter(gang => !this.removed.has(gang))
      .reduce((sum, gang) => sum + this.getStopCost(gang), 0);
    return gain > 0 ? cost / gain : Infinity;
  }

  /** Marks a gang as removed or not, and updates the tasks that fit. */
  private setRemoved(gang: RunningGang, isRemoved: boolean): void {
    if (isRemoved) {
      this.removed.add(gang);
    } else {
      this.removed.delete(gang);
    }
    for (const {target: id} of gang.assignments) {
      const target = this.cells.targets.get(id);
      if (target && this.fittingTasks.has(target)) {
        this.updateFitting(target);
      }
    }
  }

  private updateFitting(target: TargetCell): void {
    const tasks = countFitting(
      this.getFreeInGuarantee(target),
      this.request.gang.perTask,
    );
    this.missingTasks += this.fittingTasks.get(target)! - tasks;
    this.fittingTasks.set(target, tasks);
  }

  /** Returns the resources within the guarantee that are free without the removed gangs. */
  private getFreeInGuarantee(target: TargetCell): TargetResources {
    const free = {...target.free};
    for (const {gang, tasks, mask} of target.occupants.values()) {
      if (this.removed.has(gang)) {
        addTasks(free, gang.gang.perTask, tasks, mask);
      }
    }
    const guaranteed = createReclaimableView(this.cells, this.request)(target)!;
    return intersectResources(guaranteed, free);
  }

  private listRemovedOn(target: TargetCell): RunningGang[] {
    return this.listBorrowersOn(target).filter(gang => this.removed.has(gang));
  }

  /**
   * Lists the borrowers on a target that use accelerators of the guarantee. Lists
   * all its borrowers if its other resources limit the guarantee.
   */
  private listBorrowersOn(target: TargetCell): RunningGang[] {
    const guaranteedMask = this.cells.guaranteedCells
      .getWorkspace(this.request.workspace)
      .masksByTarget.get(target)!;
    const isLimited = this.isLimitedByOtherResources(target);
    const gangs: RunningGang[] = [];
    for (const {gang, mask} of target.occupants.values()) {
      if (!gang.guaranteed && ((mask & guaranteedMask) !== 0 || isLimited)) {
        gangs.push(gang);
      }
    }
    return gangs;
  }

  /** Returns whether free processors, memory or slots allow fewer tasks than the guarantee. */
  private isLimitedByOtherResources(target: TargetCell): boolean {
    const {perTask} = this.request.gang;
    const guaranteed = createReclaimableView(this.cells, this.request)(target)!;
    const available = {...target.free, accelerators: guaranteed.accelerators};
    return countFitting(available, perTask) < countFitting(guaranteed, perTask);
  }

  private getStopCost(gang: RunningGang): number {
    let cost = this.costs.get(gang);
    if (cost === undefined) {
      cost = estimateStopCost(gang, this.now);
      this.costs.set(gang, cost);
    }
    return cost;
  }
}
