/** Computes the work that is lost when a unit is stopped. */
import type {Instant} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {type ActiveJob, type ActiveUnit, countMembers} from '../active_job.js';
import type {DispatchSettings} from '../settings.js';
import {UrgencyTier, type Urgency} from './urgency.js';

/**
 * Cores that count as much as one accelerator; the platform's prices use the
 * same ratio.
 */
const CORES_PER_ACCELERATOR = 8;

/**
 * Share of a job's value that is lost if it ends late; the platform states two
 * thirds to four fifths.
 */
const LATENESS_SHARE = 0.7;

/**
 * Fixed cost of a stop, in seconds of the unit's work, for the wait and the
 * restart.
 */
const RESTART_COST_SECONDS = 1;

/**
 * Returns the work lost by stopping `victim` for `claimant`, in core-seconds;
 * Infinity if it must not be stopped.
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
  const runTime = Math.max(0, now - victim.placedAt);
  const unsavedTime = step.savesProgress
    ? Math.min(runTime, settings.restoreTime)
    : runTime;
  const cores = countCores(step.demand);
  const lostWork =
    cores * countMembers(victim) * (unsavedTime / 1000 + RESTART_COST_SECONDS);
  const repeatedWork = step.savesProgress ? 0 : runTime;
  const becomesLate =
    urgency.tier === UrgencyTier.ON_TIME &&
    now + repeatedWork > urgency.latestStart;
  const totalWork = (cores * countMembers(victim) * step.estimateMs) / 1000;
  return lostWork + (becomesLate ? LATENESS_SHARE * totalWork : 0);
}

/** Returns cores plus accelerators, each of which counts as several cores. */
export function countCores({cpu, accelerators}: Demand): number {
  return cpu / 1000 + accelerators * CORES_PER_ACCELERATOR;
}
