/**
 * Bounds the time for which a job has no run although most of the capacity of
 * its pool is free. Past it, no preference keeps the job from a target.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {ActiveJob, ActiveUnit} from '../active_job.js';
import type {TargetState} from '../target_state.js';
import {countCores} from './stop_cost.js';

/**
 * Longest waits of a unit whose job has no run. The platform allows 3 s from the
 * end of a run to the start of the next. For locality, all of it is used but the
 * time of a start, since a run without it takes several times as long.
 */
const MAX_IDLE_WAIT_MS: Milliseconds = 1500;
const MAX_IDLE_LOCAL_WAIT_MS: Milliseconds = 2500;

/** Time without a response from which on the runs of a target do not count as use. */
const SILENCE_MS: Milliseconds = 1000;

/** Share of the capacity in use from which on the platform lets jobs wait. */
const MAX_USED_SHARE = 0.5;

/** Waits of idle jobs in one scheduling pass. */
export class IdleWaits {
  private readonly freePools = new Map<string, boolean>();
  private readonly idleJobs = new Map<ActiveJob, boolean>();

  constructor(
    private readonly targets: readonly TargetState[],
    private readonly now: Instant,
  ) {}

  /** Whether a unit has waited as long as it may while most of its pool is free. */
  isOver(unit: ActiveUnit): boolean {
    return this.hasWaited(unit, MAX_IDLE_WAIT_MS);
  }

  /** Whether a unit has waited for locality as long as it may while most of its pool is free. */
  isLocalWaitOver(unit: ActiveUnit): boolean {
    return this.hasWaited(unit, MAX_IDLE_LOCAL_WAIT_MS);
  }

  private hasWaited(unit: ActiveUnit, limit: Milliseconds): boolean {
    const {waitingSince = Infinity, job, step} = unit;
    return (
      this.now - waitingSince >= limit &&
      (step.isLongRunning ||
        (this.isIdle(job) && this.isMostlyFree(job.accepted.terms.pool)))
    );
  }

  /** Called when a unit of a job has been placed. */
  onStart({job}: ActiveUnit): void {
    this.idleJobs.set(job, false);
  }

  private isIdle(job: ActiveJob): boolean {
    let isIdle = this.idleJobs.get(job);
    if (isIdle === undefined) {
      isIdle = job.units.every(
        ({phase}) => phase === 'waiting' || phase === 'stopping',
      );
      this.idleJobs.set(job, isIdle);
    }
    return isIdle;
  }

  /** Whether so much of a pool is free that jobs need not wait for each other. */
  isMostlyFree(pool: string): boolean {
    let isFree = this.freePools.get(pool);
    if (isFree === undefined) {
      isFree = isMostlyFree(
        this.targets.filter(({info}) => info.pool === pool),
        this.now,
      );
      this.freePools.set(pool, isFree);
    }
    return isFree;
  }
}

function isMostlyFree(targets: readonly TargetState[], now: Instant): boolean {
  let capacity = 0;
  let free = 0;
  for (const target of targets) {
    if (
      target.isRegistered &&
      !target.isRemoved &&
      !target.isSilent(now, SILENCE_MS)
    ) {
      capacity += countCores(target.info.capacity);
      free += Math.max(0, countCores(target.computeFreeCapacity()));
    }
  }
  return capacity - free < capacity * MAX_USED_SHARE;
}
