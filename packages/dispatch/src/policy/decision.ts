/** One pass over everything that waits: who starts where, and who is stopped for it. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {isStepReady} from '@galenavalve/workload';
import type {Estimates} from '../estimates.js';
import {isPaceKnown, remainingTime} from '../pace.js';
import {
  type Booking,
  type JobRun,
  type UnitRun,
  isUnitWaiting,
  memberCount,
} from '../runs.js';
import {type DispatchSettings, LISTING_FRESHNESS} from '../settings.js';
import type {TargetRoom} from '../target_room.js';
import {findGuaranteed} from './guarantee.js';
import {findSilentDomains} from './silent_domains.js';
import {planReclaim} from './reclaim.js';
import {reserve} from './reservation.js';
import {type Placement, findAnywhere, findPlacement} from './search.js';
import {type Start, canEverFitNear, createSeeker, shapeOf} from './seeker.js';
import {type Seeker, type Space, take} from './space.js';
import {stopCost} from './stop_cost.js';
import {Tier, type Urgency, rateUrgency} from './urgency.js';

/** Most units for which room is kept in one pass; more would leave too little to fill the gaps with. */
const MAX_RESERVATIONS = 2;

/** Most waiting units that one pass looks at; bounds its time when thousands wait. */
const MAX_CONSIDERED = 1500;

/** What an urgent job beyond its guarantee may cost others, in core-seconds for each of its own, if it ends on time by it. */
const TIMELY_COST_RATIO = 4;

/** The same if it is late anyway. */
const LATE_COST_RATIO = 0.5;

/** A claim on targets lasts this much longer than what it waits for, in milliseconds; then room is made elsewhere, too. */
const CLAIM_MARGIN = 100;

/** Share of its slack that an urgent job waits for others to end by themselves: their estimates are rough. A stop would take its time as well, so it never waits longer than that. */
const WAIT_SHARE = 0.25;

/** A guaranteed job waits for runs to end by themselves until this much before its bound, in milliseconds. */
const RECLAIM_MARGIN = 1200;

/** What a decision is made from. */
export interface Situation {
  jobs: readonly JobRun[];
  rooms: readonly TargetRoom[];
  estimates: Estimates;
  /** Accelerators that belong to each workspace's urgent jobs. */
  guarantees: ReadonlyMap<string, number>;
  /** Failure domains that get no new work. */
  evacuated: ReadonlySet<string>;
  settings: DispatchSettings;
  /** Targets that the advisor allows for a unit; undefined where no advisor is needed. */
  allowedFor: (unit: UnitRun) => ReadonlySet<string> | undefined;
}

/** What a pass decided. */
export interface Decision {
  starts: Start[];
  /** Units to stop for urgent work. */
  stops: Array<{unit: UnitRun; for: string}>;
  /** Why urgent units do not start now. */
  waits: Array<{unit: UnitRun; reason: string}>;
  /** Targets kept for units until there is room. */
  claims: Array<{
    unit: UnitRun;
    rooms: ReadonlySet<TargetRoom>;
    until: Instant;
  }>;
}

interface Waiting {
  unit: UnitRun;
  urgency: Urgency;
}

/** Decides who starts now. Changes nothing but its own working copies. */
export function decide(situation: Situation, now: Instant): Decision {
  return new Pass(situation, now).run();
}

class Pass {
  private readonly decision: Decision = {
    starts: [],
    stops: [],
    claims: [],
    waits: [],
  };
  private readonly spaces: Space[];
  private readonly withinGuarantee: ReadonlySet<JobRun>;
  private readonly claims = new Map<TargetRoom, UnitRun>();
  /** Shapes that found no room in this pass: the same shape finds none either. */
  private readonly misfits = new Set<string>();
  private reservations = 0;

  constructor(
    private readonly situation: Situation,
    private readonly now: Instant,
  ) {
    this.spaces = this.openSpaces();
    this.withinGuarantee = findGuaranteed(situation.jobs, situation.guarantees);
    for (const unit of situation.jobs.flatMap(({units}) => units)) {
      if (unit.claim && isUnitWaiting(unit) && unit.claim.until > now) {
        unit.claim.rooms.forEach(room => this.claims.set(room, unit));
      }
    }
  }

