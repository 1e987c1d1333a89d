/**
 * Tells crashes of targets that have a common cause from those that tasks may
 * have caused, by the moments at which targets crashed.
 *
 * A crash is known to lie in a span of time. Crashes whose spans have a moment
 * in common may have happened together. If they would need several tasks of
 * different jobs to explain them, all at that moment, they have a cause outside
 * of the tasks.
 */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {Allocation} from './active_job.js';
import {POLL_WAIT_MS} from './settings.js';
import type {TargetState} from './target_state.js';

/** Number of causes, besides the suspect of a crash, that crashes of one moment would need; from it on the cause is common. */
const MIN_SEPARATE_CAUSES = 3;

/** Longest span that tells a moment; a longer one would coincide with anything. */
const MAX_SPAN_MS: Milliseconds = 5000;

/**
 * Length from which on a span is long. A task that crashes its target as it
 * starts leaves a shorter one, between two responses; it must not move the
 * moment that long spans tell.
 */
const MIN_SPAN_MS: Milliseconds = 100;

/**
 * Time without a response from any of several targets, times their number, after
 * which they have most likely crashed: targets are polled each second.
 */
const MAX_SILENCE_MS: Milliseconds = 2 * POLL_WAIT_MS;

/** Time between two starts up to which tasks of one kind, which crash their targets at the same age, may do so at one moment. */
const MAX_START_GAP_MS: Milliseconds = 200;

/** Age of a run up to which it crashes its target as it starts. */
const MAX_START_AGE_MS: Milliseconds = 500;

/** Time for which a crash is remembered; targets that crashed together may be back at different times. */
export const CRASH_MEMORY_MS: Milliseconds = 10_000;

/** A crash of a target. */
export interface Crash {
  /** When the target was last known to be up. */
  after: Instant;
  /** When it was known to have ended. */
  before: Instant;
  detectedAt: Instant;
  /** Runs that may have crashed the target when they started, or were suspects. */
  suspects: readonly Allocation[];
  /** All runs that may have been on the target. */
  runs: readonly Allocation[];
}

/** Range of times in which a moment lies. */
interface MomentRange {
  from: Instant;
  to: Instant;
}

/** Creates the record of a crash that is found at `now`. */
export function createCrash(
  target: TargetState,
  {suspects, runs}: Pick<Crash, 'suspects' | 'runs'>,
  now: Instant,
): Crash {
  const {unresponsiveSince, responseDueAt} = target;
  // A poll that fails before its response is due tells of a closed connection.
  const wasClosed =
    unresponsiveSince !== undefined && unresponsiveSince < responseDueAt;
  return {
    after: target.lastClockAt,
    before: Math.max(target.lastClockAt, wasClosed ? unresponsiveSince : now),
    detectedAt: now,
    suspects,
    runs,
  };
}

/** Remembers the crashes of the last seconds. */
export class CrashMoments {
  private crashes: Crash[] = [];
  /** Crashes that may have happened together, by their moment. */
  private groups?: Crash[][];
  private hasNews = false;

  /** Adds a crash, also one of a target without runs. */
  add(crash: Crash): void {
    this.crashes.push(crash);
    this.hasNews = true;
    this.groups = undefined;
  }

  /** Forgets crashes that are too old to tell anything. Returns whether any was added since the last call. */
  onTick(now: Instant): boolean {
    if (this.crashes.some(crash => isOutdated(crash, now))) {
      this.crashes = this.crashes.filter(crash => !isOutdated(crash, now));
      this.groups = undefined;
    }
    const {hasNews} = this;
    this.hasNews = false;
    return hasNews;
  }

  /** Whether a crash for which a run is suspected has a common cause with others. */
  hasCommonCause(crash: Crash, suspect: Allocation): boolean {
    this.groups ??= listGroups(this.crashes);
    return this.groups.some(group => {
      const others = group.filter(other => other !== crash);
      return (
        mayBelongTo(crash, others) &&
        needsSeparateCauses(others.filter(other => !mayBeAlike(suspect, other)))
      );
    });
  }
}

/** Whether a crash may have happened at the moment of others. */
function mayBelongTo(
  {after, before}: Crash,
  others: readonly Crash[],
): boolean {
  const {from, to} = computeRange(others);
  const end = Math.min(to, from + MAX_SILENCE_MS / others.length);
  return after <= end && before >= from;
}

