/** A baseline: quotas of accelerators, without shapes or adjacency. */
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
 * Starts jobs in the order of arrival, those within the quota of their
 * workspace first; they stop the youngest borrowers when there is no room.
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

class QuotaPass {
  private readonly decisions: PassDecisions = {
    placements: [],
    reclaims: [],
    waits: [],
  };
  private readonly trials: string[] = [];
  private readonly quotas: Map<string, number>;

  constructor(
    private readonly cells: Cells,
    private readonly now: number,
  ) {
    this.quotas = countQuotas(cells);
    for (const gang of cells.listGangs()) {
      if (gang.guaranteed) {
        this.spend(gang.workspace, countAccelerators(gang));
      }
    }
  }

  run(queue: readonly WaitingJob[]): PassDecisions {
    const order = [...queue].sort((a, b) => a.submittedAt - b.submittedAt);
    const others = order.filter(job => !this.decideWithin(job));
    others.forEach(job => this.decideBeyond(job));
    this.trials.forEach(id => this.cells.removeGang(id));
    return this.decisions;
  }

  private decideWithin(job: WaitingJob): boolean {
    const quota = this.quotas.get(job.workspace) ?? 0;
    if (!this.cells.isInService || quota < countRequiredAccelerators(job)) {
      return false;
    }
    const place = findFirstFit(this.cells, job);
    if (!place && !this.reclaim(job)) {
      return false;
    }
    this.spend(job.workspace, countRequiredAccelerators(job));
    if (place) {
      this.place(job, place, true);
    }
    return true;
  }

  private decideBeyond(job: WaitingJob): void {
    const place = this.cells.isInService && findFirstFit(this.cells, job);
    if (place) {
      this.place(job, place, false);
      return;
    }
    const reason = describeCapacityWait(this.cells, job);
    this.decisions.waits.push({jobId: job.jobId, reason});
  }

  /** Stops the youngest borrowers until the job would fit. */
  private reclaim(job: WaitingJob): boolean {
    const borrowers = [...this.cells.listGangs()]
      .filter(gang => !gang.guaranteed)
      .sort(
        (a, b) =>
          Number(b.stopping) - Number(a.stopping) || b.startedAt - a.startedAt,
      );
    const removed: RunningGang[] = [];
    let place: Assignment[] | undefined;
    for (const gang of borrowers) {
      this.cells.removeGang(gang.jobId);
      removed.push(gang);
      place = findFirstFit(this.cells, job);
      if (place) {
        break;
      }
    }
    removed.forEach(gang => this.cells.addGang(gang));
    if (!place) {
      return false;
    }
    const used = new Set(place.map(({target}) => target));
    const inTheWay = removed.filter(gang =>
      gang.assignments.some(({target}) => used.has(target)),
    );
    this.stop(job, inTheWay);
    this.hold(job, place);
    return true;
  }

  private stop(job: WaitingJob, gangs: readonly RunningGang[]): void {
    const victims = gangs
      .filter(gang => !gang.stopping)
      .map(({jobId}) => jobId);
    const all = gangs.map(({jobId}) => jobId).join(', ');
    this.decisions.waits.push({
      jobId: job.jobId,
      reason: createReason('waiting-reclaim', {victims: all}),
    });
    if (victims.length > 0) {
      const {workspace} = job;
      const reason = createReason('preempted-reclaim', {workspace});
      this.decisions.reclaims.push({forJob: job.jobId, victims, reason});
    }
  }

  private hold(job: WaitingJob, place: Assignment[]): void {
    const gang = toRunningGang(job, place, true, this.now);
    gang.jobId = `hold/${job.jobId}`;
    this.cells.addGang(gang);
    this.trials.push(gang.jobId);
  }

  private place(
    job: WaitingJob,
    assignments: Assignment[],
    guaranteed: boolean,
  ): void {
    this.cells.addGang(toRunningGang(job, assignments, guaranteed, this.now));
    this.trials.push(job.jobId);
    const code = guaranteed ? 'placed-guaranteed' : 'placed-borrowed';
    const {jobId, workspace} = job;
    const targets = describeTargets(assignments);
    const reason = createReason(code, {targets, workspace});
    this.decisions.placements.push({jobId, assignments, guaranteed, reason});
  }

  private spend(workspace: string, accelerators: number): void {
    const before = this.quotas.get(workspace) ?? 0;
    this.quotas.set(workspace, before - accelerators);
  }
}

/** Accelerators that workspaces are promised in the domain. */
function countQuotas(cells: Cells): Map<string, number> {
  const quotas = new Map<string, number>();
  for (const {workspace, level, count} of cells.guarantees) {
    const before = quotas.get(workspace) ?? 0;
    quotas.set(workspace, before + count * cells.getMaxCellSize(level));
  }
  return quotas;
}
