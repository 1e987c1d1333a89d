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
 * Many targets that crash at one moment have a common cause, which is known only
 * when several of them are back. Until then a crash counts, but fails no job; it
 * is taken back if the cause turns out to be common.
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
  hasNeverStarted,
} from './active_job.js';
import {type AgeRange, EvidenceFold} from './crash_evidence.js';
import {
  CRASH_MEMORY_MS,
  type Crash,
  CrashMoments,
  createCrash,
} from './crash_moments.js';
import type {TargetState} from './target_state.js';

/** Number of targets that may crash under a task at the same age of its runs before it is given up. */
const MAX_CRASHES = 3;

/** Number of targets that may crash under a task at any age of its runs before it is given up. */
const MAX_TOTAL_CRASHES = 5;

/** Time after a crash in which other targets that crashed with it are found; before it has passed, the crash fails no job. */
const VERDICT_DELAY_MS: Milliseconds = 1500;

/** Age of a run, in milliseconds, below which a crash may have been caused by its start: the interval of listings. */
const MAX_START_AGE_MS: Milliseconds = 1000;

/** Number of crashes from which on a member is isolated whatever the age of its runs. */
const MIN_REPEATED_CRASHES = 2;

/** Attributes crashes of targets for one dispatcher. */
export class CrashAttribution {
  /** Incarnations whose crashes have been counted, by this leader or an earlier one. */
  private readonly counted = new Set<string>();
  /** Crashes that this leader has found. */
  private readonly found = new WeakMap<TargetState, Crash>();
  private readonly moments = new CrashMoments();
  /** Evidence of which a part may be taken back. */
  private readonly unsettled = new Map<
    CrashEvidence,
    {unit: ActiveUnit; fold: EvidenceFold}
  >();

  constructor(
    private readonly onChange: (job: ActiveJob) => void,
    private readonly logger: Logger,
  ) {}

  /** Called when a unit was read from the log. */
  onAdopted({job, progress}: ActiveUnit): void {
    for (const evidence of progress.crashes ?? []) {
      evidence.incarnations.forEach(key => this.counted.add(key));
      // The previous leader may have found the last crash too late to tell whether others crashed with it.
      evidence.count = Math.min(evidence.count, MAX_CRASHES - 1);
      job.hasFailed ||= isExhausted(evidence);
    }
  }

  /**
   * Called when an incarnation of a target has ended without being drained,
   * before its allocations are released.
   */
  onCrash(target: TargetState, now: Instant): void {
    const runs = listStartedRuns(target);
    const likely = runs.filter(isLikelySuspect);
    const crash =
      this.found.get(target) ??
      createCrash(target, {suspects: likely, runs}, now);
    if (!this.found.has(target)) {
      this.found.set(target, crash);
      this.moments.add(crash);
    }
    const suspects = likely.length > 0 ? likely : runs;
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
    for (const suspect of suspects) {
      const {unit, memberIndex} = suspect;
      const evidence = findOrAddCrashEvidence(unit, memberIndex);
      const known = this.unsettled.get(evidence);
      const fold = known?.fold ?? new EvidenceFold(evidence);
      const age = computeCrashAge(suspect, now);
      fold.add({crash, suspect, age}, target.key);
      this.unsettled.set(evidence, {unit, fold});
      unit.lastCrashAt = now;
      if (isExhausted(evidence)) {
        unit.retryAt = Math.max(unit.retryAt, now + VERDICT_DELAY_MS);
      }
    }
    this.logger.info('target-crashed', {
      target: target.key,
      runs: target.allocations.size + target.lapsedRuns.length,
      suspects: suspects.slice(0, 8).map(({task, unit, memberIndex}) => ({
        task,
        crashes: findCrashEvidence(unit, memberIndex)?.count,
      })),
    });
    new Set(suspects.map(({unit}) => unit.job)).forEach(this.onChange);
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
      this.unsettled.delete(evidence);
      this.onChange(unit.job);
    }
  }

  /** Takes back crashes that have turned out to have a common cause, and gives up tasks under which too many others happened. */
  onTick(now: Instant): void {
    const hasNews = this.moments.onTick(now);
    for (const [evidence, {unit, fold}] of this.unsettled) {
      const wasExhausted = isExhausted(evidence);
      const hasChanged = fold.settle(
        ({crash, suspect}) =>
          hasNews && this.moments.hasCommonCause(crash, suspect),
        ({crash}) => now - crash.detectedAt > CRASH_MEMORY_MS,
      );
      if (fold.isSettled) {
        this.unsettled.delete(evidence);
      }
      if (hasChanged) {
        this.onTakenBack(unit, evidence, wasExhausted, now);
      }
      if (now - fold.lastCrashAt >= VERDICT_DELAY_MS) {
        this.giveUpIfExhausted(unit, evidence);
      }
    }
  }

  private onTakenBack(
    unit: ActiveUnit,
    evidence: CrashEvidence,
    wasExhausted: boolean,
    now: Instant,
  ): void {
    this.logger.info('crash-taken-back', {
      job: unit.job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      member: evidence.member,
      crashes: evidence.count,
      total: evidence.total,
    });
    if (wasExhausted && !isExhausted(evidence)) {
      unit.retryAt = Math.min(unit.retryAt, now);
    }
    this.onChange(unit.job);
  }

  private giveUpIfExhausted(unit: ActiveUnit, evidence: CrashEvidence): void {
    const {job} = unit;
    if (!isExhausted(evidence) || unit.progress.isDone || job.hasFailed) {
      return;
    }
    job.hasFailed = true;
    this.logger.warn('job-given-up', {
      job: job.id,
      step: unit.stepIndex,
      unit: unit.unitIndex,
      runs: unit.progress.run,
      crashes: unit.progress.crashes,
    });
    this.onChange(job);
  }
}

/** Whether too many targets have crashed under a member. */
function isExhausted({count, total}: CrashEvidence): boolean {
  return count >= MAX_CRASHES || total >= MAX_TOTAL_CRASHES;
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

/** Returns the allocations of a crashed target whose runs may have been on it. */
function listStartedRuns(target: TargetState): PlacedAllocation[] {
  return [
    ...[...target.allocations.values()].filter(isStarted),
    ...target.lapsedRuns.filter(isLapsedSuspect),
  ];
}

/** Whether a run may have crashed its target when it started, or was a suspect before. */
function isLikelySuspect({
  isListed,
  unit,
  memberIndex,
}: PlacedAllocation): boolean {
  return !isListed || isSuspect(unit, memberIndex);
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
  const {isMoved, startedAt, target} = allocation;
  if (hasNeverStarted(allocation) || isMoved) {
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

function findOrAddCrashEvidence(
  unit: ActiveUnit,
  member: number,
): CrashEvidence {
  const known = findCrashEvidence(unit, member);
  if (known) {
    return known;
  }
  const first = {
    member,
    count: 0,
    total: 0,
    minAge: 0,
    maxAge: 0,
    incarnations: [],
  };
  unit.progress.crashes ??= [];
  unit.progress.crashes.push(first);
  return first;
}

/** Clears a member of suspicion. The total remains, unless the unit runs for so long that crashes of any cause add up. */
function clearEvidence(unit: ActiveUnit, evidence: CrashEvidence): void {
  evidence.count = 0;
  if (unit.step.isLongRunning) {
    evidence.total = 0;
  }
}
