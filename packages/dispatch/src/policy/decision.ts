/**
 * The scheduling decision: which waiting units (gangs or single tasks) start
 * where, and which running units are stopped for them.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {hasRepeatedCrashes} from '../crash_attribution.js';
import {isProgressRateKnown} from '../progress_rate.js';
import {
  type Allocation,
  type ActiveJob,
  type ActiveUnit,
  isUnitWaiting,
  countMembers,
} from '../active_job.js';
import type {TargetState} from '../target_state.js';
import {createCandidates} from './create_candidates.js';
import {findGuaranteedJobs} from './guarantee.js';
import {type WaitingUnit, listReadyUnits} from './ready_units.js';
import {
  closeTargets,
  listIsolatedCandidates,
  listIsolatedMembers,
  mayIsolate,
  mayWaitForIsolation,
} from './isolation.js';
import type {Obstacle} from '../obstacle.js';
import {IdleWaits} from './idle_waits.js';
import {planReclaim} from './reclaim.js';
import {
  computeLocalWaitLimit,
  computeStartDeadline,
  computeWait,
  isReclaimForced,
} from './reclaim_limits.js';
import {reserveTargets} from './reservation.js';
import type {Placement} from './placement_search.js';
import {createPlacementRequest, createShapeKey} from './placement_request.js';
import {
  type PlacementRequest,
  type CandidateTarget,
  deductCapacity,
} from './candidate_target.js';
import {estimateAwaitedEnd, estimateRunEnd} from './run_ends.js';
import type {Decision, SchedulingSnapshot} from './scheduling_snapshot.js';
import {computeStopCost} from './stop_cost.js';
import {
  type LocalWait,
  UnitPlacement,
  withoutLocality,
} from './unit_placement.js';
import {UrgencyTier, type Urgency, rateUrgency} from './urgency.js';

/**
 * Limit of reservations per pass; more would leave too little capacity for
 * backfill.
 */
const MAX_RESERVATIONS = 2;

/** Limit of units that a pass tries to place; bounds its duration when thousands of different ones wait. */
const MAX_TRIES = 1200;

/**
 * Limit of further units, those that have not been tried for the longest time, so
 * that each is tried at times however many are before it.
 */
const MAX_LATER_TRIES = 300;

/**
 * Maximum stop cost that an urgent job beyond its guarantee may impose on
 * others if it then ends on time, in core-seconds per core-second of its own
 * work.
 */
const ON_TIME_COST_RATIO = 4;

/** The same limit if the job ends late in any case. */
const LATE_COST_RATIO = 0.5;

/**
 * Time that a target claim, which keeps targets free for one unit, outlasts the
 * expected end of the runs it waits for.
 * After that, capacity is freed on other targets as well.
 */
const TARGET_CLAIM_MARGIN_MS = 250;

/**
 * Time after a failure within which a unit is placed only on targets without
 * failures for which they may be at fault.
 */
const MAX_TRUST_WAIT_MS: Milliseconds = 2000;

/** Decides which units start now. Modifies only its own working copies. */
export function decide(snapshot: SchedulingSnapshot, now: Instant): Decision {
  return new SchedulingPass(snapshot, now).run();
}

