/** Whose turn it is: by what a job still earns its caller, and how long it can wait. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type JobSpec,
  isStepDone,
} from '@galenavalve/workload';
import type {DurationEstimator} from '../duration_estimator.js';
import type {ActiveJob} from '../active_job.js';

/** A job that takes up to this many times its objective is late, beyond it of no use; from the platform's rules. */
export const USEFUL_LATENESS_FACTOR = 3;

/** A lower priority is worth waiting this much longer for. */
const PRIORITY_WEIGHT_MS: Milliseconds = 6000;

/** Groups of jobs, served in this order. */
export enum UrgencyTier {
  URGENT = 0,
  ON_TIME = 1,
  LATE = 2,
  EXPIRED = 3,
}

/** Place of a job in the order of service. */
export interface Urgency {
  tier: UrgencyTier;
  /** Within a tier, lower goes first. */
  sortKey: number;
  /** Latest start that is still on time. */
  latestStart: Instant;
}

/** Rates a job. */
export function rateUrgency(
  run: ActiveJob,
  estimates: DurationEstimator,
  now: Instant,
): Urgency {
  const {terms, spec, queue} = run.accepted;
  const whole = computeCriticalPath(
    spec,
    spec.steps.map(() => false),
  );
  // What is owed is measured by sound targets: slow ones lengthen the work, not the objective.
  const chain = Math.min(whole, estimates.estimateDuration(queue, whole));
  const objective = terms.stretch * chain + terms.latencyMs;
  const remaining = estimates.estimateDuration(
    queue,
    computeRemainingCriticalPath(run),
  );
  const latestStart = run.acceptedAt + objective - remaining;
  const lastUseful =
    run.acceptedAt + objective * USEFUL_LATENESS_FACTOR - remaining;
  if (terms.priority === 0 && now <= lastUseful) {
    const isLate = now > latestStart;
    const penalty = isLate ? objective * USEFUL_LATENESS_FACTOR : 0;
    return {
      tier: UrgencyTier.URGENT,
      sortKey: latestStart + penalty,
      latestStart,
    };
  }
  const rank = latestStart + terms.priority * PRIORITY_WEIGHT_MS;
  if (now <= latestStart) {
    return {tier: UrgencyTier.ON_TIME, sortKey: rank, latestStart};
  }
  return now <= lastUseful
    ? {tier: UrgencyTier.LATE, sortKey: rank, latestStart}
    : {tier: UrgencyTier.EXPIRED, sortKey: rank, latestStart};
}

/** Time from acceptance within which a job is on time, by its caller's estimates. */
export function computeObjective({spec, terms}: AcceptedJob): Milliseconds {
  const none = spec.steps.map(() => false);
  return terms.stretch * computeCriticalPath(spec, none) + terms.latencyMs;
}

/** Estimated work on the longest path through the steps that are not done. */
function computeRemainingCriticalPath(run: ActiveJob): Milliseconds {
  const {spec} = run.accepted;
  const first = run.progress.occurrences[0];
  const done = spec.steps.map((_, index) =>
    first ? isStepDone(first.steps[index] ?? []) : false,
  );
  return computeCriticalPath(spec, done);
}

function computeCriticalPath(
  spec: JobSpec,
  done: readonly boolean[],
): Milliseconds {
  const ends: Milliseconds[] = [];
  for (const [index, step] of spec.steps.entries()) {
    const before = step.dependsOn.map(other => ends[other] ?? 0);
    const own = done[index] ? 0 : step.estimateMs;
    ends.push(Math.max(0, ...before) + own);
  }
  return Math.max(...ends);
}
