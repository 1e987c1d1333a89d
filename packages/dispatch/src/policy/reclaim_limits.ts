/** Time limits of urgent units: how long they wait before runs are stopped for them or locality is given up. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {ActiveJob} from '../active_job.js';
import type {DispatchSettings} from '../settings.js';
import type {Urgency} from './urgency.js';

/**
 * Share of its slack, the time until its latest start, that an urgent job waits
 * for other runs to end, since their estimates are rough. The wait never exceeds
 * the time of a stop, which is the alternative.
 */
const MAX_SLACK_WAIT_SHARE = 0.25;

/**
 * A guaranteed job stops waiting for other runs to end this long before it must
 * have started by `DispatchSettings.reclaimTime`.
 */
const RECLAIM_MARGIN_MS = 1200;

/** Returns the time for which a job has waited since its acceptance was acknowledged. */
export function computeWait(job: ActiveJob, now: Instant): Milliseconds {
  return now - job.acknowledgedAt;
}

/**
 * Returns how long a guaranteed job waits for a local placement before it
 * accepts the locality penalty.
 */
export function computeLocalWaitLimit({
  reclaimTime,
  stopTime,
}: DispatchSettings): Milliseconds {
  return Math.max(0, reclaimTime - 2 * stopTime - RECLAIM_MARGIN_MS / 2);
}

/**
 * Whether runs must be stopped now at any cost, since a guaranteed job could
 * otherwise not start within `DispatchSettings.reclaimTime`.
 */
export function isReclaimForced(
  job: ActiveJob,
  {reclaimTime, stopTime}: DispatchSettings,
  now: Instant,
): boolean {
  return computeWait(job, now) >= reclaimTime - RECLAIM_MARGIN_MS - stopTime;
}

/**
 * Returns the latest time until which a unit waits for other runs to end rather
 * than stop them.
 */
export function computeStartDeadline(
  job: ActiveJob,
  urgency: Urgency,
  isGuaranteed: boolean,
  {reclaimTime, stopTime}: DispatchSettings,
  now: Instant,
): Instant {
  const slack = Math.max(0, urgency.latestStart - now);
  const preferredDeadline =
    now + Math.min(slack * MAX_SLACK_WAIT_SHARE, stopTime);
  const guaranteeDeadline =
    job.acknowledgedAt + reclaimTime - RECLAIM_MARGIN_MS;
  return isGuaranteed
    ? Math.min(preferredDeadline, guaranteeDeadline)
    : preferredDeadline;
}
