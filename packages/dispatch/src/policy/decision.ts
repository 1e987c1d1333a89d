/** One pass over everything that waits: who starts where, and who is stopped for it. */
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
import {findSilentDomains} from './silent_domains.js';
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

/** Most units for which room is kept in one pass; more would leave too little to fill the gaps with. */
const MAX_RESERVATIONS = 2;

/** Most waiting units that one pass looks at; bounds its time when thousands wait. */
const MAX_CONSIDERED_UNITS = 1500;

/** What an urgent job beyond its guarantee may cost others, in core-seconds for each of its own, if it ends on time by it. */
const ON_TIME_COST_RATIO = 4;

/** The same if it is late anyway. */
const LATE_COST_RATIO = 0.5;

/** A claim on targets lasts this much longer than what it waits for, in milliseconds; then room is made elsewhere, too. */
const TARGET_CLAIM_MARGIN_MS = 100;

/** Share of its slack that an urgent job waits for others to end by themselves: their estimates are rough. A stop would take its time as well, so it never waits longer than that. */
const MAX_SLACK_WAIT_SHARE = 0.25;

/** A guaranteed job waits for runs to end by themselves until this much before its bound, in milliseconds. */
const RECLAIM_MARGIN_MS = 1200;

/** What a decision is made from. */
export interface SchedulingSnapshot {
  jobs: readonly ActiveJob[];
  targets: readonly TargetState[];
  estimator: DurationEstimator;
  /** Accelerators that belong to each workspace's urgent jobs. */
  guarantees: ReadonlyMap<string, number>;
  /** Failure domains that get no new work. */
  evacuated: ReadonlySet<string>;
  settings: DispatchSettings;
  /** Targets that the advisor allows for a unit; undefined where no advisor is needed. */
  findAllowedTargets: (unit: ActiveUnit) => ReadonlySet<string> | undefined;
}

/** What a pass decided. */
export interface Decision {
  starts: PlannedStart[];
  /** Units to stop for urgent work. */
  stops: Array<{unit: ActiveUnit; for: string}>;
  /** Why urgent units do not start now. */
  waits: Array<{unit: ActiveUnit; reason: string}>;
  /** Targets kept for units until there is room. */
  targetClaims: Array<{
    unit: ActiveUnit;
    rooms: ReadonlySet<TargetState>;
    until: Instant;
  }>;
}

interface WaitingUnit {
  unit: ActiveUnit;
  urgency: Urgency;
}

/** Decides who starts now. Changes nothing but its own working copies. */
export function decide(situation: SchedulingSnapshot, now: Instant): Decision {
  return new SchedulingPass(situation, now).run();
}

class SchedulingPass {
  private readonly decision: Decision = {
    starts: [],
    stops: [],
    targetClaims: [],
    waits: [],
  };
  private readonly spaces: CandidateTarget[];
  private readonly withinGuarantee: ReadonlySet<ActiveJob>;
  private readonly claims = new Map<TargetState, ActiveUnit>();
  /** Shapes that found no room in this pass: the same shape finds none either. */
  private readonly misfits = new Set<string>();
  private reservations = 0;

  constructor(
    private readonly situation: SchedulingSnapshot,
    private readonly now: Instant,
  ) {
    this.spaces = this.openSpaces();
    this.withinGuarantee = findGuaranteedJobs(
      situation.jobs,
      situation.guarantees,
    );
    for (const unit of situation.jobs.flatMap(({units}) => units)) {
      if (
        unit.targetClaim &&
        isUnitWaiting(unit) &&
        unit.targetClaim.until > now
      ) {
        unit.targetClaim.rooms.forEach(room => this.claims.set(room, unit));
      }
    }
  }

  run(): Decision {
    for (const {unit, urgency} of this.listWaiting()) {
      this.consider(unit, urgency);
    }
    return this.decision;
  }

  private openSpaces(): CandidateTarget[] {
    const {evacuated, targets: rooms} = this.situation;
    const silent = findSilentDomains(rooms, this.now);
    const spaces: CandidateTarget[] = [];
    for (const room of rooms) {
      const {info} = room;
      const isOpen = room.isSchedulable(this.now, MAX_LISTING_AGE_MS);
      const isBarred = evacuated.has(info.domain) || silent.has(info.domain);
      if (!isOpen || isBarred) {
        continue;
      }
      spaces.push({
        target: room,
        free: room.computeFreeCapacity(),
        rack: info.rack,
        domain: info.domain,
        labels: info.labels,
        slowness: room.slowness,
        reservedFrom: Infinity,
      });
    }
    return spaces;
  }

