/**
 * One scheduling pass over the queue of a failure domain: work within
 * guarantees first, then borrowed work, which uses capacity outside the
 * guarantee of its workspace and can be reclaimed.
 */
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

/** Number of oldest large jobs that are tried for the reservation. */
const MAX_RESERVATION_CANDIDATES = 4;

/** Working state of one pass. */
export class DecisionPass {
  private readonly decisions: PassDecisions = {
    placements: [],
    reclaims: [],
    waits: [],
  };
  /**
   * Ids of tentative gangs: those that the pass has decided to start. They are
   * in the cells only during the pass, so that later jobs find their capacity
   * taken; the ledger does not have them yet.
   */
  private readonly tentativeGangs: string[] = [];
  /**
   * Keys of job shapes that do not fit; a job of the same shape needs no second
   * search, since capacity only shrinks during a pass.
   */
  private readonly failedShapes = new Set<string>();
  /** Gangs that this pass chose to stop for a reclaim. */
  private readonly victims = new Set<RunningGang>();
  private readonly maxFreeByLevel = new Map<string, number>();

  constructor(
    private readonly cells: Cells,
    private readonly now: number,
  ) {}

  /**
   * Decides for every job of the queue whether it starts, reclaims capacity or
   * waits. Gangs that the pass adds to the cells are removed at its end.
   */
  run(queue: readonly WaitingJob[]): PassDecisions {
    if (!this.cells.isInService) {
      queue.forEach(job =>
        this.addWait(job, 'waiting-domain', {domain: this.cells.domain}),
      );
      return this.decisions;
    }
    this.chooseReservation(queue);
    const order = orderQueue(this.cells, queue, this.now);
    const otherJobs: WaitingJob[] = [];
    for (const job of this.orderReclaimingFirst(order)) {
      if (!this.tryGuaranteed(job)) {
        otherJobs.push(job);
      }
    }
    otherJobs.forEach(job => this.decideBorrowed(job));
    this.preemptForReservation(queue);
    this.tentativeGangs.forEach(id => this.cells.removeGang(id));
    return this.decisions;
  }

  /**
   * Puts jobs whose victims are being stopped first, so that no other job takes
   * the freed capacity, and forgets those that are no longer queued.
   */
  private orderReclaimingFirst(order: readonly RankedJob[]): WaitingJob[] {
    const jobs = order.map(({job}) => job);
    const {reclaimingJobs} = this.cells;
    const isFirst = (job: WaitingJob) => reclaimingJobs.has(job.jobId);
    const first = jobs.filter(isFirst);
    reclaimingJobs.clear();
    first.forEach(({jobId}) => reclaimingJobs.add(jobId));
    return [...first, ...jobs.filter(job => !isFirst(job))];
  }

  /** Reserves targets for the oldest large job that schedulable targets can hold. */
  private chooseReservation(queue: readonly WaitingJob[]): void {
    const maxSubmittedAt = this.now - this.cells.rules.ageingSeconds * 1000;
    const large = queue
      .filter(
        job => isLarge(this.cells, job) && job.submittedAt <= maxSubmittedAt,
      )
      .sort((a, b) => a.submittedAt - b.submittedAt)
      .slice(0, MAX_RESERVATION_CANDIDATES);
    for (const job of large) {
      const reservation = planReservation(this.cells, job, this.now);
      if (reservation) {
        this.cells.reservation = reservation;
        return;
      }
    }
    this.cells.reservation = undefined;
  }

  /**
   * Starts a job within its guarantee, or reclaims capacity for it. Returns
   * false if neither is possible, or if a repeatable job can start at once on
   * borrowed capacity instead.
   */
  private tryGuaranteed(job: WaitingJob): boolean {
    const {unusedAccelerators, masksByTarget} =
      this.cells.guaranteedCells.getWorkspace(job.workspace);
    const key = this.createShapeKey(job, 'guaranteed');
    if (
      unusedAccelerators < countRequiredAccelerators(job) ||
      masksByTarget.size === 0 ||
      this.failedShapes.has(key)
    ) {
      return false;
    }
    const assignments = findGuaranteedPlace(
      this.cells,
      job,
      this.createReservationFilter(job),
    );
    if (assignments) {
      this.cells.reclaimingJobs.delete(job.jobId);
      this.addPlacement(job, assignments, true);
      return true;
    }
    if (job.repeatable && this.findBorrowedPlacement(job)) {
      // The job starts at once without stopping a gang, and can still reclaim later.
      return false;
    }
    if (this.isReclaimBlocked(job) || !this.tryReclaim(job)) {
      this.recordFailedShape(job, key);
      return false;
    }
    return true;
  }

  private tryReclaim(job: WaitingJob): boolean {
    const plan = planReclaim(this.cells, job, this.now, this.victims);
    if (!plan || (plan.victims.length === 0 && plan.stopping.length === 0)) {
      return false;
    }
    this.holdCapacity(job, plan.assignments);
    this.cells.reclaimingJobs.add(job.jobId);
    const stoppedIds = [...plan.victims, ...plan.stopping].map(
      ({jobId}) => jobId,
    );
    const reason = createReason('waiting-reclaim', {
      victims: stoppedIds.join(', '),
    });
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
    const key = this.createShapeKey(job, 'borrowed');
    const assignments = this.failedShapes.has(key)
      ? undefined
      : this.findBorrowedPlacement(job);
    if (assignments) {
      this.addPlacement(job, assignments, false);
      return;
    }
    this.recordFailedShape(job, key);
    this.explainWait(job);
  }

