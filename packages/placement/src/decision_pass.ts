/** One pass over the queue: guaranteed work first, then borrowed work. */
import {
  type Assignment,
  type Reason,
  type ReasonCode,
  createReason,
} from '@galenavalve/model';
import type {Cells} from './cells.js';
import {UPPER_QUANTILE} from './run_time_estimator.js';
import {describeTargets, toRunningGang} from './first_fit_policy.js';
import {
  type ReservationFilter,
  findGuaranteedPlace,
} from './guaranteed_search.js';
import {describeGang} from './infeasibility.js';
import type {PassDecisions, RunningGang, WaitingJob} from './policy.js';
import {
  type RankedJob,
  orderQueue,
  countRequiredAccelerators,
} from './queue_order.js';
import {planReclaim} from './reclaim.js';
import {
  isLarge,
  createReservationPredicate,
  listPreemptible,
  planReservation,
} from './reservation.js';
import {type ResourceView, findBestFit, isUsable} from './best_fit_search.js';

/** Oldest large jobs that are tried for the reservation. */
const MAX_RESERVATION_TRIES = 4;

/** The state of one pass. */
export class DecisionPass {
  private readonly decisions: PassDecisions = {
    placements: [],
    reclaims: [],
    waits: [],
  };
  /** Ids of gangs that stand in the cells only during the pass. */
  private readonly trials: string[] = [];
  /** Shapes that found no place; capacity only shrinks during a pass. */
  private readonly failed = new Set<string>();
  private readonly victims = new Set<RunningGang>();
  private readonly largestFree = new Map<string, number>();

  constructor(
    private readonly cells: Cells,
    private readonly now: number,
  ) {}

  run(queue: readonly WaitingJob[]): PassDecisions {
    if (!this.cells.isInService) {
      queue.forEach(job =>
        this.wait(job, 'waiting-domain', {domain: this.cells.domain}),
      );
      return this.decisions;
    }
    this.chooseReservation(queue);
    const order = orderQueue(this.cells, queue, this.now);
    const others: WaitingJob[] = [];
    for (const job of this.reclaimingFirst(order)) {
      if (!this.decideGuaranteed(job)) {
        others.push(job);
      }
    }
    others.forEach(job => this.decideBorrowed(job));
    this.clearReservation(queue);
    this.trials.forEach(id => this.cells.removeGang(id));
    return this.decisions;
  }

  /** Jobs whose victims were told to stop come first, so that nobody takes what became free. */
  private reclaimingFirst(order: readonly RankedJob[]): WaitingJob[] {
    const jobs = order.map(({job}) => job);
    const {reclaimingJobs: reclaiming} = this.cells;
    const isFirst = (job: WaitingJob) => reclaiming.has(job.jobId);
    const first = jobs.filter(isFirst);
    reclaiming.clear();
    first.forEach(({jobId}) => reclaiming.add(jobId));
    return [...first, ...jobs.filter(job => !isFirst(job))];
  }

  /** Keeps a place for the oldest large job that well targets can hold. */
  private chooseReservation(queue: readonly WaitingJob[]): void {
    const oldest = this.now - this.cells.rules.ageingSeconds * 1000;
    const large = queue
      .filter(job => isLarge(this.cells, job) && job.submittedAt <= oldest)
      .sort((a, b) => a.submittedAt - b.submittedAt)
      .slice(0, MAX_RESERVATION_TRIES);
    for (const job of large) {
      const reservation = planReservation(this.cells, job, this.now);
      if (reservation) {
        this.cells.reservation = reservation;
        return;
      }
    }
    this.cells.reservation = undefined;
  }

  /** Starts a job within its guarantee, or makes room for it; false when the guarantee is used up. */
  private decideGuaranteed(job: WaitingJob): boolean {
    const {unusedAccelerators: unused, masksByTarget: masks} =
      this.cells.guaranteedCells.getWorkspace(job.workspace);
    const key = this.keyOf(job, 'guaranteed');
    if (
      unused < countRequiredAccelerators(job) ||
      masks.size === 0 ||
      this.failed.has(key)
    ) {
      return false;
    }
    const place = findGuaranteedPlace(this.cells, job, this.openTargets(job));
    if (place) {
      this.cells.reclaimingJobs.delete(job.jobId);
      this.place(job, place, true);
      return true;
    }
    if (job.repeatable && this.findBorrowedPlace(job)) {
      // It starts at once without stopping anybody, and can still reclaim later.
      return false;
    }
    if (this.isKeptFromHomes(job) || !this.reclaim(job)) {
      this.remember(job, key);
      return false;
    }
    return true;
  }