  private listWaiting(): WaitingUnit[] {
    const waiting: WaitingUnit[] = [];
    for (const job of this.situation.jobs) {
      if (job.isCancelled || job.hasFailed) {
        continue;
      }
      let urgency: Urgency | undefined;
      for (const unit of job.units) {
        if (!isUnitWaiting(unit) || unit.retryAt > this.now) {
          continue;
        }
        if (this.isReady(unit)) {
          urgency ??= rateUrgency(job, this.situation.estimator, this.now);
          waiting.push({unit, urgency});
        }
      }
    }
    waiting.sort(
      (a, b) =>
        a.urgency.tier - b.urgency.tier ||
        a.urgency.sortKey - b.urgency.sortKey,
    );
    return waiting.slice(0, MAX_CONSIDERED_UNITS);
  }

  private isReady(unit: ActiveUnit): boolean {
    const occurrence = unit.job.progress.occurrences.find(
      ({index}) => index === unit.occurrence,
    );
    return occurrence !== undefined && isStepReady(unit.step, occurrence);
  }

  private consider(unit: ActiveUnit, urgency: Urgency): void {
    const shape = createShapeKey(unit);
    if (this.misfits.has(shape) && !this.hasClaim(unit)) {
      return;
    }
    const seeker = createPlacementRequest(
      unit,
      this.decision.starts,
      this.situation.findAllowedTargets(unit),
    );
    const spaces = this.spacesOf(unit);
    const placement = this.place(unit, urgency, seeker, spaces);
    if (placement) {
      this.start(unit, seeker, placement);
      return;
    }
    this.misfits.add(shape);
    const isReclaimed =
      urgency.tier === UrgencyTier.URGENT &&
      (this.hasClaim(unit) || this.reclaim(unit, urgency, seeker, spaces));
    if (!isReclaimed && this.reservations < MAX_RESERVATIONS) {
      const expectEnd = (booking: Allocation) => this.expectEnd(booking);
      if (reserveTargets(seeker, spaces, expectEnd, this.now)) {
        this.reservations++;
      }
    }
  }

  private place(
    unit: ActiveUnit,
    urgency: Urgency,
    seeker: PlacementRequest,
    spaces: readonly CandidateTarget[],
  ): Placement | undefined {
    const duration = this.durationOf(unit);
    const near = findLocalPlacement(seeker, spaces, this.now + duration);
    const mindsDistance = seeker.isRackSensitive || seeker.dataRack;
    if (near || !mindsDistance) {
      return near;
    }
    // Far away it takes longer: only for want of any near place, or to keep a guarantee.
    const waited = this.now - unit.job.acceptedAt;
    const isForced = this.withinGuarantee.has(unit.job);
    const isOverdue = isForced && waited > this.reclaimPatience();
    if (isOverdue || !isFeasibleWithLocality(seeker, spaces)) {
      const far = duration * this.situation.settings.rackFactor;
      return findPlacementAnywhere(seeker, spaces, this.now + far);
    }
    return undefined;
  }

  /** Time that a guaranteed job may wait for a near place before any place must do. */
  private reclaimPatience(): Milliseconds {
    const {reclaimTime, stopTime} = this.situation.settings;
    return Math.max(0, reclaimTime - 2 * stopTime - RECLAIM_MARGIN_MS / 2);
  }

  private start(
    unit: ActiveUnit,
    seeker: PlacementRequest,
    placement: Placement,
  ): void {
    for (const {candidate: space, members} of placement.shares) {
      deductCapacity(space, seeker.demand, members);
    }
    this.decision.starts.push({unit, placement});
  }

  private hasClaim(unit: ActiveUnit): boolean {
    return unit.targetClaim !== undefined && unit.targetClaim.until > this.now;
  }

