/**
 * Baseline policy with quotas: a guarantee counts as a number of accelerators,
 * without shape or adjacency.
 */
import {
  type Assignment,
  type Configuration,
  type Reason,
  createReason,
} from '@galenavalve/model';
import {Cells, countAccelerators} from './cells.js';
import {
  describeCapacityWait,
  describeTargets,
  toRunningGang,
} from './first_fit_policy.js';
import {findFirstFit} from './first_fit_search.js';
import {findUnmetConstraint} from './infeasibility.js';
import type {
  DomainCells,
  PassDecisions,
  Policy,
  RunningGang,
  WaitingJob,
} from './policy.js';
import {countRequiredAccelerators} from './queue_order.js';

/**
 * Starts jobs in order of submission with first-fit placement, those within the
 * quota of their workspace first. These reclaim capacity from the youngest
 * borrowers if they do not fit.
 */
export class QuotaPolicy implements Policy {
  readonly name = 'quota';

  createCells(domain: string, configuration: Configuration): Cells {
    return new Cells(domain, configuration);
  }

  decide(
    cells: DomainCells,
    queue: readonly WaitingJob[],
    now: number,
  ): PassDecisions {
    return new QuotaPass(cells as Cells, now).run(queue);
  }

  findInfeasibility(cells: DomainCells, job: WaitingJob): Reason | undefined {
    return findUnmetConstraint(cells as Cells, job);
  }
}

/** Working state of one pass. */
class QuotaPass {
  private readonly decisions: PassDecisions = {
    placements: [],
    reclaims: [],
    waits: [],
  };
  /** Ids of tentative gangs, which are in the cells only during the pass. */
  private readonly tentativeGangs: string[] = [];
  /** Accelerators that each workspace may still use within its quota. */
  private readonly remainingQuotas: Map<string, number>;

  constructor(
    private readonly cells: Cells,
    private readonly now: number,
  ) {
    this.remainingQuotas = computeQuotas(cells);
    for (const gang of cells.listGangs()) {
      if (gang.guaranteed) {
        this.consumeQuota(gang.workspace, countAccelerators(gang));
      }
    }
  }

  run(queue: readonly WaitingJob[]): PassDecisions {
    const order = [...queue].sort((a, b) => a.submittedAt - b.submittedAt);
    const otherJobs = order.filter(job => !this.tryWithinQuota(job));
    otherJobs.forEach(job => this.decideBeyondQuota(job));
    this.tentativeGangs.forEach(id => this.cells.removeGang(id));
    return this.decisions;
  }

  private tryWithinQuota(job: WaitingJob): boolean {
    const quota = this.remainingQuotas.get(job.workspace) ?? 0;
    if (!this.cells.isInService || quota < countRequiredAccelerators(job)) {
      return false;
    }
    const assignments = findFirstFit(this.cells, job);
    if (!assignments && !this.tryReclaim(job)) {
      return false;
    }
    this.consumeQuota(job.workspace, countRequiredAccelerators(job));
    if (assignments) {
      this.addPlacement(job, assignments, true);
    }
    return true;
  }

  private decideBeyondQuota(job: WaitingJob): void {
    const assignments = this.cells.isInService && findFirstFit(this.cells, job);
    if (assignments) {
      this.addPlacement(job, assignments, false);
      return;
    }
    const reason = describeCapacityWait(this.cells, job);
    this.decisions.waits.push({jobId: job.jobId, reason});
  }

  /**
   * Chooses borrowers to stop, the youngest first, until the job would fit. Gangs
   * that are stopping already are counted first. Returns whether it would fit.
   */
  private tryReclaim(job: WaitingJob): boolean {
    const borrowers = [...this.cells.listGangs()]
      .filter(gang => !gang.guaranteed)
      .sort(
        (a, b) =>
          Number(b.stopping) - Number(a.stopping) || b.startedAt - a.startedAt,
      );
    const removed: RunningGang[] = [];
    let assignments: Assignment[] | undefined;
    for (const gang of borrowers) {
      this.cells.removeGang(gang.jobId);
      removed.push(gang);
      assignments = findFirstFit(this.cells, job);
      if (assignments) {
        break;
      }
    }
    removed.forEach(gang => this.cells.addGang(gang));
    if (!assignments) {
      return false;
    }
    const used = new Set(assignments.map(({target}) => target));
    const overlapping = removed.filter(gang =>
      gang.assignments.some(({target}) => used.has(target)),
    );
    this.addReclaim(job, overlapping);
    this.holdCapacity(job, assignments);
    return true;
  }

  private addReclaim(job: WaitingJob, gangs: readonly RunningGang[]): void {
    const victims = gangs
      .filter(gang => !gang.stopping)
      .map(({jobId}) => jobId);
    const stoppedIds = gangs.map(({jobId}) => jobId).join(', ');
    this.decisions.waits.push({
      jobId: job.jobId,
      reason: createReason('waiting-reclaim', {victims: stoppedIds}),
    });
    if (victims.length > 0) {
      const {workspace} = job;
      const reason = createReason('preempted-reclaim', {workspace});
      this.decisions.reclaims.push({forJob: job.jobId, victims, reason});
    }
  }

  /** Holds capacity during the pass for a job whose victims are still stopping. */
  private holdCapacity(job: WaitingJob, assignments: Assignment[]): void {
    const gang = toRunningGang(job, assignments, true, this.now);
    gang.jobId = `hold/${job.jobId}`;
    this.cells.addGang(gang);
    this.tentativeGangs.push(gang.jobId);
  }

  private addPlacement(
    job: WaitingJob,
    assignments: Assignment[],
    guaranteed: boolean,
  ): void {
    this.cells.addGang(toRunningGang(job, assignments, guaranteed, this.now));
    this.tentativeGangs.push(job.jobId);
    const code = guaranteed ? 'placed-guaranteed' : 'placed-borrowed';
    const {jobId, workspace} = job;
    const targets = describeTargets(assignments);
    const reason = createReason(code, {targets, workspace});
    this.decisions.placements.push({jobId, assignments, guaranteed, reason});
  }

  private consumeQuota(workspace: string, accelerators: number): void {
    const before = this.remainingQuotas.get(workspace) ?? 0;
    this.remainingQuotas.set(workspace, before - accelerators);
  }
}

/** Computes the accelerators that are guaranteed to each workspace in the domain. */
function computeQuotas(cells: Cells): Map<string, number> {
  const quotas = new Map<string, number>();
  for (const {workspace, level, count} of cells.guarantees) {
    const before = quotas.get(workspace) ?? 0;
    quotas.set(workspace, before + count * cells.getMaxCellSize(level));
  }
  return quotas;
}
