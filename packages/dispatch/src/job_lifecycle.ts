/**
 * Creates active jobs from their records and advances their occurrences and
 * outcomes.
 */
import type {Instant} from '@galenavalve/shared';
import {
  type JobEntry,
  type Occurrence,
  type Progress,
  computeMaxOpenOccurrences,
  countOccurrences,
  createOccurrence,
  createProgress,
  isProgressOf,
  isStepDone,
} from '@galenavalve/workload';
import {
  type ActiveJob,
  type ActiveUnit,
  hasNoAttemptLeft,
} from './active_job.js';

/**
 * Creates the state of an accepted job, which a previous leader may have
 * started. `wallNow` is in Unix milliseconds. Throws if the progress in the log
 * is malformed or that of another job.
 */
export function createActiveJob(
  entry: JobEntry,
  now: Instant,
  wallNow: number,
): ActiveJob {
  const progress =
    entry.progress?.read(entry.progressParts) ?? createFirstProgress(entry);
  if (!isProgressOf(entry.job.spec, progress)) {
    throw new RangeError('the progress does not fit the steps of the job');
  }
  const age = Math.max(0, wallNow - entry.job.acceptedAt);
  const job: ActiveJob = {
    id: entry.id,
    accepted: entry.job,
    acceptedAt: now - age,
    acknowledgedAt: now - age,
    progress,
    recordedParts: countRecordedParts(entry),
    isCancelled: entry.isCancelled,
    hasFailed: false,
    failedTargets: new Set(),
    units: [],
  };
  for (const occurrence of job.progress.occurrences) {
    addUnits(job, occurrence);
  }
  // The previous leader may have failed after it recorded the last failed
  // attempt and before it recorded the job's outcome.
  job.hasFailed = job.units.some(hasNoAttemptLeft);
  return job;
}

/**
 * Adds the occurrences that are due at `wallNow`, in Unix milliseconds, up to the
 * limits of open ones. Returns whether any was added.
 */
export function addDueOccurrences(job: ActiveJob, wallNow: number): boolean {
  const {schedule} = job.accepted.spec;
  if (!schedule) {
    return false;
  }
  const {progress} = job;
  const first = progress.occurrences.reduce(
    (next, {index}) => Math.max(next, index + 1),
    progress.doneOccurrences,
  );
  const maxOpen = computeMaxOpenOccurrences(job.accepted.spec);
  let next = first;
  while (
    next < schedule.times &&
    wallNow >= schedule.startAt + next * schedule.intervalMs &&
    progress.occurrences.length < maxOpen
  ) {
    const occurrence = createOccurrence(job.accepted.spec, next);
    progress.occurrences.push(occurrence);
    addUnits(job, occurrence);
    next++;
  }
  return next > first;
}

/** Whether every task of every occurrence of the job has ended as done. */
export function isJobDone({accepted, progress}: ActiveJob): boolean {
  const doneOccurrences = progress.occurrences.filter(({steps}) =>
    steps.every(isStepDone),
  ).length;
  return (
    progress.doneOccurrences + doneOccurrences >=
    countOccurrences(accepted.spec)
  );
}

/** Marks all tasks as done, since a caller was told that the job is complete. */
export function markJobDone({accepted, progress, units}: ActiveJob): void {
  progress.doneOccurrences = countOccurrences(accepted.spec);
  progress.occurrences = [];
  units.forEach(unit => {
    unit.progress.isDone = true;
  });
}

/**
 * Drops completed occurrences and determines the job's outcome. `wallNow` is in
 * Unix milliseconds.
 */
export function updateJobOutcome(job: ActiveJob, wallNow: number): void {
  const {progress} = job;
  dropCompletedOccurrences(job);
  const hasAllocations = job.units.some(unit => unit.allocations.length > 0);
  const total = countOccurrences(job.accepted.spec);
  if (progress.doneOccurrences >= total) {
    progress.outcome = 'complete';
  } else if (job.hasFailed && !hasAllocations) {
    progress.outcome = 'failed';
  } else if (job.isCancelled && !hasAllocations) {
    progress.outcome = 'cancelled';
  }
  if (progress.outcome !== 'active') {
    progress.endedAt ??= wallNow;
  }
}

/**
 * Drops completed occurrences in order, so that a single count
 * (`doneOccurrences`) identifies them.
 */
function dropCompletedOccurrences(job: ActiveJob): void {
  const {progress} = job;
  for (;;) {
    const first = progress.occurrences[0];
    if (!first || !first.steps.every(isStepDone)) {
      return;
    }
    const isLast =
      progress.doneOccurrences + 1 >= countOccurrences(job.accepted.spec);
    progress.doneOccurrences++;
    progress.occurrences.shift();
    if (!isLast) {
      job.units = job.units.filter(
        unit => unit.occurrence !== first.index || unit.allocations.length > 0,
      );
    }
  }
}

/** Creates the progress of a job of which the log has none. A cancelled job has no tasks to keep. */
function createFirstProgress({job, isCancelled}: JobEntry): Progress {
  return isCancelled
    ? {outcome: 'active', hasBegun: false, doneOccurrences: 0, occurrences: []}
    : createProgress(job.spec);
}

/** Returns the number of parts up to the last one that the log has; the earlier ones may include deleted ones. */
function countRecordedParts({progressParts}: JobEntry): number {
  return Math.max(0, ...Array.from(progressParts?.keys() ?? [], i => i + 1));
}

function addUnits(job: ActiveJob, occurrence: Occurrence): void {
  const {steps} = job.accepted.spec;
  if (occurrence.steps.length !== steps.length) {
    const problem = `${occurrence.steps.length} steps instead of ${steps.length}`;
    throw new Error(`the progress of job ${job.id} has ${problem}`);
  }
  for (const [stepIndex, units] of occurrence.steps.entries()) {
    for (const [unitIndex, progress] of units.entries()) {
      const unit: ActiveUnit = {
        job,
        occurrence: occurrence.index,
        stepIndex,
        unitIndex,
        step: steps[stepIndex]!,
        progress,
        phase: 'waiting',
        allocations: [],
        placedAt: job.acceptedAt,
        runningSince: job.acceptedAt,
        lastFailureAt: -Infinity,
        lastCrashAt: -Infinity,
        retryAt: -Infinity,
        mayStartUntil: -Infinity,
        avoidedTargets: new Set(),
        hasLocalityPenalty: false,
        resumeCheckpoint: '',
      };
      job.units.push(unit);
    }
  }
}
