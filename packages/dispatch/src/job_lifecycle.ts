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
import {
  type ActiveJob,
  type ActiveUnit,
  hasNoAttemptLeft,
} from './active_job.js';

/** A job that another dispatcher may have begun. `wallNow` is in Unix milliseconds. */
export function createActiveJob(
  entry: JobEntry,
  now: Instant,
  wallNow: number,
): ActiveJob {
  const age = Math.max(0, wallNow - entry.job.acceptedAt);
  const run: ActiveJob = {
    id: entry.id,
    accepted: entry.job,
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
export function addDueOccurrences(run: ActiveJob, wallNow: number): boolean {
  const {schedule} = run.accepted.spec;
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
    const occurrence = createOccurrence(run.accepted.spec, next);
    progress.occurrences.push(occurrence);
    addUnits(run, occurrence);
    hasAdded = true;
  }
}

/** Drops occurrences that have ended and settles the job's outcome. `wallNow` is in Unix milliseconds. */
export function updateJobOutcome(run: ActiveJob, wallNow: number): void {
  const {progress} = run;
  dropDoneOccurrences(run);
  const isAlive = run.units.some(unit => unit.allocations.length > 0);
  const total = countOccurrences(run.accepted.spec);
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
function dropDoneOccurrences(run: ActiveJob): void {
  const {progress} = run;
  for (;;) {
    const first = progress.occurrences[0];
    if (!first || !first.steps.every(isStepDone)) {
      return;
    }
    const isLast =
      progress.doneOccurrences + 1 >= countOccurrences(run.accepted.spec);
    progress.doneOccurrences++;
    progress.occurrences.shift();
    if (!isLast) {
      run.units = run.units.filter(
        unit => unit.occurrence !== first.index || unit.allocations.length > 0,
      );
    }
  }
}

function addUnits(run: ActiveJob, occurrence: Occurrence): void {
  for (const [stepIndex, units] of occurrence.steps.entries()) {
    for (const [unitIndex, progress] of units.entries()) {
      const unit: ActiveUnit = {
        job: run,
        occurrence: occurrence.index,
        stepIndex,
        unitIndex,
        step: run.accepted.spec.steps[stepIndex]!,
        progress,
        phase: 'waiting',
        allocations: [],
        placedAt: run.acceptedAt,
        runningSince: run.acceptedAt,
        retryAt: -Infinity,
        avoidedTargets: new Set(),
        hasLocalityPenalty: false,
        resumeCheckpoint: '',
      };
      run.units.push(unit);
    }
  }
}
