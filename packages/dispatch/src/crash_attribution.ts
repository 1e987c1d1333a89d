/**
 * Attributes the crash of a target to the runs that may have caused it, and gives
 * up a task under which targets crash again and again.
 *
 * A crash leaves no trace of its cause. Runs that the target never listed as
 * running may have crashed it when they started, and so may runs that are under
 * suspicion already; only if there are none, any run on the target may be the
 * cause. Crashes count together if the member's runs were, or may have been, of
 * the same age: one that outlived the age of an earlier crash did not cause it.
 *
 * The evidence names the incarnations that have crashed. A new leader that finds
 * a run of such an incarnation in the log does not count its crash again.
 */
import type {Instant, Logger, Milliseconds} from '@galenavalve/shared';
import type {CrashEvidence} from '@galenavalve/workload';
import {
  type ActiveJob,
  type ActiveUnit,
  type Allocation,
  hasNoAttemptLeft,
} from './active_job.js';
import type {TargetState} from './target_state.js';

/** Age of a run, in milliseconds, below which a crash may have been caused by its start: the interval of listings. */
const MAX_START_AGE_MS: Milliseconds = 1000;

/** Number of crashes from which on a member is isolated whatever the age of its runs. */
const MIN_REPEATED_CRASHES = 2;

/** Limit of incarnations that the evidence against a member names; a record stays small however long its task runs. */
const MAX_NAMED_INCARNATIONS = 8;

/** Range of ages of a run, in milliseconds. */
interface AgeRange {
  minAge: Milliseconds;
  maxAge: Milliseconds;
}

/** Attributes crashes of targets for one dispatcher. */
export class CrashAttribution {
  /** Incarnations whose crashes have been counted, by this leader or an earlier one. */
  private readonly counted = new Set<string>();

  constructor(
    private readonly onChange: (job: ActiveJob) => void,
    private readonly logger: Logger,
  ) {}

  /** Called when a unit was read from the log. */
  onAdopted({progress}: ActiveUnit): void {
    for (const {incarnations} of progress.crashes ?? []) {
      incarnations.forEach(incarnation => this.counted.add(incarnation));
    }
  }

  /**
   * Called when an incarnation of a target has ended without being drained,
   * before its allocations are released.
   */
  onCrash(target: TargetState, now: Instant): void {
    const suspects = findSuspects(target);
    if (suspects.length === 0) {
      return;
    }
    if (this.counted.has(target.key)) {
      this.logger.info('crash-known', {
        target: target.key,
        runs: target.allocations.size + target.lapsedRuns.length,
      });
      return;
    }
    this.counted.add(target.key);
    for (const allocation of suspects) {
      const {unit, memberIndex} = allocation;
      const age = computeCrashAge(allocation, now);
      const evidence = addCrash(unit, memberIndex, age);
      evidence.incarnations = [...evidence.incarnations, target.key].slice(
        -MAX_NAMED_INCARNATIONS,
      );
      unit.lastCrashAt = now;
    }
    this.logger.info('target-crashed', {
      target: target.key,
      runs: target.allocations.size + target.lapsedRuns.length,
      suspects: suspects.slice(0, 8).map(({task, unit, memberIndex}) => ({
        task,
        crashes: findCrashEvidence(unit, memberIndex)?.count,
      })),
    });
    for (const job of new Set(suspects.map(({unit}) => unit.job))) {
      this.giveUpIfExhausted(job);
      this.onChange(job);
    }
  }

  /** Called when a target lists a run as running. */
  onListed(allocation: Allocation, now: Instant): void {
    const {unit, memberIndex} = allocation;
    const evidence = unit && findCrashEvidence(unit, memberIndex);
    if (!evidence || evidence.count === 0) {
      return;
    }
    const age = now - (allocation.startedAt ?? allocation.createdAt);
    if (age > evidence.maxAge) {
      clearEvidence(unit, evidence);
      this.onChange(unit.job);
    }
  }

  private giveUpIfExhausted(job: ActiveJob): void {
    const exhausted = job.units.find(hasNoAttemptLeft);
    if (exhausted && !job.hasFailed) {
      job.hasFailed = true;
      this.logger.warn('job-given-up', {
        job: job.id,
        step: exhausted.stepIndex,
        unit: exhausted.unitIndex,
        runs: exhausted.progress.run,
        crashes: exhausted.progress.crashes,
      });
    }
  }
}

/** Returns the evidence against a member of a unit; undefined if there is none. */
export function findCrashEvidence(
  unit: ActiveUnit,
  member: number,
): CrashEvidence | undefined {
  return unit.progress.crashes?.find(evidence => evidence.member === member);
}

