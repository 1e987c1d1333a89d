/** Simple policies that the dispatcher's policy is compared with. */
import {
  type Decision,
  type CandidateTarget,
  type PlacementRequest,
  type SchedulingPolicy,
  type SchedulingSnapshot,
  type WaitingUnit,
  createCandidates,
  createPlacementRequest,
  deductCapacity,
  findLocalPlacement,
  findPlacementAnywhere,
  isFeasibleWithLocality,
  listReadyUnits,
  planReclaim,
} from '@galenavalve/dispatch';
import type {Instant} from '@galenavalve/shared';

/** Starts units in the order of acceptance; later ones may pass those that do not fit. Never stops a run. */
export class FirstFitPolicy implements SchedulingPolicy {
  readonly name = 'first-fit';

  decide(snapshot: SchedulingSnapshot, now: Instant): Decision {
    const pass = new SimplePass(snapshot, now);
    const waiting = listReadyUnits(snapshot, now).sort(compareAcceptance);
    waiting.forEach(item => pass.tryStart(item));
    return pass.decision;
  }
}

/** Starts units by priority, then in the order of acceptance. Urgent units stop any lower work, the latest started first. */
export class StrictPriorityPolicy implements SchedulingPolicy {
  readonly name = 'strict-priority';

  decide(snapshot: SchedulingSnapshot, now: Instant): Decision {
    const pass = new SimplePass(snapshot, now);
    const waiting = listReadyUnits(snapshot, now).sort(
      (a, b) => getPriority(a) - getPriority(b) || compareAcceptance(a, b),
    );
    for (const item of waiting) {
      const isStarted = pass.tryStart(item);
      if (!isStarted && getPriority(item) === 0) {
        pass.stopLower(item);
      }
    }
    return pass.decision;
  }
}

/** One pass of a simple policy. */
class SimplePass {
  readonly decision: Decision = {
    starts: [],
    stops: [],
    waits: [],
    obstacles: [],
    targetClaims: [],
  };
  private candidates: CandidateTarget[];

  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly now: Instant,
  ) {
    this.candidates = createCandidates(snapshot, now).filter(
      ({isAvoided}) => !isAvoided,
    );
  }

  /** Starts a unit if it fits; returns whether it does. */
  tryStart({unit}: WaitingUnit): boolean {
    const request = this.createRequest(unit);
    const hasRack = isFeasibleWithLocality(request, this.candidates);
    const placement =
      findLocalPlacement(request, this.candidates, this.now) ??
      (hasRack
        ? undefined
        : findPlacementAnywhere(request, this.candidates, this.now));
    if (!placement) {
      return false;
    }
    placement.shares.forEach(({candidate, members}) =>
      deductCapacity(candidate, request.demand, members),
    );
    this.decision.starts.push({unit, placement});
    return true;
  }

  /** Stops lower work until the unit fits, and keeps the targets from other units for this pass. */
  stopLower({unit}: WaitingUnit): void {
    const request = this.createRequest(unit);
    const stopped = new Set(this.decision.stops.map(stop => stop.unit));
    const plan = planReclaim(
      request,
      this.candidates,
      victim => {
        const isLower =
          victim.job.accepted.terms.priority > unit.job.accepted.terms.priority;
        const isRunning =
          victim.phase === 'running' || victim.phase === 'starting';
        return isLower && isRunning && !stopped.has(victim)
          ? this.now - victim.placedAt
          : Infinity;
      },
      () => false,
    );
    if (plan) {
      const {id} = unit.job;
      plan.victims.forEach(victim =>
        this.decision.stops.push({unit: victim, for: id}),
      );
      const kept = new Set(plan.candidates);
      this.candidates = this.candidates.filter(other => !kept.has(other));
    }
  }

  private createRequest(unit: WaitingUnit['unit']): PlacementRequest {
    const allowed = this.snapshot.findAllowedTargets(unit);
    return createPlacementRequest(unit, this.decision.starts, allowed);
  }
}

function getPriority({unit}: WaitingUnit): number {
  return unit.job.accepted.terms.priority;
}

function compareAcceptance(a: WaitingUnit, b: WaitingUnit): number {
  return a.unit.job.acceptedAt - b.unit.job.acceptedAt;
}
