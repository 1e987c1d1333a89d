/**
 * Checks that no job waits while there is plenty of capacity for it: for three
 * seconds it has nothing running although a task's turn has come, there is room
 * for that task twice over, and under half of the pool's capacity is in use.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Demand} from '@galenavalve/workload';
import {
  type ClusterView,
  type DueUnit,
  type ObservedJob,
  type ObservedTarget,
  computeFreeCapacity,
  listDueUnits,
} from './cluster_view.js';
import type {Violation} from './run_auditor.js';

/** Time for which a job may be idle; stated by the platform, like the others. */
export const MAX_IDLE_MS: Milliseconds = 3000;

/** Time after the last run of a long-running task from which on it counts as idle. */
const LONG_RUNNING_GRACE_MS: Milliseconds = 6000;

/** Calm time before the idle time of a long-running task. */
const CALM_BEFORE_MS: Milliseconds = 4000;

/** Share of the pool's capacity in use from which on a job may wait. */
const MAX_SHARE_IN_USE = 0.5;

/** A target with its free capacity. */
interface FreeTarget {
  target: ObservedTarget;
  free: Demand;
}

/** Capacity of a pool. */
interface PoolState {
  targets: FreeTarget[];
  /** Highest share of a resource that is in use. */
  shareInUse: number;
}

/** Watches the jobs of one cluster; `observe` is called every few milliseconds. */
export class IdleJobCheck {
  /** Since when jobs and long-running tasks could run and do not. */
  private readonly idleSince = new Map<string, Instant>();
  /** When long-running tasks last ran; when they were first seen if they never did. */
  private readonly lastRunAt = new Map<string, Instant>();
  private readonly reported = new Set<string>();

  /** `violations` receives what the check finds. */
  constructor(private readonly violations: Violation[]) {}

  /**
   * Looks at the cluster at `now`. `isEnd` tells whether submissions and faults
   * ended long enough ago for every job to be judged; long-running tasks are
   * judged whenever it is calm.
   */
  observe(
    view: ClusterView,
    isCalmFor: (duration: Milliseconds) => boolean,
    isEnd: boolean,
    now: Instant,
  ): void {
    const running = new Set(view.targets.flatMap(({tasks}) => tasks));
    const runningJobs = new Set([...running].map(task => task.split('.')[0]));
    const pools = new Map<string, PoolState>();
    const idle = new Set<string>();
    for (const job of view.jobs) {
      const units = listDueUnits(job, view);
      const {pool: poolName} = job.job.terms;
      const pool = pools.get(poolName) ?? createPoolState(view, poolName);
      pools.set(poolName, pool);
      const check = (key: string, unit: DueUnit, limit: Milliseconds) => {
        if (!hasPlentyOfRoom(unit, pool)) {
          return;
        }
        idle.add(key);
        const since = this.idleSince.get(key) ?? now;
        this.idleSince.set(key, since);
        if (now - since >= limit && !this.reported.has(key)) {
          this.report(key, job, unit, pool, now - since, now);
        }
      };
      const fitting = units.find(unit => hasPlentyOfRoom(unit, pool));
      const isKnown = now >= job.mayBeLostUntil;
      if (isEnd && isKnown && fitting && !runningJobs.has(job.id)) {
        check(job.id, fitting, MAX_IDLE_MS);
      }
      for (const unit of units.filter(({step}) => step.isLongRunning)) {
        const {task} = unit;
        const lastRunAt = running.has(task)
          ? now
          : (this.lastRunAt.get(task) ?? now);
        this.lastRunAt.set(task, lastRunAt);
        const isLate = now - lastRunAt >= LONG_RUNNING_GRACE_MS;
        if (isLate && isCalmFor(CALM_BEFORE_MS)) {
          check(task, unit, MAX_IDLE_MS);
        }
      }
    }
    for (const key of this.idleSince.keys()) {
      if (!idle.has(key)) {
        this.idleSince.delete(key);
      }
    }
  }

  private report(
    key: string,
    {describe}: ObservedJob,
    unit: DueUnit,
    pool: PoolState,
    idleFor: Milliseconds,
    now: Instant,
  ): void {
    this.reported.add(key);
    const targets = countTargetsWithRoom(unit, pool);
    const percent = Math.round(pool.shareInUse * 100);
    this.violations.push({
      rule: 'idle-job',
      at: now,
      detail:
        `${key} could run ${unit.task} for ${Math.round(idleFor)} ms and does not: ` +
        `${targets} targets have room, ${percent}% of the pool is in use; ${describe()}`,
    });
  }
}

function createPoolState(
  {targets, findStep}: ClusterView,
  pool: string,
): PoolState {
  const inPool = targets.filter(({info}) => info.pool === pool);
  const states = inPool.map(target => ({
    target,
    free: computeFreeCapacity(target, findStep),
  }));
  const computeShare = (resource: keyof Demand) => {
    const total = sum(states, ({target}) => target.info.capacity[resource]);
    const free = sum(states, state => Math.max(0, state.free[resource]));
    return total === 0 ? 0 : 1 - free / total;
  };
  const shareInUse = Math.max(
    computeShare('cpu'),
    computeShare('memoryMb'),
    computeShare('accelerators'),
  );
  return {targets: states, shareInUse};
}

/** Whether a unit fits twice over while under half of the pool is in use, however full it is for a long-running task. */
function hasPlentyOfRoom(unit: DueUnit, pool: PoolState): boolean {
  if (!unit.step.isLongRunning && pool.shareInUse >= MAX_SHARE_IN_USE) {
    return false;
  }
  const fits = sum(pool.targets, target => countFits(unit, target));
  return fits >= 2 * unit.members;
}

function countTargetsWithRoom(unit: DueUnit, {targets}: PoolState): number {
  return targets.filter(target => countFits(unit, target) > 0).length;
}

/** Returns how many tasks of the unit's step fit on a target that may run them. */
function countFits(
  {step}: DueUnit,
  {target: {isOpen, info, tasks}, free}: FreeTarget,
): number {
  const {demand, requiredLabel, maxPerTarget = Infinity, usesIdleCpu} = step;
  const hasLabel = !requiredLabel || info.labels.includes(requiredLabel);
  const isOvercommitted = Math.min(...Object.values(free)) < 0;
  if (!isOpen || !hasLabel || isOvercommitted) {
    return 0;
  }
  // A limit per target counts the tasks of the step that run there; to count
  // all of them only makes the check more lenient.
  let fits =
    maxPerTarget === Infinity
      ? 10_000
      : Math.max(0, maxPerTarget - tasks.length);
  const needed = usesIdleCpu ? {...demand, cpu: 0} : demand;
  for (const resource of ['cpu', 'memoryMb', 'accelerators'] as const) {
    if (needed[resource] > 0) {
      fits = Math.min(fits, Math.floor(free[resource] / needed[resource]));
    }
  }
  return fits;
}

function sum<T>(items: readonly T[], count: (item: T) => number): number {
  return items.reduce((total, item) => total + count(item), 0);
}