  /**
   * Preempts smaller checkpointable borrowers on the reserved targets once the
   * oldest large job has waited for `ageingSeconds`.
   */
  private preemptForReservation(queue: readonly WaitingJob[]): void {
    const {reservation, rules} = this.cells;
    const job = queue.find(({jobId}) => jobId === reservation?.jobId);
    const waitedSeconds = job ? (this.now - job.submittedAt) / 1000 : 0;
    const isStarted = job && this.cells.running.has(job.jobId);
    if (
      !reservation ||
      !job ||
      isStarted ||
      waitedSeconds < rules.ageingSeconds
    ) {
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

  private findBorrowedPlacement(job: WaitingJob): Assignment[] | undefined {
    const isOpen = this.createReservationFilter(job).isOpenElsewhere;
    return findBestFit(this.cells, job, this.createBorrowableView(job, isOpen));
  }

  private createBorrowableView(
    job: WaitingJob,
    isOpen: ReservationFilter['isOpenElsewhere'],
  ): ResourceView {
    const {guaranteedCells, rules} = this.cells;
    return target => {
      if (!isUsable(job, target) || !isOpen(target)) {
        return undefined;
      }
      if (rules.borrowing) {
        return target.free;
      }
      const accelerators =
        target.free.accelerators & ~guaranteedCells.getGuaranteedMask(target);
      return {...target.free, accelerators};
    };
  }

  private createReservationFilter(job: WaitingJob): ReservationFilter {
    const {reservation, reclaimingJobs} = this.cells;
    const isReclaiming = reclaimingJobs.has(job.jobId);
    // A later reservation does not block a job from the capacity that was
    // reclaimed for it.
    const applicable = isReclaiming ? undefined : reservation;
    const isOpenElsewhere = createReservationPredicate(
      applicable,
      job,
      this.estimateEndAt(job),
    );
    const isOpenInGuarantee =
      reservation?.workspace === job.workspace ? isOpenElsewhere : () => true;
    return {isOpenInGuarantee, isOpenElsewhere};
  }

  /**
   * Returns whether the reservation of another job of the same workspace, within
   * its guarantee, blocks a job from reclaiming.
   */
  private isReclaimBlocked(job: WaitingJob): boolean {
    const {reservation, reclaimingJobs} = this.cells;
    return (
      reservation !== undefined &&
      !reclaimingJobs.has(job.jobId) &&
      reservation.isWithinGuarantee &&
      reservation.workspace === job.workspace &&
      reservation.jobId !== job.jobId
    );
  }

  /**
   * Returns the wall-clock milliseconds at which a job would end, by the upper
   * estimate, if it started now.
   */
  private estimateEndAt(job: WaitingJob): number {
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

  private addPlacement(
    job: WaitingJob,
    assignments: Assignment[],
    guaranteed: boolean,
  ): void {
    const gang = toRunningGang(job, assignments, guaranteed, this.now);
    this.cells.addGang(gang);
    this.tentativeGangs.push(gang.jobId);
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

  /** Holds capacity during the pass for a job whose victims are still stopping. */
  private holdCapacity(job: WaitingJob, assignments: Assignment[]): void {
    const gang = toRunningGang(job, assignments, true, this.now);
    gang.jobId = `hold/${job.jobId}`;
    this.cells.addGang(gang);
    this.tentativeGangs.push(gang.jobId);
  }

  private explainWait(job: WaitingJob): void {
    const {reservation, rules} = this.cells;
    const {adjacency} = job.gang;
    const free = this.getMaxFree(adjacency);
    if (
      free < countRequiredAccelerators(job) ||
      reservation?.jobId === job.jobId
    ) {
      this.addWait(job, 'waiting-capacity', {
        missing: describeGang(job),
        available: `${free} accelerators`,
      });
    } else if (!rules.borrowing) {
      const {workspace} = job;
      this.addWait(job, 'waiting-guarantee', {workspace});
    } else if (reservation) {
      this.addWait(job, 'waiting-reservation', {
        reservedFor: reservation.jobId,
      });
    } else {
      this.addWait(job, 'waiting-capacity', {
        missing: describeGang(job),
        available: `${free} accelerators in blocks that are too small`,
      });
    }
  }

  private getMaxFree(level: WaitingJob['gang']['adjacency']): number {
    let free = this.maxFreeByLevel.get(level);
    if (free === undefined) {
      free = this.cells.getMaxFreeAccelerators(level);
      this.maxFreeByLevel.set(level, free);
    }
    return free;
  }

  private addWait(
    {jobId}: WaitingJob,
    code: ReasonCode,
    details: Record<string, string | number>,
  ): void {
    this.decisions.waits.push({jobId, reason: createReason(code, details)});
  }

  private recordFailedShape(job: WaitingJob, key: string): void {
    if (job.avoidTargets.length === 0) {
      this.failedShapes.add(key);
    }
  }

  /** Creates a key that is equal for jobs whose searches have the same result. */
  private createShapeKey(
    job: WaitingJob,
    phase: 'guaranteed' | 'borrowed',
  ): string {
    const {tasks, perTask, adjacency} = job.gang;
    const {accelerators, processors, memoryMb} = perTask;
    const {reservation} = this.cells;
    const isReserved = reservation?.jobId === job.jobId;
    const isUnrestricted =
      !reservation ||
      (!reservation.isExclusive &&
        this.estimateEndAt(job) <= reservation.freeAt);
    return `${phase} ${job.workspace} ${tasks} ${accelerators} ${processors} ${memoryMb} ${adjacency} ${isReserved} ${isUnrestricted}`;
  }
}
