/** One pass over everything that waits: who starts where, and who is stopped for it. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {isStepReady} from '@galenavalve/workload';
import type {Estimates} from '../estimates.js';
import {
  type Booking,
  type JobRun,
  type UnitRun,
  countedDemand,
  isUnitWaiting,
  memberCount,
} from '../runs.js';
import {type DispatchSettings, LISTING_FRESHNESS} from '../settings.js';
import type {TargetRoom} from '../target_room.js';
import {planReclaim} from './reclaim.js';
import {reserve} from './reservation.js';
import {type Placement, findAnywhere, findPlacement} from './search.js';
import {type Seeker, type Space, take} from './space.js';
import {stopCost} from './stop_cost.js';
import {Tier, type Urgency, rateUrgency} from './urgency.js';

/** Most units for which room is kept in one pass; more would leave too little to fill the gaps with. */
const MAX_RESERVATIONS = 2;

/** Most waiting units that one pass looks at; bounds its time when thousands wait. */
const MAX_CONSIDERED = 1500;

/** What an urgent job beyond its guarantee may cost others, in core-seconds thrown away for each of its own. */
const RECLAIM_COST_RATIO = 0.5;

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

/** A unit with its place. */
export interface Start {
  unit: UnitRun;
  placement: Placement;
}

/** What a pass decided. */
export interface Decision {
  starts: Start[];
  /** Units to stop for urgent work. */
  stops: Array<{unit: UnitRun; for: string}>;
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
  private readonly decision: Decision = {starts: [], stops: []};
  private readonly spaces: Space[];
  private readonly withinGuarantee: ReadonlySet<JobRun>;
  /** Shapes that found no room in this pass: the same shape finds none either. */
  private readonly misfits = new Set<string>();
  private reservations = 0;

  constructor(
    private readonly situation: Situation,
    private readonly now: Instant,
  ) {
    this.spaces = this.openSpaces();
    this.withinGuarantee = findGuaranteed(situation);
  }

  run(): Decision {
    for (const {unit, urgency} of this.listWaiting()) {
      this.consider(unit, urgency);
    }
    return this.decision;
  }

