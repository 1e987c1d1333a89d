/** Lists the units (gangs or single tasks) that could start now. */
import type {Instant} from '@galenavalve/shared';
import {type ActiveUnit, isUnitReady, isUnitWaiting} from '../active_job.js';
import type {SchedulingSnapshot} from './scheduling_snapshot.js';
import {type Urgency, rateUrgency} from './urgency.js';

/** A unit that could start now, with its position in the order of service. */
export interface WaitingUnit {
  unit: ActiveUnit;
  urgency: Urgency;
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
      if (isUnitReady(unit)) {
        urgency ??= rateUrgency(job, estimator, now);
        ready.push({unit, urgency});
      }
    }
  }
  return ready;
}