  run(): Decision {
    for (const {unit, urgency} of this.listWaiting()) {
      this.consider(unit, urgency);
    }
    return this.decision;
  }

  private openSpaces(): Space[] {
    const {evacuated, rooms} = this.situation;
    const silent = findSilentDomains(rooms, this.now);
    const spaces: Space[] = [];
    for (const room of rooms) {
      const {info} = room;
      const isOpen = room.isOpen(this.now, LISTING_FRESHNESS);
      const isBarred = evacuated.has(info.domain) || silent.has(info.domain);
      if (!isOpen || isBarred) {
        continue;
      }
      spaces.push({
        room,
        free: room.free(),
        rack: info.rack,
        domain: info.domain,
        labels: info.labels,
        slowness: room.slowness,
        keptFrom: Infinity,
      });
    }
    return spaces;
  }

  private listWaiting(): Waiting[] {
    const waiting: Waiting[] = [];
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
          urgency ??= rateUrgency(job, this.situation.estimates, this.now);
          waiting.push({unit, urgency});
        }
      }
    }
    waiting.sort(
      (a, b) =>
        a.urgency.tier - b.urgency.tier || a.urgency.rank - b.urgency.rank,
    );
    return waiting.slice(0, MAX_CONSIDERED);
  }

  private isReady(unit: UnitRun): boolean {
    const occurrence = unit.job.progress.occurrences.find(
      ({index}) => index === unit.occurrence,
    );
    return occurrence !== undefined && isStepReady(unit.step, occurrence);
  }

  private consider(unit: UnitRun, urgency: Urgency): void {
    const shape = shapeOf(unit);
    if (this.misfits.has(shape) && !this.hasClaim(unit)) {
      return;
    }
    const seeker = createSeeker(
      unit,
      this.decision.starts,
      this.situation.allowedFor(unit),
    );
    const spaces = this.spacesOf(unit);
    const placement = this.place(unit, urgency, seeker, spaces);
    if (placement) {
      this.start(unit, seeker, placement);
      return;
    }
    this.misfits.add(shape);
    const isReclaimed =
      urgency.tier === Tier.Urgent &&
      (this.hasClaim(unit) || this.reclaim(unit, urgency, seeker, spaces));
    if (!isReclaimed && this.reservations < MAX_RESERVATIONS) {
      const expectEnd = (booking: Booking) => this.expectEnd(booking);
      if (reserve(seeker, spaces, expectEnd, this.now)) {
        this.reservations++;
      }
    }
  }

  private place(
    unit: UnitRun,
    urgency: Urgency,
    seeker: Seeker,
    spaces: readonly Space[],
  ): Placement | undefined {
    const duration = this.durationOf(unit);
    const near = findPlacement(seeker, spaces, this.now + duration);
    const mindsDistance = seeker.isRackSensitive || seeker.dataRack;
    if (near || !mindsDistance) {
      return near;
    }
    // Far away it takes longer: only for want of any near place, or to keep a guarantee.
    const waited = this.now - unit.job.acceptedAt;
    const isForced = this.withinGuarantee.has(unit.job);
    const isOverdue = isForced && waited > this.reclaimPatience();
    if (isOverdue || !canEverFitNear(seeker, spaces)) {
      const far = duration * this.situation.settings.rackFactor;
      return findAnywhere(seeker, spaces, this.now + far);
    }
    return undefined;
  }

  /** Time that a guaranteed job may wait for a near place before any place must do. */
  private reclaimPatience(): Milliseconds {
    const {reclaimTime, stopTime} = this.situation.settings;
    return Math.max(0, reclaimTime - 2 * stopTime - RECLAIM_MARGIN / 2);
  }

  private start(unit: UnitRun, seeker: Seeker, placement: Placement): void {
    for (const {space, members} of placement.shares) {
      take(space, seeker.demand, members);
    }
    this.decision.starts.push({unit, placement});
  }

  private hasClaim(unit: UnitRun): boolean {
    return unit.claim !== undefined && unit.claim.until > this.now;
  }

  /** Stops others for an urgent unit, or waits for some that end soon, and claims their targets. */
  private reclaim(
    unit: UnitRun,
    urgency: Urgency,
    seeker: Seeker,
    spaces: readonly Space[],
  ): boolean {
    const isForced = this.withinGuarantee.has(unit.job);
    const startBy = this.startBy(unit, urgency, isForced);
    const costOf = this.stopCosts(unit);
    // Runs that did not end as expected once are not waited for again.
    const hasWaited = unit.claim !== undefined;
    const endsInTime = (booking: Booking) =>
      !hasWaited && isPaceKnown(booking) && this.expectEnd(booking) <= startBy;
    let plan = planReclaim(seeker, spaces, costOf, endsInTime);
    const waited = this.now - unit.job.acceptedAt;
    if (!plan && isForced && waited > this.reclaimPatience() / 2) {
      const anywhere = {...seeker, isRackSensitive: false};
      plan = planReclaim(anywhere, spaces, costOf, endsInTime);
    }
    const isTimely = this.now <= urgency.latestStart;
    const ratio = isTimely ? TIMELY_COST_RATIO : LATE_COST_RATIO;
    const limit = isForced ? Infinity : ratio * workOf(unit);
    if (!plan || plan.cost > limit) {
      const reason = plan
        ? `making room would cost ${Math.round(plan.cost)} core-seconds, more than ${Math.round(limit)}`
        : 'no room can be made for it';
      this.decision.waits.push({unit, reason});
      return false;
    }
    const victims = plan.victims.length;
    const reason = `room on ${plan.spaces.length} targets: ${victims} units are stopped, others end by themselves`;
    this.decision.waits.push({unit, reason});
    for (const victim of plan.victims) {
      this.decision.stops.push({unit: victim, for: unit.job.id});
    }
    const rooms = new Set(plan.spaces.map(({room}) => room));
    rooms.forEach(room => this.claims.set(room, unit));
    const {stopTime} = this.situation.settings;
    const until = Math.max(startBy, this.now + stopTime) + CLAIM_MARGIN;
    this.decision.claims.push({unit, rooms, until});
    return true;
  }

  /** Until when the unit can wait for others to end by themselves. */
  private startBy(unit: UnitRun, urgency: Urgency, isForced: boolean): Instant {
    const {reclaimTime, stopTime} = this.situation.settings;
    const slack = Math.max(0, urgency.latestStart - this.now);
    const wished = this.now + Math.min(slack * WAIT_SHARE, stopTime);
    const bound = unit.job.acceptedAt + reclaimTime - RECLAIM_MARGIN;
    return isForced ? Math.min(wished, bound) : wished;
  }

  private stopCosts(claimant: UnitRun): (victim: UnitRun) => number {
    const {settings, estimates} = this.situation;
    const stopping = new Set(this.decision.stops.map(({unit}) => unit));
    const known = new Map<UnitRun, number>();
    return victim => {
      let cost = known.get(victim);
      if (cost === undefined) {
        const urgency = rateUrgency(victim.job, estimates, this.now);
        cost = stopping.has(victim)
          ? Infinity
          : stopCost(victim, claimant.job, urgency, settings, this.now);
        known.set(victim, cost);
      }
      return cost;
    };
  }

  private spacesOf(unit: UnitRun): readonly Space[] {
    const {pool} = unit.job.job.terms;
    return this.spaces.filter(({room}) => {
      const claimant = this.claims.get(room);
      const isFree = claimant === undefined || claimant === unit;
      return isFree && room.info.pool === pool;
    });
  }

  private durationOf(unit: UnitRun): Milliseconds {
    const {estimates} = this.situation;
    return estimates.expect(unit.job.job.queue, unit.step.estimateMs);
  }

  private expectEnd(booking: Booking): Instant {
    const {unit} = booking;
    if (!unit) {
      return this.now + this.situation.settings.stopTime;
    }
    if (unit.phase === 'stopping') {
      return this.now + this.situation.settings.stopTime;
    }
    const {estimates, settings} = this.situation;
    const {rackFactor} = settings;
    return (
      this.now + remainingTime(booking, unit, estimates, rackFactor, this.now)
    );
  }
}

/** Estimated work of a unit in core-seconds. */
function workOf(unit: UnitRun): number {
  const {cpu, accelerators} = unit.step.demand;
  const cores = cpu / 1000 + accelerators * 8;
  return (cores * memberCount(unit) * unit.step.estimateMs) / 1000;
}
