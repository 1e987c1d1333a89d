/** Tracks runs from placement to their end and updates their jobs. */
import type {Instant, Logger} from '@galenavalve/shared';
import {formatTaskName} from '@galenavalve/workload';
import type {DurationEstimator} from './duration_estimator.js';
import {compareMemberRates} from './progress_rate.js';
import type {PlannedStart} from './policy/index.js';
import {
  type Allocation,
  type ActiveJob,
  type ActiveUnit,
  computeAllocatedDemand,
  createAllocation,
  findLatestStart,
  hasNeverStarted,
  hasNoAttemptLeft,
  isStartOutstanding,
} from './active_job.js';
import type {ListedEnd} from './target_port.js';
import type {TargetState} from './target_state.js';

/** Delay before a failed unit is placed again. */
const FAILURE_BACKOFF_MS = 150;

/**
 * Minimum and maximum time for which a target is avoided after runs on it
 * failed or stalled.
 */
const MIN_AVOIDANCE_MS = 3000;
const MAX_AVOIDANCE_MS = 15_000;

/**
 * Score of failures from which on a target is avoided; a single failure is
 * usually caused by the task.
 */
const AVOIDANCE_FAILURE_THRESHOLD = 2;

/** Weight of a failure of a job that has failed on other targets before. */
const REPEATED_FAILURE_WEIGHT = 0.5;

/** Actions that a change of a run requires. */
export interface RunEvents {
  /** The job's progress must be written to the log. */
  onChange(job: ActiveJob): void;
  /** The run must be stopped at its target. */
  onStop(allocation: Allocation): void;
}

/** Tracks the runs that one dispatcher started or took over from an earlier leader. */
export class RunTracker {
  constructor(
    private readonly events: RunEvents,
    private readonly estimator: DurationEstimator,
    private readonly logger: Logger,
  ) {}