  private reclaim(job: WaitingJob): boolean {
    const plan = planReclaim(this.cells, job, this.now, this.victims);
    if (!plan || (plan.victims.length === 0 && plan.stopping.length === 0)) {
      return false;
    }
    this.hold(job, plan.assignments);
    this.cells.reclaimingJobs.add(job.jobId);
    const all = [...plan.victims, ...plan.stopping].map(({jobId}) => jobId);
    const reason = createReason('waiting-reclaim', {victims: all.join(', ')});
    this.decisions.waits.push({jobId: job.jobId, reason});
    if (plan.victims.length > 0) {
      plan.victims.forEach(victim => this.victims.add(victim));
      this.decisions.reclaims.push({
        forJob: job.jobId,
        victims: plan.victims.map(({jobId}) => jobId),
        reason: createReason('preempted-reclaim', {workspace: job.workspace}),
      });
    }
    return true;
  }

  private decideBorrowed(job: WaitingJob): void {
    const key = this.keyOf(job, 'borrowed');
    const place = this.failed.has(key)
      ? undefined
      : this.findBorrowedPlace(job);
    if (place) {
      this.place(job, place, false);
      return;
    }
    this.remember(job, key);
    this.explainWait(job);
  }

  /**
   * Checkpoints smaller borrowers in the kept place when the oldest large job
   * has waited for `ageingSeconds`.
   */
  private clearReservation(queue: readonly WaitingJob[]): void {
    const {reservation, rules} = this.cells;
    const job = queue.find(({jobId}) => jobId === reservation?.jobId);
    const waited = job ? (this.now - job.submittedAt) / 1000 : 0;
    const isStarted = job && this.cells.running.has(job.jobId);
    if (!reservation || !job || isStarted || waited < rules.ageingSeconds) {
      return;
    }
    const victims = listPreemptible(
      reservation,
      countRequiredAccelerators(job),
    ).filter(gang => !this.victims.has(gang));
    if (victims.length > 0) {
      this.decisions.reclaims.push({
        forJob: job.jobId,
        victims: victims.map(({jobId}) => jobId),
        reason: createReason('preempted-large', {reservedFor: job.jobId}),
      });
    }
  }

  private findBorrowedPlace(job: WaitingJob): Assignment[] | undefined {
    const isOpen = this.openTargets(job).isOpenElsewhere;
    return findBestFit(this.cells, job, this.borrowableRoom(job, isOpen));
  }

  private borrowableRoom(
    job: WaitingJob,
    isOpen: ReservationFilter['isOpenElsewhere'],
  ): ResourceView {
    const {guaranteedCells: homes, rules} = this.cells;
    return target => {
      if (!isUsable(job, target) || !isOpen(target)) {
        return undefined;
      }
      if (rules.borrowing) {
        return target.free;
      }
      const accelerators =
        target.free.accelerators & ~homes.getGuaranteedMask(target);
      return {...target.free, accelerators};
    };
  }

  private openTargets(job: WaitingJob): ReservationFilter {
    const {reservation, reclaimingJobs: reclaiming} = this.cells;
    const isReclaiming = reclaiming.has(job.jobId);
    // Capacity that was cleared for a job is not kept from it later.
    const kept = isReclaiming ? undefined : reservation;
    const elsewhere = createReservationPredicate(kept, job, this.endsAt(job));
    const home =
      reservation?.workspace === job.workspace ? elsewhere : () => true;
    return {isOpenInGuarantee: home, isOpenElsewhere: elsewhere};
  }

