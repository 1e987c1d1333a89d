/**
 * Finds idle jobs, which have work that could run now and no run, and reports
 * what keeps them idle.
 */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import {
  type ActiveJob,
  type ActiveUnit,
  type Allocation,
  isUnitReady,
  isUnitWaiting,
} from './active_job.js';
import {isClosedToOthers} from './crash_attribution.js';
import type {Obstacle} from './obstacle.js';
import {MAX_LISTING_AGE_MS} from './settings.js';
import type {TargetState} from './target_state.js';

/** Interval between two searches for idle jobs. */
const CHECK_INTERVAL_MS: Milliseconds = 500;

/** Time without a run from which on a job counts as idle. */
const MIN_IDLE_MS: Milliseconds = 1500;

/** Share of free accelerators from which on idle jobs are logged; below it, jobs wait for each other. */
const MIN_LOGGED_FREE_SHARE = 0.5;

/** Limit of log lines per search. */
const MAX_LINES_PER_CHECK = 3;

/** Limit of allocations in a log line. */
const MAX_LOGGED_ALLOCATIONS = 4;

/** Why a job is idle. */
export type IdleCause =
  | Obstacle
  /** No pass has considered the unit yet. */
  | 'no-pass'
  /** A failed unit waits for its next attempt. */
  | 'retry'
  /** The placement is not in the log yet. */
  | 'recording'
  /** A start command has not been acknowledged. */
  | 'starting'
  /** An earlier run may still be alive. */
  | 'unreleased-run';

interface IdleJob {
  since: Instant;
  /** Undefined until the job counts as idle. */
  cause?: IdleCause;
  loggedCause?: IdleCause;
}

/** The unit of an idle job that could run. */
interface IdleUnit {
  unit: ActiveUnit;
  entry: IdleJob;
}

/** Idle jobs of one leader. */
export class IdleJobs {
  private readonly idle = new Map<ActiveJob, IdleJob>();
  private checkedAt: Instant = -Infinity;

  constructor(private readonly logger: Logger) {}

  /** Searches for idle jobs if a search is due. */
  onTick(
    jobs: Iterable<ActiveJob>,
    targets: Iterable<TargetState>,
    now: Instant,
  ): void {
    if (now - this.checkedAt < CHECK_INTERVAL_MS) {
      return;
    }
    this.checkedAt = now;
    const known = new Map(this.idle);
    this.idle.clear();
    const unlogged: IdleUnit[] = [];
    for (const job of jobs) {
      const unit = findIdleUnit(job);
      if (!unit) {
        continue;
      }
      const {since, loggedCause} = known.get(job) ?? {since: now};
      const isIdle = now - since >= MIN_IDLE_MS;
      const entry: IdleJob = {
        since,
        cause: isIdle ? findCause(unit, now) : undefined,
        loggedCause,
      };
      this.idle.set(job, entry);
      if (isIdle && entry.cause !== loggedCause) {
        unlogged.push({unit, entry});
      }
    }
    if (unlogged.length > 0) {
      this.log(unlogged, [...targets], now);
    }
  }

  /** Counts the idle jobs by cause. */
  countByCause(): ReadonlyMap<IdleCause, number> {
    const counts = new Map<IdleCause, number>();
    for (const {cause} of this.idle.values()) {
      if (cause !== undefined) {
        counts.set(cause, (counts.get(cause) ?? 0) + 1);
      }
    }
    return counts;
  }

  private log(
    unlogged: readonly IdleUnit[],
    targets: readonly TargetState[],
    now: Instant,
  ): void {
    const usage = summarizeTargets(targets, now);
    if (usage.freeShare < MIN_LOGGED_FREE_SHARE) {
      return;
    }
    for (const {unit, entry} of unlogged.slice(0, MAX_LINES_PER_CHECK)) {
      entry.loggedCause = entry.cause;
      this.logger.warn('job-idle', {
        job: unit.job.id,
        step: unit.stepIndex,
        unit: unit.unitIndex,
        run: unit.progress.run,
        cause: entry.cause,
        idleMs: Math.round(now - entry.since),
        allocations: unit.allocations
          .slice(0, MAX_LOGGED_ALLOCATIONS)
          .map(allocation => describeAllocation(allocation, now)),
        targets: usage,
      });
    }
  }
}

/** Returns a unit that could run; undefined if there is none or any unit of the job runs. */
function findIdleUnit(job: ActiveJob): ActiveUnit | undefined {
  if (job.isCancelled || job.hasFailed) {
    return undefined;
  }
  let idle: ActiveUnit | undefined;
  for (const unit of job.units) {
    if (unit.progress.isDone) {
      continue;
    }
    if (unit.phase === 'running') {
      return undefined;
    }
    if (!idle && (!isUnitWaiting(unit) || isUnitReady(unit))) {
      idle = unit;
    }
  }
  return idle;
}

function findCause(unit: ActiveUnit, now: Instant): IdleCause {
  switch (unit.phase) {
    case 'waiting':
      return unit.retryAt > now ? 'retry' : (unit.obstacle ?? 'no-pass');
    case 'recording':
    case 'starting':
      return unit.phase;
    default:
      return 'unreleased-run';
  }
}

function describeAllocation(
  {target, state, isListed, acknowledgedClock, epoch}: Allocation,
  now: Instant,
) {
  return {
    target: target.key,
    state,
    isListed,
    isAcknowledged: acknowledgedClock !== undefined,
    epoch,
    isRegistered: target.isRegistered,
    isRemoved: target.isRemoved,
    responseAgeMs: Math.round(now - target.lastResponseAt),
    leaseMs: Math.round(target.leaseExpiresAt - now),
  };
}

/** Counts the targets by what keeps new runs off them, and the free share of the accelerators. */
function summarizeTargets(targets: readonly TargetState[], now: Instant) {
  const registered = targets.filter(({isRegistered}) => isRegistered);
  const count = (isCounted: (target: TargetState) => boolean) =>
    registered.filter(isCounted).length;
  let capacity = 0;
  let free = 0;
  for (const target of registered) {
    capacity += target.info.capacity.accelerators;
    free += Math.max(0, target.computeFreeCapacity().accelerators);
  }
  return {
    registered: registered.length,
    schedulable: count(target => target.isSchedulable(now, MAX_LISTING_AGE_MS)),
    draining: count(({info}) => info.isDraining),
    avoided: count(({avoidUntil}) => avoidUntil > now),
    doubted: count(({faults}) => faults.isDoubted(now)),
    closed: count(isClosedToOthers),
    overcommitted: count(({isOvercommitted}) => isOvercommitted),
    unlisted: count(({hasListing}) => !hasListing),
    freeShare: capacity > 0 ? Number((free / capacity).toFixed(2)) : 0,
  };
}