  /**
   * Allocates capacity for a placement. The start commands are sent once it is
   * in the log.
   */
  place(
    {unit, placement, isIsolated = false}: PlannedStart,
    epoch: number,
    now: Instant,
  ): void {
    unit.progress.run++;
    unit.phase = 'recording';
    unit.placedAt = now;
    unit.hasLocalityPenalty = placement.hasLocalityPenalty;
    unit.targetClaim = undefined;
    unit.stopReason = undefined;
    unit.resumeCheckpoint = unit.progress.checkpoint;
    unit.job.progress.hasBegun = true;
    const targets = placement.shares.flatMap(({candidate, members}) =>
      Array.from({length: members}, () => candidate.target),
    );
    for (const [member, target] of targets.entries()) {
      const allocation = this.allocate(unit, member, target, epoch, now);
      allocation.isIsolated = isIsolated;
    }
    unit.progress.placedOn = targets.map(({key, info}) => ({
      incarnation: key,
      address: info.address,
    }));
    this.events.onChange(unit.job);
    this.logger.info('placed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run: unit.progress.run,
      targets: [...new Set(targets.map(target => target.info.id))].slice(0, 8),
      isFar: placement.hasLocalityPenalty,
      waitedMs: Math.round(now - unit.job.acceptedAt),
    });
  }

  /** Allocates capacity for one member's run, whose commands have the leader's `epoch`; 0 if a former leader sent them. */
  allocate(
    unit: ActiveUnit,
    member: number,
    target: TargetState,
    epoch: number,
    now: Instant,
  ): Allocation {
    const allocation = createAllocation(
      {
        task: formatMemberTaskName(unit, member),
        run: unit.progress.run,
        demand: computeAllocatedDemand(unit.step),
        target,
        unit,
        memberIndex: member,
        state: 'planned',
        epoch: epoch === 0 ? 0 : epoch + target.epochOffset,
      },
      now,
    );
    unit.allocations.push(allocation);
    target.allocate(allocation);
    return allocation;
  }

  /** Called when the target has acknowledged or listed the run. */
  onStarted(allocation: Allocation, clock: number, now: Instant): void {
    if (allocation.state !== 'starting') {
      return;
    }
    allocation.state = 'confirmed';
    allocation.isConfirmed = true;
    allocation.acknowledgedClock = clock;
    allocation.percentAt = now;
    allocation.firstPercentAt = now;
    const {unit} = allocation;
    const isComplete = unit?.allocations.every(
      ({state}) => state === 'confirmed',
    );
    if (unit && isComplete && unit.phase === 'starting') {
      unit.phase = 'running';
      unit.runningSince = now;
      unit.waitingSince = undefined;
    }
  }

  /** Stops all members of a unit's current run. */
  stop(unit: ActiveUnit, reason: string): void {
    if (unit.allocations.length === 0 || unit.phase === 'stopping') {
      return;
    }
    unit.phase = 'stopping';
    unit.stopReason = reason;
    this.logger.info('stopping', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run: unit.progress.run,
      reason,
    });
    for (const allocation of [...unit.allocations]) {
      if (hasNeverStarted(allocation)) {
        this.release(allocation);
      } else {
        this.events.onStop(allocation);
      }
    }
  }

  /**
   * Called when a target lists a run that the leader does not expect there. Its
   * unit does not start again before the orphan has ended, unless it has
   * started already.
   */
  onOrphan(orphan: Allocation, unit: ActiveUnit | undefined): void {
    if (!unit || unit.progress.isDone) {
      return;
    }
    if (unit.phase === 'recording') {
      this.stop(unit, 'an earlier run of the unit is alive');
    }
    if (unit.phase === 'waiting' || unit.phase === 'stopping') {
      orphan.unit = unit;
      unit.allocations.push(orphan);
      unit.phase = 'stopping';
    }
  }

  /** Called when a target lists the end of a run. */
  onEnd(
    target: TargetState,
    end: ListedEnd,
    unit: ActiveUnit | undefined,
    now: Instant,
  ): void {
    const allocation = target.findAllocation(end.task, end.run);
    const isCounted = end.kind === 'done' || end.kind === 'failed';
    // The job of a gang may have ended with another member.
    const owner = unit ?? allocation?.unit;
    if (owner && isCounted && findLatestStart(owner) > now) {
      target.holdEnd(end.number, findLatestStart(owner));
    }
    if (unit && unit.progress.run === end.run) {
      this.applyEnd(target, unit, end, allocation, now);
    } else if (unit && end.kind === 'done') {
      this.applyEarlierDone(target, unit, end.run);
    }
    if (allocation) {
      this.release(allocation);
    }
  }

  /**
   * Called when a run has ended without a listed end: its target was replaced,
   * its lease has expired, or it never started.
   */
  onRunLost(allocation: Allocation, reason: string, now: Instant): void {
    const {unit} = allocation;
    this.logger.info('run-lost', {
      task: allocation.task,
      run: allocation.run,
      target: allocation.target.key,
      state: allocation.state,
      ageMs: Math.round(now - allocation.createdAt),
      listedAgeMs: allocation.isListed
        ? Math.round(allocation.listedAt - allocation.createdAt)
        : undefined,
      onTarget: allocation.target.allocations.size,
      isMoved: allocation.isMoved || undefined,
      // What the release rests on: a stop, the lease, or the last copy of a start.
      acknowledgedClock: allocation.acknowledgedClock,
      leaseMs: Math.round(allocation.target.leaseExpiresAt - now),
      reason,
    });
    this.release(allocation);
    if (unit && !unit.progress.isDone && unit.allocations.length > 0) {
      this.stop(unit, reason);
    }
  }

  /**
   * Counts `failures` of runs that failed or stalled on a target, and avoids it
   * from a threshold on. Each further failure doubles the time.
   */
  onTargetFault(target: TargetState, failures: number, now: Instant): void {
    const score = target.faults.add(failures, now);
    if (score < AVOIDANCE_FAILURE_THRESHOLD) {
      return;
    }
    const doublings = score - AVOIDANCE_FAILURE_THRESHOLD;
    const duration = Math.min(
      MAX_AVOIDANCE_MS,
      MIN_AVOIDANCE_MS * 2 ** doublings,
    );
    target.avoidUntil = now + duration;
    this.logger.warn('target-avoided', {
      target: target.info.id,
      strikes: Number(score.toFixed(2)),
      forMs: Math.round(duration),
    });
  }

  /**
   * Releases an allocation. The unit can be placed again once all of its
   * allocations are released.
   */
  release(allocation: Allocation): void {
    allocation.target.release(allocation);
    const {unit} = allocation;
    if (!unit) {
      return;
    }
    if (isStartOutstanding(allocation)) {
      unit.mayStartUntil = Math.max(
        unit.mayStartUntil,
        allocation.mayStartUntil,
      );
    }
    unit.allocations = unit.allocations.filter(other => other !== allocation);
    if (unit.allocations.length === 0) {
      unit.phase = 'waiting';
      unit.progress.placedOn = undefined;
      this.events.onChange(unit.job);
    }
  }

  /**
   * Marks a unit as done by an earlier run that was given up, for example
   * because its target was cut off, but completed nevertheless.
   */
  private applyEarlierDone(
    target: TargetState,
    unit: ActiveUnit,
    run: number,
  ): void {
    const isUnfinished = !unit.progress.isDone && !unit.step.isLongRunning;
    if (!isUnfinished || run > unit.progress.run) {
      return;
    }
    unit.progress.isDone = true;
    unit.progress.checkpoint = '';
    this.logger.info('done-earlier', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run,
      present: unit.progress.run,
      target: target.info.id,
    });
    this.stop(unit, 'an earlier run of the unit is done');
    this.events.onChange(unit.job);
  }

  private applyEnd(
    target: TargetState,
    unit: ActiveUnit,
    end: ListedEnd,
    allocation: Allocation | undefined,
    now: Instant,
  ): void {
    if (end.checkpoint !== '') {
      unit.progress.checkpoint = end.checkpoint;
    }
    if (end.kind === 'done' && !unit.step.isLongRunning) {
      this.applyDone(target, unit, allocation, now);
    } else if (end.kind === 'failed') {
      this.applyFailure(target, unit, end.run, now);
    }
    // The members of a gang end together; stopping the remaining ones ensures
    // it.
    const hasOtherMembers = unit.allocations.some(
      other => other !== allocation,
    );
    if (hasOtherMembers && end.kind !== 'done') {
      this.stop(unit, `a member ended as ${end.kind}`);
    }
    this.events.onChange(unit.job);
  }

  private applyDone(
    target: TargetState,
    unit: ActiveUnit,
    allocation: Allocation | undefined,
    now: Instant,
  ): void {
    target.faults.onSuccess();
    if (unit.progress.isDone) {
      return;
    }
    unit.progress.isDone = true;
    unit.progress.checkpoint = '';
    const isMeasurable =
      unit.progress.run === 1 && !unit.hasLocalityPenalty && allocation;
    if (isMeasurable) {
      const actual = now - unit.runningSince;
      const {queue} = unit.job.accepted;
      if (unit.step.isGang) {
        compareMemberRates(unit.allocations);
      } else {
        target.recordDurationRatio(
          actual / this.estimator.estimateDuration(queue, unit.step.estimateMs),
        );
      }
      this.estimator.recordDuration(queue, unit.step.estimateMs, actual);
    }
  }

  private applyFailure(
    target: TargetState,
    unit: ActiveUnit,
    run: number,
    now: Instant,
  ): void {
    if (unit.progress.lastFailedRun >= run) {
      return;
    }
    unit.progress.lastFailedRun = run;
    unit.lastFailureAt = now;
    unit.retryAt = now + FAILURE_BACKOFF_MS;
    if (unit.step.isLongRunning) {
      return;
    }
    unit.progress.failureCount++;
    // A job that has failed on other targets before may have a fault of its own.
    const {failedTargets} = unit.job;
    const isFirst = failedTargets.size === 0 || failedTargets.has(target);
    this.onTargetFault(target, isFirst ? 1 : REPEATED_FAILURE_WEIGHT, now);
    failedTargets.add(target);
    unit.avoidedTargets.add(target.info.id);
    this.logger.info('run-failed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run,
      target: target.info.id,
      failures: unit.progress.failureCount,
      allowed: unit.job.accepted.terms.maxAttempts,
    });
    unit.job.hasFailed ||= hasNoAttemptLeft(unit);
  }
}

/** Returns the name of a member's task. */
export function formatMemberTaskName(unit: ActiveUnit, member: number): string {
  return formatTaskName({
    jobId: unit.job.id,
    occurrence: unit.occurrence,
    step: unit.stepIndex,
    index: unit.step.isGang ? member : unit.unitIndex,
  });
}
