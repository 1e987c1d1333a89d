/** What stopping a unit throws away. */
import type {Instant} from '@galenavalve/shared';
import {type JobRun, type UnitRun, memberCount} from '../runs.js';
import type {DispatchSettings} from '../settings.js';
import {Tier, type Urgency} from './urgency.js';

/** Cores that an accelerator weighs as much as; the platform's prices count so. */
const CORES_PER_ACCELERATOR = 8;

/** Share of a job's value that it loses by being late; the sheets give two thirds to four fifths. */
const LATENESS_SHARE = 0.7;

/** Fixed cost of a stop, in seconds of the unit's work: it waits, and is started again. */
const RESTART_SECONDS = 1;

/**
 * Work lost by stopping `victim` for `claimant`, in core-seconds; Infinity
 * for one that must not be stopped for it.
 */
export function stopCost(
  victim: UnitRun,
  claimant: JobRun,
  urgency: Urgency,
  settings: DispatchSettings,
  now: Instant,
): number {
  const isLower = victim.job.job.terms.priority > claimant.job.terms.priority;
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
  const lost = cores * memberCount(victim) * (unsaved / 1000 + RESTART_SECONDS);
  const again = step.savesProgress ? 0 : ran;
  const becomesLate =
    urgency.tier === Tier.OnTime && now + again > urgency.latestStart;
  const whole = (cores * memberCount(victim) * step.estimateMs) / 1000;
  return lost + (becomesLate ? LATENESS_SHARE * whole : 0);
}
