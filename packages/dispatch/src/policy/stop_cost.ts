/** What stopping a unit throws away. */
import type {Instant} from '@galenavalve/shared';
import {type ActiveJob, type ActiveUnit, countMembers} from '../active_job.js';
import type {DispatchSettings} from '../settings.js';
import {UrgencyTier, type Urgency} from './urgency.js';

/** Cores that an accelerator weighs as much as; the platform's prices count so. */
const CORES_PER_ACCELERATOR = 8;

/** Share of a job's value that it loses by being late; the sheets give two thirds to four fifths. */
const LATENESS_SHARE = 0.7;

/** Fixed cost of a stop, in seconds of the unit's work: it waits, and is started again. */
const RESTART_COST_SECONDS = 1;

/**
 * Work lost by stopping `victim` for `claimant`, in core-seconds; Infinity
 * for one that must not be stopped for it.
 */
export function computeStopCost(
  victim: ActiveUnit,
  claimant: ActiveJob,
  urgency: Urgency,
  settings: DispatchSettings,
  now: Instant,
): number {
  const isLower =
    victim.job.accepted.terms.priority > claimant.accepted.terms.priority;
  const isStoppable = victim.phase === 'running' || victim.phase === 'starting';
  const isServing = victim.step.isLongRunning && victim.step.maxUnavailable > 0;
  if (isServing || !isLower || !isStoppable || victim.progress.isDone) {
    return Infinity;
  }
  const {step} = victim;
  const ran = Math.max(0, now - victim.placedAt);
  const unsaved = step.savesProgress
    ? Math.min(ran, settings.restoreTime)
    : ran;
  const cores =
    step.demand.cpu / 1000 + step.demand.accelerators * CORES_PER_ACCELERATOR;
  const lost =
    cores * countMembers(victim) * (unsaved / 1000 + RESTART_COST_SECONDS);
  const again = step.savesProgress ? 0 : ran;
  const becomesLate =
    urgency.tier === UrgencyTier.ON_TIME && now + again > urgency.latestStart;
  const whole = (cores * countMembers(victim) * step.estimateMs) / 1000;
  return lost + (becomesLate ? LATENESS_SHARE * whole : 0);
}
