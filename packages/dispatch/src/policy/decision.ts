/**
 * The scheduling decision: which waiting units (gangs or single tasks) start
 * where, and which running units are stopped for them.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {isStepReady} from '@galenavalve/workload';
import type {DurationEstimator} from '../duration_estimator.js';
import {isProgressRateKnown, estimateRemainingTime} from '../progress_rate.js';
import {
  type Allocation,
  type ActiveJob,
  type ActiveUnit,
  isUnitWaiting,
  countMembers,
} from '../active_job.js';
import {type DispatchSettings, MAX_LISTING_AGE_MS} from '../settings.js';
import type {TargetState} from '../target_state.js';
import {findGuaranteedJobs} from './guarantee.js';
import {findUnresponsiveDomains} from './unresponsive_domains.js';
import {planReclaim} from './reclaim.js';
import {reserveTargets} from './reservation.js';
import {
  type Placement,
  findPlacementAnywhere,
  findLocalPlacement,
} from './placement_search.js';
import {
  type PlannedStart,
  isFeasibleWithLocality,
  createPlacementRequest,
  createShapeKey,
} from './placement_request.js';
import {
  type PlacementRequest,
  type CandidateTarget,
  deductCapacity,
} from './candidate_target.js';
import {computeStopCost} from './stop_cost.js';
import {UrgencyTier, type Urgency, rateUrgency} from './urgency.js';

/**
 * Limit of reservations per pass; more would leave too little capacity for
 * backfill.
 */
const MAX_RESERVATIONS = 2;

/** Limit of waiting units per pass; bounds its duration when thousands wait. */
const MAX_CONSIDERED_UNITS = 1500;

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
 * Share of its slack, the time until its latest start, that an urgent job waits
 * for other runs to end, since their estimates are rough. The wait never exceeds
 * the time of a stop, which is the alternative.
 */
const MAX_SLACK_WAIT_SHARE = 0.25;

/**
 * Time after a failure within which a unit is placed only on targets without
 * failures for which they may be at fault.
 */
const MAX_TRUST_WAIT_MS: Milliseconds = 2000;

/**
 * A guaranteed job stops waiting for other runs to end this long before it must
 * have started by `DispatchSettings.reclaimTime`.
 */
const RECLAIM_MARGIN_MS = 1200;

/** Input of a scheduling pass. */
export interface SchedulingSnapshot {
  jobs: readonly ActiveJob[];
  targets: readonly TargetState[];
  estimator: DurationEstimator;
  /** Accelerators guaranteed to the urgent jobs of each workspace. */
  guarantees: ReadonlyMap<string, number>;
  /** Failure domains that receive no new work. */
  evacuated: ReadonlySet<string>;
  settings: DispatchSettings;
  /**
   * Whether the listings of the targets are known. Shortly after a takeover they
   * are not, and most capacity that is free is not seen.
   */
  areTargetsListed: boolean;
  /**
   * Returns the targets that the advisor allows for a unit; undefined if the
   * unit needs no advice.
   */
  findAllowedTargets: (unit: ActiveUnit) => ReadonlySet<string> | undefined;
}

/** Result of a scheduling pass. */
export interface Decision {
  starts: PlannedStart[];
  /**
   * Units to stop, each with the id of the urgent job (`for`) that needs its
   * capacity.
   */
  stops: Array<{unit: ActiveUnit; for: string}>;
  /** Reasons why urgent units do not start now. */
  waits: Array<{unit: ActiveUnit; reason: string}>;
  /** Targets to keep free of other work until the unit fits. */
  targetClaims: Array<{
    unit: ActiveUnit;
    targets: ReadonlySet<TargetState>;
    until: Instant;
  }>;
}

/** A unit that could start now, with its position in the order of service. */
export interface WaitingUnit {
  unit: ActiveUnit;
  urgency: Urgency;
}

/** Decides which units start now. Modifies only its own working copies. */
export function decide(snapshot: SchedulingSnapshot, now: Instant): Decision {
  return new SchedulingPass(snapshot, now).run();
}

/** Returns the targets that may receive new runs, with their free capacity. */
export function createCandidates(
  {evacuated, targets}: SchedulingSnapshot,
  now: Instant,
): CandidateTarget[] {
  const unresponsiveDomains = findUnresponsiveDomains(targets, now);
  const candidates: CandidateTarget[] = [];
  for (const target of targets) {
    const {info} = target;
    const isSchedulable = target.isSchedulable(now, MAX_LISTING_AGE_MS);
    const isExcluded =
      evacuated.has(info.domain) || unresponsiveDomains.has(info.domain);
    if (!isSchedulable || isExcluded) {
      continue;
    }
    candidates.push({
      target,
      free: target.computeFreeCapacity(),
      rack: info.rack,
      domain: info.domain,
      labels: info.labels,
      slowness: target.slowness,
      isDoubted: target.faults.isDoubted(now),
      reservedFrom: Infinity,
    });
  }
  return candidates;
}

