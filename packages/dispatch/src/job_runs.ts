/** Builds the dispatcher's view of a job from its records, and carries its progress on. */
import type {Instant} from '@galenavalve/shared';
import {
  type JobEntry,
  type Occurrence,
  countOccurrences,
  createOccurrence,
  createProgress,
  isStepDone,
} from '@galenavalve/workload';
import {type JobRun, type UnitRun, hasNoAttemptLeft} from './runs.js';

/** A job that another dispatcher may have begun. `wallNow` is in Unix milliseconds. */
export function createJobRun(
  entry: JobEntry,
  now: Instant,
  wallNow: number,
): JobRun {
  const age = Math.max(0, wallNow - entry.job.acceptedAt);
  const run: JobRun = {
    id: entry.id,
    job: entry.job,
    acceptedAt: now - age,
    progress: entry.progress?.read() ?? createProgress(entry.job.spec),
    isCancelled: entry.isCancelled,
    hasFailed: false,
    units: [],
  };
  for (const occurrence of run.progress.occurrences) {
    addUnits(run, occurrence);
  }
  // The former dispatcher may have gone between the last failure and the job's end.
  run.hasFailed = run.units.some(hasNoAttemptLeft);
  return run;
}

/** Adds the occurrences that are due at `wallNow`. Returns whether there were any. */
export function addDueOccurrences(run: JobRun, wallNow: number): boolean {
  const {schedule} = run.job.spec;
  if (!schedule) {
    return false;
  }
  const {progress} = run;
  let hasAdded = false;
  for (;;) {
    const open = progress.occurrences.map(({index}) => index);
    const next = Math.max(progress.doneOccurrences, ...open.map(i => i + 1));
    const dueAt = schedule.startAt + next * schedule.intervalMs;
    if (next >= schedule.times || wallNow < dueAt) {
      return hasAdded;
    }
    const occurrence = createOccurrence(run.job.spec, next);
    progress.occurrences.push(occurrence);
    addUnits(run, occurrence);
    hasAdded = true;
  }
}

/** Drops occurrences that have ended and settles the job's outcome. `wallNow` is in Unix milliseconds. */
export function settleJob(run: JobRun, wallNow: number): void {
  const {progress} = run;
  dropDoneOccurrences(run);
  const isAlive = run.units.some(unit => unit.bookings.length > 0);
  const total = countOccurrences(run.job.spec);
  if (progress.doneOccurrences >= total) {
    progress.outcome = 'complete';
  } else if (run.hasFailed && !isAlive) {
    progress.outcome = 'failed';
  } else if (run.isCancelled && !isAlive) {
    progress.outcome = 'cancelled';
  }
  if (progress.outcome !== 'active') {
    progress.endedAt ??= wallNow;
  }
}

/** Occurrences count as ended from the first one on, so that one number says which. */
function dropDoneOccurrences(run: JobRun): void {
  const {progress} = run;
  for (;;) {
    const first = progress.occurrences[0];
    if (!first || !first.steps.every(isStepDone)) {
      return;
    }
    const isLast =
      progress.doneOccurrences + 1 >= countOccurrences(run.job.spec);
    progress.doneOccurrences++;
    progress.occurrences.shift();
    if (!isLast) {
      run.units = run.units.filter(
        unit => unit.occurrence !== first.index || unit.bookings.length > 0,
      );
    }
  }
}

function addUnits(run: JobRun, occurrence: Occurrence): void {
  for (const [stepIndex, units] of occurrence.steps.entries()) {
    for (const [unitIndex, progress] of units.entries()) {
      const unit: UnitRun = {
        job: run,
        occurrence: occurrence.index,
        stepIndex,
        unitIndex,
        step: run.job.spec.steps[stepIndex]!,
        progress,
        phase: 'waiting',
        bookings: [],
        placedAt: run.acceptedAt,
        runningSince: run.acceptedAt,
        retryAt: -Infinity,
        avoid: new Set(),
        isFar: false,
        resumeFrom: '',
      };
      run.units.push(unit);
    }
  }
}