  /** Whether the reservation keeps a job from reclaiming in its own homes. */
  private isKeptFromHomes(job: WaitingJob): boolean {
    const {reservation, reclaimingJobs: reclaiming} = this.cells;
    return (
      reservation !== undefined &&
      !reclaiming.has(job.jobId) &&
      reservation.isWithinGuarantee &&
      reservation.workspace === job.workspace &&
      reservation.jobId !== job.jobId
    );
  }

  private endsAt(job: WaitingJob): number {
    const {workspace, kind, expectedSeconds} = job;
    const {estimates} = this.cells;
    const seconds = estimates.estimate(
      workspace,
      kind,
      expectedSeconds,
      UPPER_QUANTILE,
    );
    return this.now + seconds * 1000;
  }

  private place(
    job: WaitingJob,
    assignments: Assignment[],
    guaranteed: boolean,
  ): void {
    const gang = toRunningGang(job, assignments, guaranteed, this.now);
    this.cells.addGang(gang);
    this.trials.push(gang.jobId);
    const reason = this.explainPlacement(job, assignments, guaranteed);
    const {jobId} = job;
    this.decisions.placements.push({jobId, assignments, guaranteed, reason});
  }

  private explainPlacement(
    job: WaitingJob,
    assignments: Assignment[],
    guaranteed: boolean,
  ): Reason {
    const targets = describeTargets(assignments);
    const {reservation} = this.cells;
    if (guaranteed) {
      const {workspace} = job;
      return createReason('placed-guaranteed', {targets, workspace});
    }
    const isBackfill =
      reservation &&
      reservation.jobId !== job.jobId &&
      assignments.some(({target}) =>
        reservation.targets.has(this.cells.targets.get(target)!),
      );
    return isBackfill
      ? createReason('placed-backfill', {
          targets,
          reservedFor: reservation.jobId,
        })
      : createReason('placed-borrowed', {targets});
  }

  /** Keeps capacity that becomes free for a job whose victims are still stopping. */
  private hold(job: WaitingJob, assignments: Assignment[]): void {
    const gang = toRunningGang(job, assignments, true, this.now);
    gang.jobId = `hold/${job.jobId}`;
    this.cells.addGang(gang);
    this.trials.push(gang.jobId);
  }

  private explainWait(job: WaitingJob): void {
    const {reservation, rules} = this.cells;
    const {adjacency} = job.gang;
    const free = this.freeAt(adjacency);
    if (
      free < countRequiredAccelerators(job) ||
      reservation?.jobId === job.jobId
    ) {
      this.wait(job, 'waiting-capacity', {
        missing: describeGang(job),
        available: `${free} accelerators`,
      });
    } else if (!rules.borrowing) {
      const {workspace} = job;
      this.wait(job, 'waiting-guarantee', {workspace});
    } else if (reservation) {
      this.wait(job, 'waiting-reservation', {reservedFor: reservation.jobId});
    } else {
      this.wait(job, 'waiting-capacity', {
        missing: describeGang(job),
        available: `${free} accelerators in parts that are too small`,
      });
    }
  }

  private freeAt(level: WaitingJob['gang']['adjacency']): number {
    let free = this.largestFree.get(level);
    if (free === undefined) {
      free = this.cells.getMaxFreeAccelerators(level);
      this.largestFree.set(level, free);
    }
    return free;
  }

  private wait(
    {jobId}: WaitingJob,
    code: ReasonCode,
    details: Record<string, string | number>,
  ): void {
    this.decisions.waits.push({jobId, reason: createReason(code, details)});
  }

  private remember(job: WaitingJob, key: string): void {
    if (job.avoidTargets.length === 0) {
      this.failed.add(key);
    }
  }

  /** Equal for jobs that fail alike. */
  private keyOf(job: WaitingJob, phase: 'guaranteed' | 'borrowed'): string {
    const {tasks, perTask, adjacency} = job.gang;
    const {accelerators, processors, memoryMb} = perTask;
    const {reservation} = this.cells;
    const isReserved = reservation?.jobId === job.jobId;
    const isFree =
      !reservation ||
      (!reservation.isExclusive && this.endsAt(job) <= reservation.freeAt);
    return `${phase} ${job.workspace} ${tasks} ${accelerators} ${processors} ${memoryMb} ${adjacency} ${isReserved} ${isFree}`;
  }
}