class SchedulingPass {
  private readonly decision: Decision = {
    starts: [],
    stops: [],
    targetClaims: [],
    waits: [],
    obstacles: [],
  };
  private readonly candidates: CandidateTarget[];
  private readonly hasDoubted: boolean;
  private readonly guaranteedJobs: ReadonlySet<ActiveJob>;
  private readonly claimants = new Map<TargetState, ActiveUnit>();
  /**
   * Shapes that could not be placed in this pass; other units of the same shape
   * cannot be placed either.
   */
  private readonly unplaceableShapes = new Set<string>();
  private readonly placement: UnitPlacement;
  private readonly idleWaits: IdleWaits;
  private reservationCount = 0;

  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly now: Instant,
  ) {
    this.candidates = createCandidates(snapshot, now);
    this.hasDoubted = this.candidates.some(({isDoubted}) => isDoubted);
    this.guaranteedJobs = findGuaranteedJobs(
      snapshot.jobs,
      snapshot.guarantees,
    );
    this.idleWaits = new IdleWaits(snapshot.targets, now);
    this.placement = new UnitPlacement(snapshot, this.guaranteedJobs, now);
    for (const unit of snapshot.jobs.flatMap(({units}) => units)) {
      if (
        unit.targetClaim &&
        isUnitWaiting(unit) &&
        unit.targetClaim.until > now
      ) {
        unit.targetClaim.targets.forEach(target =>
          this.claimants.set(target, unit),
        );
      }
    }
  }

  run(): Decision {
    const untried = this.tryAll(this.listWaiting(), MAX_TRIES);
    untried.sort(
      (a, b) => (a.unit.triedAt ?? -Infinity) - (b.unit.triedAt ?? -Infinity),
    );
    for (const {unit} of this.tryAll(untried, MAX_LATER_TRIES)) {
      this.addObstacle(unit, 'not-considered');
    }
    return this.decision;
  }

  /** Tries to place units in order, and returns those beyond the limit. */
  private tryAll(
    waiting: readonly WaitingUnit[],
    maxTries: number,
  ): WaitingUnit[] {
    const untried: WaitingUnit[] = [];
    let tries = 0;
    for (const item of waiting) {
      const shapeKey = this.createShapeKey(item.unit);
      if (
        this.unplaceableShapes.has(shapeKey) &&
        !this.hasTargetClaim(item.unit)
      ) {
        this.addObstacle(item.unit, 'same-shape');
      } else if (tries < maxTries) {
        tries++;
        this.consider(item.unit, item.urgency, shapeKey);
      } else {
        untried.push(item);
      }
    }
    return untried;
  }

  private listWaiting(): WaitingUnit[] {
    const waiting = listReadyUnits(this.snapshot, this.now);
    return waiting.sort(
      (a, b) =>
        a.urgency.tier - b.urgency.tier ||
        a.urgency.sortKey - b.urgency.sortKey,
    );
  }

  private createShapeKey(unit: ActiveUnit): string {
    return [
      createShapeKey(unit),
      this.idleWaits.isOver(unit),
      this.idleWaits.isLocalWaitOver(unit),
      this.guaranteedJobs.has(unit.job),
      this.placement.isLocalWaitOver(unit),
      hasRepeatedCrashes(unit),
      this.needsTrustedTargets(unit),
    ].join('|');
  }

  private consider(unit: ActiveUnit, urgency: Urgency, shapeKey: string): void {
    const isWaitOver = this.idleWaits.isOver(unit);
    const request = createPlacementRequest(
      unit,
      this.decision.starts,
      this.snapshot.findAllowedTargets(unit),
    );
    const unclaimed = this.listUnclaimed(unit);
    const allCandidates = unclaimed.filter(({isAvoided}) => !isAvoided);
    const openCandidates = allCandidates.filter(({isClosed}) => !isClosed);
    const isIsolated =
      listIsolatedMembers(unit).length > 0 && mayIsolate(unit, allCandidates);
    if (isIsolated) {
      const isolated = listIsolatedCandidates(unit, openCandidates);
      const placement = this.placement.place(
        unit,
        request,
        isolated,
        allCandidates,
        this.chooseLocalWait(unit, request, allCandidates),
      );
      if (placement) {
        this.addStart(unit, request, placement, isIsolated);
        return;
      }
      if (mayWaitForIsolation(unit, this.now) && !isWaitOver) {
        this.addObstacle(unit, 'isolation');
        return;
      }
    }
    const trusted = this.listTrusted(openCandidates);
    const candidates = this.needsTrustedTargets(unit)
      ? trusted
      : openCandidates;
    const place = (localWait: LocalWait) =>
      this.placement.place(unit, request, trusted, allCandidates, localWait) ??
      (candidates.length > trusted.length
        ? this.placement.place(
            unit,
            request,
            candidates,
            allCandidates,
            localWait,
          )
        : undefined);
    const isUrgent = urgency.tier === UrgencyTier.URGENT;
    const placement =
      place(
        isUrgent
          ? 'while-feasible'
          : this.chooseLocalWait(unit, request, allCandidates),
      ) ??
      (isWaitOver && !this.needsTrustedTargets(unit)
        ? this.placeAtOnce(unit, request, unclaimed)
        : undefined);
    if (placement) {
      this.addStart(unit, request, placement, isIsolated);
      return;
    }
    const isReclaimed =
      isUrgent &&
      !hasRepeatedCrashes(unit) &&
      (this.hasTargetClaim(unit) ||
        this.reclaim(unit, urgency, request, candidates, allCandidates));
    const farPlacement =
      isUrgent && !isReclaimed
        ? place(this.chooseLocalWait(unit, request, allCandidates))
        : undefined;
    if (farPlacement) {
      this.addStart(unit, request, farPlacement, isIsolated);
      return;
    }
    this.addObstacle(unit, this.findObstacle(unit, request));
    if (!isReclaimed) {
      this.unplaceableShapes.add(shapeKey);
    }
    if (!isReclaimed && this.reservationCount < MAX_RESERVATIONS) {
      this.reserve(unit, request, candidates, allCandidates);
    }
  }

  /**
   * Places a unit where it prefers not to be, on targets that keep others out
   * only if need be. It waits if there is no room for it twice over; a wait for
   * capacity has no bound.
   */
  private placeAtOnce(
    unit: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
  ): Placement | undefined {
    const anyTarget = {...request, avoidedTargets: new Set<string>()};
    if (!this.placement.fitsTwice(anyTarget, candidates)) {
      return undefined;
    }
    const isFar = this.idleWaits.isLocalWaitOver(unit);
    const open = candidates.filter(({isClosed}) => !isClosed);
    const preferred = open.filter(({isAvoided}) => !isAvoided);
    return (
      this.placement.placeAtOnce(request, preferred, isFar) ??
      this.placement.placeAtOnce(anyTarget, open, isFar) ??
      this.placement.placeAtOnce(anyTarget, candidates, isFar)
    );
  }

  /**
   * A longer run takes capacity from others, so it replaces a wait only while
   * most of the pool is free and the unit fits twice over.
   */
  private chooseLocalWait(
    {job}: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
  ): LocalWait {
    return this.idleWaits.isMostlyFree(job.accepted.terms.pool) &&
      this.placement.fitsTwice(request, candidates)
      ? 'while-useful'
      : 'while-feasible';
  }

  /** Keeps targets for a unit from the time on from which it is expected to fit there. */
  private reserve(
    unit: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    allCandidates: readonly CandidateTarget[],
  ): void {
    const acceptsPenalty = this.placement.acceptsPenalty(
      unit,
      request,
      allCandidates,
      this.chooseLocalWait(unit, request, allCandidates),
    );
    const isReserved = reserveTargets(
      acceptsPenalty ? withoutLocality(request) : request,
      candidates,
      allocation => estimateAwaitedEnd(allocation, this.snapshot, this.now),
      this.now,
    );
    if (isReserved) {
      this.reservationCount++;
    }
  }

  /** Returns the candidates without failures for which they may be at fault. */
  private listTrusted(
    candidates: readonly CandidateTarget[],
  ): readonly CandidateTarget[] {
    return this.hasDoubted
      ? candidates.filter(({isDoubted}) => !isDoubted)
      : candidates;
  }

  /** Whether a unit that has failed waits for targets without failures rather than use up its attempts. */
  private needsTrustedTargets({progress, lastFailureAt}: ActiveUnit): boolean {
    const sinceFailure = this.now - lastFailureAt;
    return progress.failureCount > 0 && sinceFailure < MAX_TRUST_WAIT_MS;
  }

  private addObstacle(unit: ActiveUnit, obstacle: Obstacle): void {
    this.decision.obstacles.push({unit, obstacle});
  }

  private findObstacle(
    unit: ActiveUnit,
    {isRackSensitive, dataRack}: PlacementRequest,
  ): Obstacle {
    if (this.hasDoubted && this.needsTrustedTargets(unit)) {
      return 'doubted-targets';
    }
    return isRackSensitive || dataRack !== undefined ? 'locality' : 'capacity';
  }

  private addStart(
    unit: ActiveUnit,
    request: PlacementRequest,
    placement: Placement,
    isIsolated: boolean,
  ): void {
    const {demand} = request;
    const {hasLocalityPenalty} = placement;
    const {rackFactor} = this.snapshot.settings;
    const duration = unit.step.isLongRunning
      ? Infinity
      : this.placement.estimateDuration(unit);
    const endsAt = this.now + duration * (hasLocalityPenalty ? rackFactor : 1);
    for (const {candidate, members} of placement.shares) {
      deductCapacity(candidate, demand, members);
      for (let member = 0; member < members; member++) {
        candidate.plannedRuns.push({demand, endsAt});
      }
    }
    if (isIsolated) {
      closeTargets(placement, listIsolatedMembers(unit));
    }
    this.idleWaits.onStart(unit);
    this.decision.starts.push({unit, placement, isIsolated});
  }

  private hasTargetClaim(unit: ActiveUnit): boolean {
    return unit.targetClaim !== undefined && unit.targetClaim.until > this.now;
  }

  /**
   * Chooses units to stop or to wait for so that an urgent unit gets capacity,
   * and claims their targets. Returns whether it did.
   */
  private reclaim(
    unit: ActiveUnit,
    urgency: Urgency,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    allCandidates: readonly CandidateTarget[],
  ): boolean {
    const isGuaranteed = this.guaranteedJobs.has(unit.job);
    const {settings, areTargetsListed} = this.snapshot;
    const isForced =
      isGuaranteed && isReclaimForced(unit.job, settings, this.now);
    if (!areTargetsListed && !isForced) {
      const reason = 'some targets have not listed their runs yet';
      this.decision.waits.push({unit, reason});
      return false;
    }
    const startDeadline = computeStartDeadline(
      unit.job,
      urgency,
      isGuaranteed,
      settings,
      this.now,
    );
    const estimateStopCost = this.createStopCostEstimator(unit);
    // A unit waits at most once for runs to end by themselves; runs that did
    // not end as expected are not waited for again.
    const hasWaited = unit.targetClaim !== undefined;
    const endsInTime = (allocation: Allocation) =>
      !hasWaited &&
      isProgressRateKnown(allocation) &&
      estimateRunEnd(allocation, this.snapshot, this.now) <= startDeadline;
    let plan = planReclaim(request, candidates, estimateStopCost, endsInTime);
    const waited = computeWait(unit.job, this.now);
    const mayRunFar =
      (isGuaranteed && waited > computeLocalWaitLimit(settings) / 2) ||
      this.placement.acceptsPenalty(
        unit,
        request,
        allCandidates,
        'while-feasible',
      );
    if (!plan && mayRunFar) {
      plan = planReclaim(
        withoutLocality(request),
        candidates,
        estimateStopCost,
        endsInTime,
      );
    }
    const isOnTime = this.now <= urgency.latestStart;
    const costRatio = isOnTime ? ON_TIME_COST_RATIO : LATE_COST_RATIO;
    const costLimit = isForced ? Infinity : costRatio * computeWork(unit);
    if (!plan || plan.cost > costLimit) {
      const reason = plan
        ? `freeing capacity would cost ${Math.round(plan.cost)} core-seconds, more than the limit of ${Math.round(costLimit)}`
        : 'no units can be stopped to free enough capacity';
      this.decision.waits.push({unit, reason});
      return false;
    }
    const victims = plan.victims.length;
    const reason = `capacity is being freed on ${plan.candidates.length} targets: ${victims} units are stopped, other runs end by themselves`;
    this.decision.waits.push({unit, reason});
    for (const victim of plan.victims) {
      this.decision.stops.push({unit: victim, for: unit.job.id});
    }
    const targets = new Set(plan.candidates.map(({target}) => target));
    targets.forEach(target => this.claimants.set(target, unit));
    const {stopTime} = settings;
    const until =
      Math.max(startDeadline, this.now + stopTime) + TARGET_CLAIM_MARGIN_MS;
    this.decision.targetClaims.push({unit, targets, until});
    return true;
  }

  private createStopCostEstimator(
    claimant: ActiveUnit,
  ): (victim: ActiveUnit) => number {
    const {settings, estimator} = this.snapshot;
    const alreadyStopped = new Set(this.decision.stops.map(({unit}) => unit));
    const costs = new Map<ActiveUnit, number>();
    return victim => {
      let cost = costs.get(victim);
      if (cost === undefined) {
        const urgency = rateUrgency(victim.job, estimator, this.now);
        cost = alreadyStopped.has(victim)
          ? Infinity
          : computeStopCost(victim, claimant.job, urgency, settings, this.now);
        costs.set(victim, cost);
      }
      return cost;
    };
  }

  /** Returns the targets of the unit's pool that are not kept for another unit. */
  private listUnclaimed(unit: ActiveUnit): readonly CandidateTarget[] {
    const {pool} = unit.job.accepted.terms;
    return this.candidates.filter(({target}) => {
      const claimant = this.claimants.get(target);
      const isUnclaimed = claimant === undefined || claimant === unit;
      return isUnclaimed && target.info.pool === pool;
    });
  }
}

/** Returns the estimated work of a unit in core-seconds. */
function computeWork(unit: ActiveUnit): number {
  const {cpu, accelerators} = unit.step.demand;
  const cores = cpu / 1000 + accelerators * 8;
  return (cores * countMembers(unit) * unit.step.estimateMs) / 1000;
}
