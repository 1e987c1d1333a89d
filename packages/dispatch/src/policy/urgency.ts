/**
 * Orders jobs by the value that they still have for their callers and by their
 * slack, the time until the latest start with which they end on time.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type JobSpec,
  isStepDone,
} from '@galenavalve/workload';
import type {DurationEstimator} from '../duration_estimator.js';
import type {ActiveJob} from '../active_job.js';

/**
 * Multiple of its objective, the time within which it ends on time, up to which a
 * late job is still of use; the platform defines it.
 */
export const USEFUL_LATENESS_FACTOR = 3;

/** Time by which each priority level delays a job in the order of service. */
const PRIORITY_WEIGHT_MS: Milliseconds = 6000;

/** Tiers of jobs, served in this order. */
export enum UrgencyTier {
  /** Jobs of priority 0 that are still of use. */
  URGENT = 0,
  /** Jobs that can still end on time. */
  ON_TIME = 1,
  /** Jobs that end late but are still of use. */
  LATE = 2,
  /** Jobs that end too late to be of use. */
  EXPIRED = 3,
}

/** Position of a job in the order of service. */
export interface Urgency {
  tier: UrgencyTier;
  /** Sort key within a tier, in milliseconds; lower goes first. */
  sortKey: number;
  /** Latest start with which the job ends on time. */
  latestStart: Instant;
}

/** Computes the tier and sort key of a job. */
export function rateUrgency(
  job: ActiveJob,
  estimator: DurationEstimator,
  now: Instant,
): Urgency {
  const {terms, spec, queue} = job.accepted;
  const estimatedPath = computeCriticalPath(
    spec,
    spec.steps.map(() => false),
  );
  // Both follow the actual work, so that a caller who underestimates it has the
  // same slack as others.
  const criticalPath = estimator.estimateDuration(queue, estimatedPath);
  const objective = terms.stretch * criticalPath + terms.latencyMs;
  const remaining = estimator.estimateDuration(
    queue,
    computeRemainingCriticalPath(job),
  );
  const latestStart = job.acceptedAt + objective - remaining;
  const lastUseful =
    job.acceptedAt + objective * USEFUL_LATENESS_FACTOR - remaining;
  if (terms.priority === 0 && now <= lastUseful) {
    const isLate = now > latestStart;
    const penalty = isLate ? objective * USEFUL_LATENESS_FACTOR : 0;
    return {
      tier: UrgencyTier.URGENT,
      sortKey: latestStart + penalty,
      latestStart,
    };
  }
  const sortKey = latestStart + terms.priority * PRIORITY_WEIGHT_MS;
  if (now <= latestStart) {
    return {tier: UrgencyTier.ON_TIME, sortKey, latestStart};
  }
  return now <= lastUseful
    ? {tier: UrgencyTier.LATE, sortKey, latestStart}
    : {tier: UrgencyTier.EXPIRED, sortKey, latestStart};
}

/**
 * Returns the time from acceptance within which a job must end to be on time,
 * based on its caller's estimates.
 */
export function computeObjective({spec, terms}: AcceptedJob): Milliseconds {
  const noneDone = spec.steps.map(() => false);
  return terms.stretch * computeCriticalPath(spec, noneDone) + terms.latencyMs;
}

/**
 * Returns the estimated work on the critical path of the steps that are not
 * done.
 */
function computeRemainingCriticalPath(job: ActiveJob): Milliseconds {
  const {spec} = job.accepted;
  const first = job.progress.occurrences[0];
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
    const dependencyEnds = step.dependsOn.map(other => ends[other] ?? 0);
    const duration = done[index] ? 0 : step.estimateMs;
    ends.push(Math.max(0, ...dependencyEnds) + duration);
  }
  return Math.max(...ends);
}
