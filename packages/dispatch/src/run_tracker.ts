/** What happens to runs: they are placed, confirmed, stopped and end; jobs change with them. */
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
  hasNoAttemptLeft,
} from './active_job.js';
import type {ListedEnd} from './target_port.js';
import type {TargetState} from './target_state.js';

/** Pause before a unit that failed is placed again, in milliseconds. */
const FAILURE_BACKOFF_MS = 150;

/** First and longest avoidance of a target whose runs fail or stand still, in milliseconds. */
const MIN_AVOIDANCE_MS = 3000;
const MAX_AVOIDANCE_MS = 15_000;

/** Failures in a row of a target that make it suspect; a single one is usually the task's own. */
const AVOIDANCE_FAILURE_THRESHOLD = 2;

/** What a change of a run asks others to do. */
export interface RunEvents {
  /** The job's progress is to be recorded. */
  onChange(job: ActiveJob): void;
  /** A run is to be stopped at its target. */
  onStop(booking: Allocation): void;
}

/** Keeps the runs of one dispatcher. */
export class RunTracker {
  constructor(
    private readonly events: RunEvents,
    private readonly estimates: DurationEstimator,
    private readonly logger: Logger,
  ) {}

  /** Books a placement; its orders go out once it is recorded. */
  place({unit, placement}: PlannedStart, epoch: number, now: Instant): void {
    unit.progress.run++;
    unit.phase = 'recording';
    unit.placedAt = now;
    unit.hasLocalityPenalty = placement.hasLocalityPenalty;
    unit.targetClaim = undefined;
    unit.stopReason = undefined;
    unit.resumeCheckpoint = unit.progress.checkpoint;
    unit.job.progress.hasBegun = true;
    const rooms = placement.shares.flatMap(({candidate: space, members}) =>
      Array.from({length: members}, () => space.target),
    );
    for (const [member, room] of rooms.entries()) {
      this.allocate(unit, member, room, epoch, now);
    }
    unit.progress.placedOn = rooms.map(room => room.key);
    this.events.onChange(unit.job);
    this.logger.info('placed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run: unit.progress.run,
      targets: [...new Set(rooms.map(room => room.info.id))].slice(0, 8),
      isFar: placement.hasLocalityPenalty,
      waitedMs: Math.round(now - unit.job.acceptedAt),
    });
  }

  /** Books a member's run. */
  allocate(
    unit: ActiveUnit,
    member: number,
    room: TargetState,
    epoch: number,
    now: Instant,
  ): Allocation {
    const booking = createAllocation(
      {
        task: formatMemberTaskName(unit, member),
        run: unit.progress.run,
        demand: computeAllocatedDemand(unit.step),
        target: room,
        unit,
        memberIndex: member,
        state: 'planned',
        epoch,
      },
      now,
    );
    unit.allocations.push(booking);
    room.allocate(booking);
    return booking;
  }

  /** The target has the run. */
  onStarted(booking: Allocation, clock: number, now: Instant): void {
    if (booking.state !== 'ordered') {
      return;
    }
    booking.state = 'confirmed';
    booking.acknowledgedClock = clock;
    booking.percentAt = now;
    booking.firstPercentAt = now;
    const {unit} = booking;
    const isWhole = unit?.allocations.every(({state}) => state === 'confirmed');
    if (unit && isWhole && unit.phase === 'starting') {
      unit.phase = 'running';
      unit.runningSince = now;
    }
  }

  /** Stops every member of a unit's present run. */
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
    for (const booking of [...unit.allocations]) {
      if (booking.state === 'planned') {
        this.release(booking);
      } else {
        this.events.onStop(booking);
      }
    }
  }

  /** A target listed the end of a run. */
  onEnd(
    room: TargetState,
    end: ListedEnd,
    unit: ActiveUnit | undefined,
    now: Instant,
  ): void {
    const booking = room.findAllocation(end.task, end.run);
    if (unit && unit.progress.run === end.run) {
      this.takeEnd(room, unit, end, booking, now);
    } else if (unit && end.kind === 'done') {
      this.takeEarlierDone(room, unit, end.run);
    }
    if (booking) {
      this.release(booking);
    }
  }

  /** The run is gone without an end: its target or its lease is over, or it never began. */
  onRunLost(booking: Allocation, reason: string): void {
    const {unit} = booking;
    this.release(booking);
    if (unit && !unit.progress.isDone && unit.allocations.length > 0) {
      this.stop(unit, reason);
    }
  }

  /** Notes that runs on a target fail or stand still. */
  onTargetFault(room: TargetState, strikes: number, now: Instant): void {
    room.consecutiveFailures += strikes;
    if (room.consecutiveFailures < AVOIDANCE_FAILURE_THRESHOLD) {
      return;
    }
    const doublings = room.consecutiveFailures - AVOIDANCE_FAILURE_THRESHOLD;
    const length = Math.min(
      MAX_AVOIDANCE_MS,
      MIN_AVOIDANCE_MS * 2 ** doublings,
    );
    room.avoidUntil = now + length;
    this.logger.warn('target-avoided', {
      target: room.info.id,
      strikes: room.consecutiveFailures,
      forMs: length,
    });
  }

  /** Frees a booking's room; the last one settles its unit. */
  release(booking: Allocation): void {
    booking.target.release(booking);
    const {unit} = booking;
    if (!unit) {
      return;
    }
    unit.allocations = unit.allocations.filter(other => other !== booking);
    if (unit.allocations.length === 0) {
      unit.phase = 'waiting';
      unit.progress.placedOn = undefined;
      this.events.onChange(unit.job);
    }
  }

  /** A run that was given up, such as behind a cut, did its work all the same. */
  private takeEarlierDone(
    room: TargetState,
    unit: ActiveUnit,
    run: number,
  ): void {
    const isOpen = !unit.progress.isDone && !unit.step.isLongRunning;
    if (!isOpen || run > unit.progress.run) {
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
      target: room.info.id,
    });
    this.stop(unit, 'an earlier run of it is done');
    this.events.onChange(unit.job);
  }

  private takeEnd(
    room: TargetState,
    unit: ActiveUnit,
    end: ListedEnd,
    booking: Allocation | undefined,
    now: Instant,
  ): void {
    if (end.checkpoint !== '') {
      unit.progress.checkpoint = end.checkpoint;
    }
    if (end.kind === 'done' && !unit.step.isLongRunning) {
      this.takeDone(room, unit, booking, now);
    } else if (end.kind === 'failed') {
      this.takeFailure(room, unit, end.run, now);
    }
    // The members of a gang end together; stopping the others makes sure of it.
    const others = unit.allocations.some(other => other !== booking);
    if (others && end.kind !== 'done') {
      this.stop(unit, `a member ended as ${end.kind}`);
    }
    this.events.onChange(unit.job);
  }

  private takeDone(
    room: TargetState,
    unit: ActiveUnit,
    booking: Allocation | undefined,
    now: Instant,
  ): void {
    room.consecutiveFailures = 0;
    if (unit.progress.isDone) {
      return;
    }
    unit.progress.isDone = true;
    unit.progress.checkpoint = '';
    const hasRunWhole =
      unit.progress.run === 1 && !unit.hasLocalityPenalty && booking;
    if (hasRunWhole) {
      const took = now - unit.runningSince;
      const {queue} = unit.job.accepted;
      if (unit.step.isGang) {
        compareMemberRates(unit.allocations);
      } else {
        room.recordDurationRatio(
          took / this.estimates.estimateDuration(queue, unit.step.estimateMs),
        );
      }
      this.estimates.recordDuration(queue, unit.step.estimateMs, took);
    }
  }

  private takeFailure(
    room: TargetState,
    unit: ActiveUnit,
    run: number,
    now: Instant,
  ): void {
    if (unit.progress.lastFailedRun >= run) {
      return;
    }
    unit.progress.lastFailedRun = run;
    unit.retryAt = now + FAILURE_BACKOFF_MS;
    if (unit.step.isLongRunning) {
      return;
    }
    unit.progress.failureCount++;
    // A unit that fails wherever it goes says nothing of the targets.
    if (unit.progress.failureCount === 1) {
      this.onTargetFault(room, 1, now);
    }
    unit.avoidedTargets.add(room.info.id);
    this.logger.info('run-failed', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      run,
      target: room.info.id,
      failures: unit.progress.failureCount,
      allowed: unit.job.accepted.terms.maxAttempts,
    });
    unit.job.hasFailed ||= hasNoAttemptLeft(unit);
  }
}

/** Name of a member's task. */
export function formatMemberTaskName(unit: ActiveUnit, member: number): string {
  return formatTaskName({
    jobId: unit.job.id,
    occurrence: unit.occurrence,
    step: unit.stepIndex,
    index: unit.step.isGang ? member : unit.unitIndex,
  });
}
