/** Whose turn it is: by what a job still earns its caller, and how long it can wait. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import {
  type AcceptedJob,
  type JobSpec,
  isStepDone,
} from '@galenavalve/workload';
import type {Estimates} from '../estimates.js';
import type {JobRun} from '../runs.js';

/** A job that takes up to this many times its objective is late, beyond it of no use; from the platform's rules. */
export const LATE_FACTOR = 3;

/** A lower priority is worth waiting this much longer for. */
const PRIORITY_WEIGHT: Milliseconds = 6000;

/** Groups of jobs, served in this order. */
export enum Tier {
  Urgent = 0,
  OnTime = 1,
  Late = 2,
  Hopeless = 3,
}

/** Place of a job in the order of service. */
export interface Urgency {
  tier: Tier;
  /** Within a tier, lower goes first. */
  rank: number;
  /** Latest start that is still on time. */
  latestStart: Instant;
}

/** Rates a job. */
export function rateUrgency(
  run: JobRun,
  estimates: Estimates,
  now: Instant,
): Urgency {
  const {terms, spec, queue} = run.job;
  const whole = longestChain(
    spec,
    spec.steps.map(() => false),
  );
  // What is owed is measured by sound targets: slow ones lengthen the work, not the objective.
  const chain = Math.min(whole, estimates.expect(queue, whole));
  const objective = terms.stretch * chain + terms.latencyMs;
  const remaining = estimates.expect(queue, remainingChain(run));
  const latestStart = run.acceptedAt + objective - remaining;
  const lastUseful = run.acceptedAt + objective * LATE_FACTOR - remaining;
  if (terms.priority === 0 && now <= lastUseful) {
    const isLate = now > latestStart;
    const penalty = isLate ? objective * LATE_FACTOR : 0;
    return {tier: Tier.Urgent, rank: latestStart + penalty, latestStart};
  }
  const rank = latestStart + terms.priority * PRIORITY_WEIGHT;
  if (now <= latestStart) {
    return {tier: Tier.OnTime, rank, latestStart};
  }
  return now <= lastUseful
    ? {tier: Tier.Late, rank, latestStart}
    : {tier: Tier.Hopeless, rank, latestStart};
}

/** Time from acceptance within which a job is on time, by its caller's estimates. */
export function objectiveOf({spec, terms}: AcceptedJob): Milliseconds {
  const none = spec.steps.map(() => false);
  return terms.stretch * longestChain(spec, none) + terms.latencyMs;
}

/** Estimated work on the longest path through the steps that are not done. */
function remainingChain(run: JobRun): Milliseconds {
  const {spec} = run.job;
  const first = run.progress.occurrences[0];
  const done = spec.steps.map((_, index) =>
    first ? isStepDone(first.steps[index] ?? []) : false,
  );
  return longestChain(spec, done);
}

function longestChain(spec: JobSpec, done: readonly boolean[]): Milliseconds {
  const ends: Milliseconds[] = [];
  for (const [index, step] of spec.steps.entries()) {
    const before = step.dependsOn.map(other => ends[other] ?? 0);
    const own = done[index] ? 0 : step.estimateMs;
    ends.push(Math.max(0, ...before) + own);
  }
  return Math.max(...ends);
}
