/** Estimates when runs end and release their capacity. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {ActiveUnit, Allocation} from '../active_job.js';
import {estimateRemainingTime, isProgressRateKnown} from '../progress_rate.js';
import type {SchedulingSnapshot} from './scheduling_snapshot.js';

/** What estimates depend on. */
type EstimateContext = Pick<SchedulingSnapshot, 'estimator' | 'settings'>;

/** Returns when the run of an allocation is expected to end; Infinity if it has no end. */
export function estimateRunEnd(
  allocation: Allocation,
  {estimator, settings}: EstimateContext,
  now: Instant,
): Instant {
  const {unit} = allocation;
  if (!unit || unit.phase === 'stopping') {
    return now + settings.stopTime;
  }
  if (unit.step.isLongRunning) {
    return Infinity;
  }
  const {rackFactor} = settings;
  const remaining = estimateRemainingTime(
    allocation,
    unit,
    estimator,
    rackFactor,
    now,
  );
  return Number.isNaN(remaining) ? Infinity : now + remaining;
}

/**
 * Returns when a run that others wait for is expected to end. One that has
 * outlasted its estimate is expected to last as long again as it has been
 * overdue; otherwise, it would be about to end in each pass.
 */
export function estimateAwaitedEnd(
  allocation: Allocation,
  context: EstimateContext,
  now: Instant,
): Instant {
  const end = estimateRunEnd(allocation, context, now);
  const {unit} = allocation;
  return unit && unit.phase !== 'stopping' && Number.isFinite(end)
    ? Math.max(end, now + computeOverdueTime(allocation, unit, context, now))
    : end;
}

/** Returns for how long a run has outlasted its expected duration. */
function computeOverdueTime(
  allocation: Allocation,
  unit: ActiveUnit,
  {estimator, settings}: EstimateContext,
  now: Instant,
): Milliseconds {
  if (isProgressRateKnown(allocation)) {
    const {rackFactor} = settings;
    const remaining = estimateRemainingTime(
      allocation,
      unit,
      estimator,
      rackFactor,
      now,
    );
    const isOverdue = remaining === 0 && allocation.percent < 100;
    return isOverdue ? now - allocation.percentAt : 0;
  }
  const duration =
    estimator.estimateDuration(unit.job.accepted.queue, unit.step.estimateMs) *
    (unit.hasLocalityPenalty ? settings.rackFactor : 1) *
    allocation.target.slowness;
  return now - allocation.createdAt - duration;
}