/** Returns the waiting units whose step may start now, in the order of their jobs. */
export function listReadyUnits(
  {jobs, estimator}: SchedulingSnapshot,
  now: Instant,
): WaitingUnit[] {
  const ready: WaitingUnit[] = [];
  for (const job of jobs) {
    if (job.isCancelled || job.hasFailed) {
      continue;
    }
    let urgency: Urgency | undefined;
    for (const unit of job.units) {
      if (!isUnitWaiting(unit) || unit.retryAt > now) {
        continue;
      }
      if (isReady(unit)) {
        urgency ??= rateUrgency(job, estimator, now);
        ready.push({unit, urgency});
      }
    }
  }
  return ready;
}

function isReady(unit: ActiveUnit): boolean {
  const occurrence = unit.job.progress.occurrences.find(
    ({index}) => index === unit.occurrence,
  );
  return occurrence !== undefined && isStepReady(unit.step, occurrence);
}

class SchedulingPass {
  private readonly decision: Decision = {
    starts: [],
    stops: [],
    targetClaims: [],
    waits: [],
  };
  private readonly candidates: CandidateTarget[];
  private readonly guaranteedJobs: ReadonlySet<ActiveJob>;
  private readonly claimants = new Map<TargetState, ActiveUnit>();
  /**
   * Shapes that could not be placed in this pass; other units of the same shape
   * cannot be placed either.
   */
  private readonly unplaceableShapes = new Set<string>();
  private reservationCount = 0;

  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly now: Instant,
  ) {
    this.candidates = createCandidates(snapshot, now);
    this.guaranteedJobs = findGuaranteedJobs(
      snapshot.jobs,
      snapshot.guarantees,
    );
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
    for (const {unit, urgency} of this.listWaiting()) {
      this.consider(unit, urgency);
    }
    return this.decision;
  }

  private listWaiting(): WaitingUnit[] {
    const waiting = listReadyUnits(this.snapshot, this.now);
    waiting.sort(
      (a, b) =>
        a.urgency.tier - b.urgency.tier ||
        a.urgency.sortKey - b.urgency.sortKey,
    );
    return waiting.slice(0, MAX_CONSIDERED_UNITS);
  }

  private consider(unit: ActiveUnit, urgency: Urgency): void {
    const shapeKey = createShapeKey(unit);
    if (this.unplaceableShapes.has(shapeKey) && !this.hasTargetClaim(unit)) {
      return;
    }
    const request = createPlacementRequest(
      unit,
      this.decision.starts,
      this.snapshot.findAllowedTargets(unit),
    );
    const allCandidates = this.listCandidates(unit);
    const trusted = allCandidates.filter(({isDoubted}) => !isDoubted);
    const candidates = this.needsTrustedTargets(unit) ? trusted : allCandidates;
    const placement =
      this.place(unit, request, trusted, allCandidates) ??
      (candidates.length > trusted.length
        ? this.place(unit, request, candidates, allCandidates)
        : undefined);
    if (placement) {
      this.addStart(unit, request, placement);
      return;
    }
    this.unplaceableShapes.add(shapeKey);
    const isReclaimed =
      urgency.tier === UrgencyTier.URGENT &&
      (this.hasTargetClaim(unit) ||
        this.reclaim(unit, urgency, request, candidates));
    if (!isReclaimed && this.reservationCount < MAX_RESERVATIONS) {
      const estimateEnd = (allocation: Allocation) =>
        this.estimateEnd(allocation);
      if (reserveTargets(request, candidates, estimateEnd, this.now)) {
        this.reservationCount++;
      }
    }
  }

  /** Whether a unit that has failed waits for targets without failures rather than use up its attempts. */
  private needsTrustedTargets({progress, lastFailureAt}: ActiveUnit): boolean {
    const sinceFailure = this.now - lastFailureAt;
    return progress.failureCount > 0 && sinceFailure < MAX_TRUST_WAIT_MS;
  }

  /** Places a unit on `candidates`, which may be a part of `allCandidates`. */
  private place(
    unit: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    allCandidates: readonly CandidateTarget[],
  ): Placement | undefined {
    const expectedDuration = this.estimateDuration(unit);
    const localPlacement = findLocalPlacement(
      request,
      candidates,
      this.now + expectedDuration,
    );
    const hasLocalityPreference = request.isRackSensitive || request.dataRack;
    if (localPlacement || !hasLocalityPreference) {
      return localPlacement;
    }
    // With a locality penalty the run takes longer, so it is accepted only if
    // no rack can ever hold the unit, or to keep a guarantee.
    const waited = this.now - unit.job.acknowledgedAt;
    const isGuaranteed = this.guaranteedJobs.has(unit.job);
    const isOverdue = isGuaranteed && waited > this.computeLocalWaitLimit();
    if (isOverdue || !isFeasibleWithLocality(request, allCandidates)) {
      const penalizedDuration =
        expectedDuration * this.snapshot.settings.rackFactor;
      return findPlacementAnywhere(
        request,
        candidates,
        this.now + penalizedDuration,
      );
    }
    return undefined;
  }

  /**
   * Returns how long a guaranteed job waits for a local placement before it
   * accepts the locality penalty.
   */
  private computeLocalWaitLimit(): Milliseconds {
    const {reclaimTime, stopTime} = this.snapshot.settings;
    return Math.max(0, reclaimTime - 2 * stopTime - RECLAIM_MARGIN_MS / 2);
  }

  private addStart(
    unit: ActiveUnit,
    request: PlacementRequest,
    placement: Placement,
  ): void {
    for (const {candidate, members} of placement.shares) {
      deductCapacity(candidate, request.demand, members);
    }
    this.decision.starts.push({unit, placement});
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
  ): boolean {
    const isGuaranteed = this.guaranteedJobs.has(unit.job);
    if (
      !this.snapshot.areTargetsListed &&
      !this.isReclaimForced(unit, isGuaranteed)
    ) {
      const reason = 'some targets have not listed their runs yet';
      this.decision.waits.push({unit, reason});
      return false;
    }
    const startDeadline = this.computeStartDeadline(
      unit,
      urgency,
      isGuaranteed,
    );
    const estimateStopCost = this.createStopCostEstimator(unit);
    // A unit waits at most once for runs to end by themselves; runs that did
    // not end as expected are not waited for again.
    const hasWaited = unit.targetClaim !== undefined;
    const endsInTime = (allocation: Allocation) =>
      !hasWaited &&
      isProgressRateKnown(allocation) &&
      this.estimateEnd(allocation) <= startDeadline;
    let plan = planReclaim(request, candidates, estimateStopCost, endsInTime);
    const waited = this.now - unit.job.acknowledgedAt;
    if (!plan && isGuaranteed && waited > this.computeLocalWaitLimit() / 2) {
      const relaxedRequest = {...request, isRackSensitive: false};
      plan = planReclaim(
        relaxedRequest,
        candidates,
        estimateStopCost,
        endsInTime,
      );
    }
    const isOnTime = this.now <= urgency.latestStart;
    const costRatio = isOnTime ? ON_TIME_COST_RATIO : LATE_COST_RATIO;
    const isForced = this.isReclaimForced(unit, isGuaranteed);
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
    const {stopTime} = this.snapshot.settings;
    const until =
      Math.max(startDeadline, this.now + stopTime) + TARGET_CLAIM_MARGIN_MS;
    this.decision.targetClaims.push({unit, targets, until});
    return true;
  }

  /**
   * Whether runs must be stopped now at any cost, since a guaranteed job could
   * otherwise not start within `DispatchSettings.reclaimTime`.
   */
  private isReclaimForced(unit: ActiveUnit, isGuaranteed: boolean): boolean {
    const {reclaimTime, stopTime} = this.snapshot.settings;
    const waited = this.now - unit.job.acknowledgedAt;
    return isGuaranteed && waited >= reclaimTime - RECLAIM_MARGIN_MS - stopTime;
  }

  /**
   * Returns the latest time until which the unit waits for other runs to end.
   */
  private computeStartDeadline(
    unit: ActiveUnit,
    urgency: Urgency,
    isGuaranteed: boolean,
  ): Instant {
    const {reclaimTime, stopTime} = this.snapshot.settings;
    const slack = Math.max(0, urgency.latestStart - this.now);
    const preferredDeadline =
      this.now + Math.min(slack * MAX_SLACK_WAIT_SHARE, stopTime);
    const guaranteeDeadline =
      unit.job.acknowledgedAt + reclaimTime - RECLAIM_MARGIN_MS;
    return isGuaranteed
      ? Math.min(preferredDeadline, guaranteeDeadline)
      : preferredDeadline;
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

  private listCandidates(unit: ActiveUnit): readonly CandidateTarget[] {
    const {pool} = unit.job.accepted.terms;
    return this.candidates.filter(({target}) => {
      const claimant = this.claimants.get(target);
      const isUnclaimed = claimant === undefined || claimant === unit;
      return isUnclaimed && target.info.pool === pool;
    });
  }

  private estimateDuration(unit: ActiveUnit): Milliseconds {
    const {estimator} = this.snapshot;
    return estimator.estimateDuration(
      unit.job.accepted.queue,
      unit.step.estimateMs,
    );
  }

  private estimateEnd(allocation: Allocation): Instant {
    const {unit} = allocation;
    if (!unit) {
      return this.now + this.snapshot.settings.stopTime;
    }
    if (unit.phase === 'stopping') {
      return this.now + this.snapshot.settings.stopTime;
    }
    const {estimator, settings} = this.snapshot;
    const {rackFactor} = settings;
    return (
      this.now +
      estimateRemainingTime(allocation, unit, estimator, rackFactor, this.now)
    );
  }
}

/** Returns the estimated work of a unit in core-seconds. */
function computeWork(unit: ActiveUnit): number {
  const {cpu, accelerators} = unit.step.demand;
  const cores = cpu / 1000 + accelerators * 8;
  return (cores * countMembers(unit) * unit.step.estimateMs) / 1000;
}