/** Whether a member is under suspicion of crashing its targets. */
export function isSuspect(unit: ActiveUnit, member: number): boolean {
  const {count = 0} = findCrashEvidence(unit, member) ?? {};
  return count > 0;
}

/** Whether targets have crashed repeatedly under runs of the unit. */
export function hasRepeatedCrashes({progress}: ActiveUnit): boolean {
  return (progress.crashes ?? []).some(
    ({count}) => count >= MIN_REPEATED_CRASHES,
  );
}

/**
 * Whether a member runs apart from other work, so that a further crash harms
 * nothing else and tells whether the member causes it.
 */
export function needsIsolation(unit: ActiveUnit, member: number): boolean {
  const evidence = findCrashEvidence(unit, member);
  return (
    evidence !== undefined &&
    (evidence.count >= MIN_REPEATED_CRASHES ||
      (evidence.count > 0 && evidence.minAge < MAX_START_AGE_MS))
  );
}

/** Whether a run on the target is isolated and still under suspicion; the target then takes no other work. */
export function isClosedToOthers({allocations}: TargetState): boolean {
  for (const {unit, memberIndex, isIsolated} of allocations.values()) {
    if (unit && isIsolated && needsIsolation(unit, memberIndex)) {
      return true;
    }
  }
  return false;
}

type PlacedAllocation = Allocation & {unit: ActiveUnit};

/** Returns the allocations of a crashed target whose runs may have caused the crash. */
function findSuspects(target: TargetState): PlacedAllocation[] {
  const started = [
    ...[...target.allocations.values()].filter(isStarted),
    ...target.lapsedRuns.filter(isLapsedSuspect),
  ];
  const suspects = started.filter(
    ({isListed, unit, memberIndex}) =>
      !isListed || isSuspect(unit, memberIndex),
  );
  return suspects.length > 0 ? suspects : started;
}

/** Whether a run that was released with its lease belongs to a unit that is not done; the unit may have started again since. */
function isLapsedSuspect(
  allocation: Allocation,
): allocation is PlacedAllocation {
  const {unit} = allocation;
  return unit !== undefined && !unit.progress.isDone && mayHaveRun(allocation);
}

/** Whether a run of a unit that is not done may have been on the target when it crashed. */
function isStarted(allocation: Allocation): allocation is PlacedAllocation {
  const {unit, run} = allocation;
  const isCurrentRun =
    unit !== undefined && run === unit.progress.run && !unit.progress.isDone;
  return isCurrentRun && mayHaveRun(allocation);
}

function mayHaveRun(allocation: Allocation): boolean {
  const {isConfirmed, isListed} = allocation;
  return isConfirmed || isListed || mayHaveStarted(allocation);
}

/** Whether a start command without a response may have been carried out before the target crashed. */
function mayHaveStarted(allocation: Allocation): boolean {
  const {state, isMoved, startedAt, target} = allocation;
  if (state === 'planned' || isMoved) {
    return false;
  }
  const {unresponsiveSince = Infinity} = target;
  return startedAt === undefined || startedAt <= unresponsiveSince;
}

function computeCrashAge(
  {unit, startedAt, createdAt, listedAt, isListed}: PlacedAllocation,
  now: Instant,
): AgeRange {
  // A run that was taken over may have started at any time since its job was accepted.
  return {
    minAge: isListed ? listedAt - (startedAt ?? createdAt) : 0,
    maxAge: now - (startedAt ?? unit.job.acceptedAt),
  };
}

/** Counts a crash against a member and returns the evidence against it. */
function addCrash(
  unit: ActiveUnit,
  member: number,
  age: AgeRange,
): CrashEvidence {
  const evidence = findCrashEvidence(unit, member);
  if (!evidence) {
    const first = {member, count: 1, total: 1, ...age, incarnations: []};
    unit.progress.crashes ??= [];
    unit.progress.crashes.push(first);
    return first;
  }
  const minAge = Math.max(evidence.minAge, age.minAge);
  const maxAge = Math.min(evidence.maxAge, age.maxAge);
  const hasSameAge = evidence.count > 0 && minAge <= maxAge;
  Object.assign(evidence, hasSameAge ? {minAge, maxAge} : age);
  evidence.count = hasSameAge ? evidence.count + 1 : 1;
  evidence.total++;
  return evidence;
}

/** Clears a member of suspicion. The total remains, unless the unit runs for so long that crashes of any cause add up. */
function clearEvidence(unit: ActiveUnit, evidence: CrashEvidence): void {
  evidence.count = 0;
  if (unit.step.isLongRunning) {
    evidence.total = 0;
  }
}
