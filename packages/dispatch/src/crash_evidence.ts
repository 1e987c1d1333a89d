/** Evidence against one member of a unit: the crashes that are settled, and recent ones that may turn out to have a common cause. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {CrashEvidence} from '@galenavalve/workload';
import type {Allocation} from './active_job.js';
import type {Crash} from './crash_moments.js';

/** Limit of incarnations that the evidence against a member names; a record stays small however long its task runs. */
const MAX_NAMED_INCARNATIONS = 8;

/** Range of ages of a run, in milliseconds. */
export interface AgeRange {
  minAge: Milliseconds;
  maxAge: Milliseconds;
}

/** A crash for which a run is suspected. */
export interface Suspicion {
  crash: Crash;
  suspect: Allocation;
  age: AgeRange;
}

type CrashCounts = Omit<CrashEvidence, 'member' | 'incarnations'>;

/** Folds crashes into the evidence that is written to the log; recent ones can be taken back. */
export class EvidenceFold {
  private settled: CrashCounts;
  private recent: Suspicion[] = [];

  constructor(private readonly evidence: CrashEvidence) {
    const {count, total, minAge, maxAge} = evidence;
    this.settled = {count, total, minAge, maxAge};
  }

  /** Whether no crash can be taken back any more. */
  get isSettled(): boolean {
    return this.recent.length === 0;
  }

  /** When the latest crash was found that can still be taken back; -Infinity if there is none. */
  get lastCrashAt(): Instant {
    return this.recent.at(-1)?.crash.detectedAt ?? -Infinity;
  }

  /** Counts the crash of an incarnation. */
  add(suspicion: Suspicion, incarnation: string): void {
    this.recent.push(suspicion);
    const {incarnations} = this.evidence;
    this.evidence.incarnations = [...incarnations, incarnation].slice(
      -MAX_NAMED_INCARNATIONS,
    );
    this.apply();
  }

  /** Takes back the recent crashes that are `excused` and settles the older ones that are `final`. Returns whether any was taken back. */
  settle(
    isExcused: (suspicion: Suspicion) => boolean,
    isFinal: (suspicion: Suspicion) => boolean,
  ): boolean {
    const kept = this.recent.filter(suspicion => !isExcused(suspicion));
    const hasChanged = kept.length < this.recent.length;
    while (kept.length > 0 && isFinal(kept[0]!)) {
      this.settled = addCrash(this.settled, kept.shift()!.age);
    }
    this.recent = kept;
    this.apply();
    return hasChanged;
  }

  private apply(): void {
    const counts = this.recent.reduce(
      (sum, {age}) => addCrash(sum, age),
      this.settled,
    );
    Object.assign(this.evidence, counts);
  }
}

/** Counts a crash under a run of an age. Crashes count together if they may have happened at the same age. */
function addCrash(counts: CrashCounts, age: AgeRange): CrashCounts {
  const minAge = Math.max(counts.minAge, age.minAge);
  const maxAge = Math.min(counts.maxAge, age.maxAge);
  const hasSameAge = counts.count > 0 && minAge <= maxAge;
  return {
    ...(hasSameAge ? {minAge, maxAge} : age),
    count: hasSameAge ? counts.count + 1 : 1,
    total: counts.total + 1,
  };
}