/** Returns the times that lie in the spans of all crashes. */
function computeRange(crashes: readonly Crash[]): MomentRange {
  return crashes.reduce(
    (range, {after, before}) => ({
      from: Math.max(range.from, after),
      to: Math.min(range.to, before),
    }),
    {from: -Infinity, to: Infinity},
  );
}

function isOutdated({detectedAt}: Crash, now: Instant): boolean {
  return now - detectedAt > CRASH_MEMORY_MS;
}

/**
 * Whether the cause of another crash may be a task that crashes its target as the
 * suspect does: of the same job, or as it starts, after a start at the same time.
 */
function mayBeAlike(
  suspect: Allocation,
  {suspects, runs, after}: Crash,
): boolean {
  return (suspects.length > 0 ? suspects : runs).some(run => {
    if (run.unit?.job === suspect.unit?.job) {
      return !run.isConfirmed || mayHaveSameStart(run, suspect);
    }
    const isStarting = after - (run.startedAt ?? after) <= MAX_START_AGE_MS;
    return isStarting && mayHaveSameStart(run, suspect);
  });
}

function mayHaveSameStart(run: Allocation, other: Allocation): boolean {
  return (
    run.startedAt === undefined ||
    other.startedAt === undefined ||
    Math.abs(run.startedAt - other.startedAt) <= MAX_START_GAP_MS
  );
}

/** Whether crashes need several causes: a job explains those that its tasks may have caused, and nothing explains one without suspects. */
function needsSeparateCauses(crashes: readonly Crash[]): boolean {
  let remaining = crashes.filter(({suspects}) => suspects.length > 0);
  let causes = crashes.length - remaining.length;
  while (causes < MIN_SEPARATE_CAUSES && remaining.length > 0) {
    const job = findCommonestJob(remaining);
    remaining = remaining.filter(crash => !listSuspectJobs(crash).has(job));
    causes++;
  }
  return causes >= MIN_SEPARATE_CAUSES;
}

function listSuspectJobs({suspects}: Crash): Set<string | undefined> {
  return new Set(suspects.map(({unit}) => unit?.job.id));
}

function findCommonestJob(crashes: readonly Crash[]): string | undefined {
  const counts = new Map<string | undefined, number>();
  for (const crash of crashes) {
    for (const job of listSuspectJobs(crash)) {
      counts.set(job, (counts.get(job) ?? 0) + 1);
    }
  }
  const [commonest] = [...counts].sort(([, a], [, b]) => b - a);
  return commonest?.[0];
}

/** Groups crashes that may have happened at one moment: those of long spans, and those of short ones. */
function listGroups(crashes: readonly Crash[]): Crash[][] {
  const spans = crashes.map(crash => ({
    crash,
    length: crash.before - crash.after,
  }));
  const long = spans.filter(
    ({length}) => length >= MIN_SPAN_MS && length <= MAX_SPAN_MS,
  );
  const short = spans.filter(({length}) => length < MIN_SPAN_MS);
  return [long, short].flatMap(list =>
    groupByMoment(list.map(({crash}) => crash)),
  );
}

/** Groups crashes by the moment that most of them have in common, then the rest likewise. */
function groupByMoment(crashes: readonly Crash[]): Crash[][] {
  const groups: Crash[][] = [];
  let remaining = crashes;
  while (remaining.length >= MIN_SEPARATE_CAUSES) {
    const moment = findCommonestMoment(remaining);
    const isMember = ({after, before}: Crash) =>
      after <= moment && before >= moment;
    groups.push(remaining.filter(isMember));
    remaining = remaining.filter(crash => !isMember(crash));
  }
  return groups;
}

/** Finds a moment that lies in most spans. */
function findCommonestMoment(crashes: readonly Crash[]): Instant {
  const begins = crashes.map(({after}) => after).sort((a, b) => a - b);
  const ends = crashes.map(({before}) => before).sort((a, b) => a - b);
  let highest = 0;
  let moment = -Infinity;
  for (let begun = 0, ended = 0; begun < begins.length; begun++) {
    while (ends[ended]! < begins[begun]!) {
      ended++;
    }
    if (begun + 1 - ended > highest) {
      highest = begun + 1 - ended;
      moment = begins[begun]!;
    }
  }
  return moment;
}
