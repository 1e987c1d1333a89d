/**
 * Places one unit (a gang or a single task), near its data or within one rack
 * for as long as waiting for that is of use.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import type {ActiveJob, ActiveUnit} from '../active_job.js';
import {
  type CandidateTarget,
  type PlacementRequest,
  addAllocation,
} from './candidate_target.js';
import {
  type Placement,
  findLocalPlacement,
  findPlacementAnywhere,
} from './placement_search.js';
import {computeLocalWaitLimit, computeWait} from './reclaim_limits.js';
import {estimateAwaitedEnd} from './run_ends.js';
import type {SchedulingSnapshot} from './scheduling_snapshot.js';

/** How long a unit waits for a placement without a locality penalty. */
export type LocalWait =
  /** As long as targets could hold it once all runs have ended that have an end. */
  | 'while-feasible'
  /** As long as it is expected to end no later than with the penalty. */
  | 'while-useful';

/** Places units in one scheduling pass. */
export class UnitPlacement {
  constructor(
    private readonly snapshot: SchedulingSnapshot,
    private readonly guaranteedJobs: ReadonlySet<ActiveJob>,
    private readonly now: Instant,
  ) {}

  /**
   * Places a unit on `candidates`, which may be a part of `allCandidates`, those
   * that it can wait for.
   */
  place(
    unit: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    allCandidates: readonly CandidateTarget[],
    localWait: LocalWait,
  ): Placement | undefined {
    const duration = this.estimateDuration(unit);
    const local = findLocalPlacement(request, candidates, this.now + duration);
    if (
      local ||
      !this.acceptsPenalty(unit, request, allCandidates, localWait)
    ) {
      return local;
    }
    const {rackFactor} = this.snapshot.settings;
    const endsBy = this.now + duration * rackFactor;
    return findPlacementAnywhere(request, candidates, endsBy);
  }

  /** Whether twice the members fit on `candidates`, wherever they are and whether or not they are reserved. */
  fitsTwice(
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
  ): boolean {
    const twice = {...withoutLocality(request), count: request.count * 2};
    return findLocalPlacement(twice, candidates, -Infinity) !== undefined;
  }

  /** Places a unit on `candidates`, whether or not they are reserved. */
  placeAtOnce(
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    acceptsPenalty: boolean,
  ): Placement | undefined {
    return (
      findLocalPlacement(request, candidates, -Infinity) ??
      (acceptsPenalty
        ? findPlacementAnywhere(request, candidates, -Infinity)
        : undefined)
    );
  }

  /** Whether a unit with a locality preference starts with a penalty rather than wait. */
  acceptsPenalty(
    unit: ActiveUnit,
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    localWait: LocalWait,
  ): boolean {
    if (!request.isRackSensitive && request.dataRack === undefined) {
      return false;
    }
    const {rackFactor} = this.snapshot.settings;
    const penalty = this.estimateDuration(unit) * (rackFactor - 1);
    const by =
      localWait === 'while-useful' ? this.now + penalty : Number.MAX_VALUE;
    return (
      this.isLocalWaitOver(unit) || !this.fitsLocallyBy(request, candidates, by)
    );
  }

  /** Whether a guaranteed unit has waited for locality as long as its guarantee allows. */
  isLocalWaitOver({job}: ActiveUnit): boolean {
    const limit = computeLocalWaitLimit(this.snapshot.settings);
    return this.guaranteedJobs.has(job) && computeWait(job, this.now) > limit;
  }

  estimateDuration({job, step}: ActiveUnit): Milliseconds {
    const {estimator} = this.snapshot;
    return estimator.estimateDuration(job.accepted.queue, step.estimateMs);
  }

  /**
   * Whether the request could be placed without a locality penalty at `by` if
   * nothing else started until then.
   */
  private fitsLocallyBy(
    request: PlacementRequest,
    candidates: readonly CandidateTarget[],
    by: Instant,
  ): boolean {
    const {dataRack} = request;
    const freed = candidates
      .filter(({rack}) => dataRack === undefined || rack === dataRack)
      .map(candidate => ({...candidate, free: this.freeBy(candidate, by)}));
    return findLocalPlacement(request, freed, -Infinity) !== undefined;
  }

  /** Returns the capacity of a target that is expected to be free at `by`. */
  private freeBy(candidate: CandidateTarget, by: Instant): Demand {
    let {free} = candidate;
    for (const allocation of candidate.target.allocations.values()) {
      if (estimateAwaitedEnd(allocation, this.snapshot, this.now) <= by) {
        free = addAllocation(free, allocation);
      }
    }
    for (const run of candidate.plannedRuns) {
      if (run.endsAt <= by) {
        free = addAllocation(free, run);
      }
    }
    return free;
  }
}

/** Returns the request of a unit that accepts the locality penalty. */
export function withoutLocality(request: PlacementRequest): PlacementRequest {
  return {...request, isRackSensitive: false, dataRack: undefined};
}