  /** Stops others for an urgent unit, or waits for some that end soon, and claims their targets. */
  private reclaim(
    unit: ActiveUnit,
    urgency: Urgency,
    seeker: PlacementRequest,
    spaces: readonly CandidateTarget[],
  ): boolean {
    const isForced = this.withinGuarantee.has(unit.job);
    const startBy = this.startBy(unit, urgency, isForced);
    const costOf = this.stopCosts(unit);
    // Runs that did not end as expected once are not waited for again.
    const hasWaited = unit.targetClaim !== undefined;
    const endsInTime = (booking: Allocation) =>
      !hasWaited &&
      isProgressRateKnown(booking) &&
      this.expectEnd(booking) <= startBy;
    let plan = planReclaim(seeker, spaces, costOf, endsInTime);
    const waited = this.now - unit.job.acceptedAt;
    if (!plan && isForced && waited > this.reclaimPatience() / 2) {
      const anywhere = {...seeker, isRackSensitive: false};
      plan = planReclaim(anywhere, spaces, costOf, endsInTime);
    }
    const isTimely = this.now <= urgency.latestStart;
    const ratio = isTimely ? ON_TIME_COST_RATIO : LATE_COST_RATIO;
    const limit = isForced ? Infinity : ratio * computeWork(unit);
    if (!plan || plan.cost > limit) {
      const reason = plan
        ? `making room would cost ${Math.round(plan.cost)} core-seconds, more than ${Math.round(limit)}`
        : 'no room can be made for it';
      this.decision.waits.push({unit, reason});
      return false;
    }
    const victims = plan.victims.length;
    const reason = `room on ${plan.candidates.length} targets: ${victims} units are stopped, others end by themselves`;
    this.decision.waits.push({unit, reason});
    for (const victim of plan.victims) {
      this.decision.stops.push({unit: victim, for: unit.job.id});
    }
    const rooms = new Set(plan.candidates.map(({target: room}) => room));
    rooms.forEach(room => this.claims.set(room, unit));
    const {stopTime} = this.situation.settings;
    const until =
      Math.max(startBy, this.now + stopTime) + TARGET_CLAIM_MARGIN_MS;
    this.decision.targetClaims.push({unit, rooms, until});
    return true;
  }

  /** Until when the unit can wait for others to end by themselves. */
  private startBy(
    unit: ActiveUnit,
    urgency: Urgency,
    isForced: boolean,
  ): Instant {
    const {reclaimTime, stopTime} = this.situation.settings;
    const slack = Math.max(0, urgency.latestStart - this.now);
    const wished = this.now + Math.min(slack * MAX_SLACK_WAIT_SHARE, stopTime);
    const bound = unit.job.acceptedAt + reclaimTime - RECLAIM_MARGIN_MS;
    return isForced ? Math.min(wished, bound) : wished;
  }

  private stopCosts(claimant: ActiveUnit): (victim: ActiveUnit) => number {
    const {settings, estimator: estimates} = this.situation;
    const stopping = new Set(this.decision.stops.map(({unit}) => unit));
    const known = new Map<ActiveUnit, number>();
    return victim => {
      let cost = known.get(victim);
      if (cost === undefined) {
        const urgency = rateUrgency(victim.job, estimates, this.now);
        cost = stopping.has(victim)
          ? Infinity
          : computeStopCost(victim, claimant.job, urgency, settings, this.now);
        known.set(victim, cost);
      }
      return cost;
    };
  }

  private spacesOf(unit: ActiveUnit): readonly CandidateTarget[] {
    const {pool} = unit.job.accepted.terms;
    return this.spaces.filter(({target: room}) => {
      const claimant = this.claims.get(room);
      const isFree = claimant === undefined || claimant === unit;
      return isFree && room.info.pool === pool;
    });
  }

  private durationOf(unit: ActiveUnit): Milliseconds {
    const {estimator: estimates} = this.situation;
    return estimates.estimateDuration(
      unit.job.accepted.queue,
      unit.step.estimateMs,
    );
  }

  private expectEnd(booking: Allocation): Instant {
    const {unit} = booking;
    if (!unit) {
      return this.now + this.situation.settings.stopTime;
    }
    if (unit.phase === 'stopping') {
      return this.now + this.situation.settings.stopTime;
    }
    const {estimator: estimates, settings} = this.situation;
    const {rackFactor} = settings;
    return (
      this.now +
      estimateRemainingTime(booking, unit, estimates, rackFactor, this.now)
    );
  }
}

/** Estimated work of a unit in core-seconds. */
function computeWork(unit: ActiveUnit): number {
  const {cpu, accelerators} = unit.step.demand;
  const cores = cpu / 1000 + accelerators * 8;
  return (cores * countMembers(unit) * unit.step.estimateMs) / 1000;
}