  private openSpaces(): Space[] {
    const {evacuated} = this.situation;
    const spaces: Space[] = [];
    for (const room of this.situation.rooms) {
      const {info} = room;
      const isOpen = room.isOpen(this.now, LISTING_FRESHNESS);
      if (!isOpen || evacuated.has(info.domain)) {
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
    if (this.misfits.has(shape)) {
      return;
    }
    const seeker = this.seekerOf(unit);
    const spaces = this.spacesOf(unit);
    const placement = this.place(unit, urgency, seeker, spaces);
    if (placement) {
      this.start(unit, seeker, placement);
      return;
    }
    this.misfits.add(shape);
    const isReclaimed =
      urgency.tier === Tier.Urgent && this.reclaim(unit, seeker, spaces);
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
    // Far away it takes longer; worth it only when waiting for a near place already costs more.
    const far = duration * this.situation.settings.rackFactor;
    const canWait = this.now + far - duration < urgency.latestStart;
    const isForced = this.withinGuarantee.has(unit.job);
    const waited = this.now - unit.job.acceptedAt;
    const isOverdue = isForced && waited > this.reclaimPatience();
    const neverFitsNear = !canEverFitNear(seeker, spaces);
    if (isOverdue || neverFitsNear || (!isForced && !canWait && isLong(unit))) {
      return findAnywhere(seeker, spaces, this.now + far);
    }
    return undefined;
  }

  /** Time that a guaranteed job may wait for a near place before any place must do. */
  private reclaimPatience(): Milliseconds {
    const {reclaimTime, stopTime} = this.situation.settings;
    return Math.max(0, (reclaimTime - stopTime) / 2);
  }

  private start(unit: UnitRun, seeker: Seeker, placement: Placement): void {
    for (const {space, members} of placement.shares) {
      take(space, seeker.demand, members);
    }
    this.decision.starts.push({unit, placement});
  }

  /** Stops others for an urgent unit and keeps their room for it. */
  private reclaim(
    unit: UnitRun,
    seeker: Seeker,
    spaces: readonly Space[],
  ): boolean {
    const isForced = this.withinGuarantee.has(unit.job);
    const stopping = new Set(this.decision.stops.map(({unit}) => unit));
    const costOf = (victim: UnitRun) =>
      stopping.has(victim)
        ? Infinity
        : stopCost(victim, unit.job, this.situation.settings, this.now);
    let plan = planReclaim(seeker, spaces, costOf);
    const waited = this.now - unit.job.acceptedAt;
    if (!plan && isForced && waited > this.reclaimPatience()) {
      plan = planReclaim({...seeker, isRackSensitive: false}, spaces, costOf);
    }
    if (!plan) {
      return false;
    }
    const limit = isForced ? Infinity : RECLAIM_COST_RATIO * workOf(unit);
    if (plan.cost > limit) {
      return false;
    }
    for (const victim of plan.victims) {
      this.decision.stops.push({unit: victim, for: unit.job.id});
    }
    for (const space of plan.spaces) {
      space.keptFrom = this.now;
    }
    return true;
  }

  private spacesOf(unit: UnitRun): readonly Space[] {
    const {pool} = unit.job.job.terms;
    return this.spaces.filter(space => space.room.info.pool === pool);
  }

  private seekerOf(unit: UnitRun): Seeker {
    const {step} = unit;
    return {
      demand: countedDemand(step),
      count: memberCount(unit),
      isRackSensitive: step.isRackSensitive && memberCount(unit) > 1,
      requiredLabel: step.requiredLabel,
      dataRack: step.dataRack,
      vacancy: this.vacancyOf(unit),
      avoid: unit.avoid,
      allowed: this.situation.allowedFor(unit),
    };
  }

  private vacancyOf(unit: UnitRun): (targetId: string) => number {
    const most = unit.step.maxPerTarget;
    if (most === undefined) {
      return () => Infinity;
    }
    const taken = new Map<string, number>();
    const add = (id: string, members: number) =>
      taken.set(id, (taken.get(id) ?? 0) + members);
    for (const other of unit.job.units) {
      if (isSameStep(other, unit)) {
        other.bookings.forEach(({room}) => add(room.info.id, 1));
      }
    }
    for (const {unit: other, placement} of this.decision.starts) {
      if (isSameStep(other, unit)) {
        placement.shares.forEach(share =>
          add(share.space.room.info.id, share.members),
        );
      }
    }
    return id => Math.max(0, most - (taken.get(id) ?? 0));
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
    const {rackFactor} = this.situation.settings;
    const factor = unit.isFar ? rackFactor : 1;
    const whole = this.durationOf(unit) * factor * booking.room.slowness;
    return this.now + whole * (1 - booking.percent / 100);
  }
}

/** Urgent jobs of workspaces that need no more than their guarantee. */
function findGuaranteed(situation: Situation): ReadonlySet<JobRun> {
  const byWorkspace = new Map<string, {needed: number; jobs: JobRun[]}>();
  for (const job of situation.jobs) {
    if (job.job.terms.priority !== 0 || job.isCancelled) {
      continue;
    }
    const entry = byWorkspace.get(job.job.workspace) ?? {needed: 0, jobs: []};
    entry.needed += acceleratorsOf(job);
    entry.jobs.push(job);
    byWorkspace.set(job.job.workspace, entry);
  }
  const within = new Set<JobRun>();
  for (const [workspace, {needed, jobs}] of byWorkspace) {
    if (needed <= (situation.guarantees.get(workspace) ?? 0)) {
      jobs.forEach(job => within.add(job));
    }
  }
  return within;
}

/** Accelerators of a job's widest step. */
function acceleratorsOf({job}: JobRun): number {
  const needs = job.spec.steps.map(
    step => step.count * step.demand.accelerators,
  );
  return Math.max(...needs);
}

/** Units of the same shape and constraints find room or not together. */
function shapeOf(unit: UnitRun): string {
  const {step, job} = unit;
  const single = unit.avoid.size > 0 || step.maxPerTarget !== undefined;
  const own = single ? `${job.id}.${unit.stepIndex}.${unit.unitIndex}` : '';
  const {cpu, memoryMb, accelerators} = step.demand;
  return [
    memberCount(unit),
    cpu,
    memoryMb,
    accelerators,
    step.isRackSensitive,
    step.requiredLabel,
    step.dataRack,
    step.estimateMs,
    job.job.queue,
    own,
  ].join('|');
}

/** Whether one rack could hold every member if it were empty. */
function canEverFitNear(seeker: Seeker, spaces: readonly Space[]): boolean {
  const empty = spaces.map(space => ({
    ...space,
    free: {...space.room.info.capacity},
  }));
  return findPlacement(seeker, empty, -Infinity) !== undefined;
}

function isLong(unit: UnitRun): boolean {
  return unit.job.job.terms.priority > 0;
}

function isSameStep(a: UnitRun, b: UnitRun): boolean {
  return (
    a.job === b.job &&
    a.occurrence === b.occurrence &&
    a.stepIndex === b.stepIndex
  );
}

/** Estimated work of a unit in core-seconds. */
function workOf(unit: UnitRun): number {
  const {cpu, accelerators} = unit.step.demand;
  const cores = cpu / 1000 + accelerators * 8;
  return (cores * memberCount(unit) * unit.step.estimateMs) / 1000;
}
