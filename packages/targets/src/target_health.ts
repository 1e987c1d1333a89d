/** Tracks the health of targets, and decides whether a target can take work. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {TargetCondition} from '@galenavalve/placement';

/**
 * Rules of the quarantine: the time in which a target on which different jobs
 * failed gets no work.
 */
export interface QuarantineRules {
  /** Number of different jobs that fail without a success in between before the quarantine. */
  quarantineFailures: number;
  /** Length of the first quarantine in seconds; doubled at each repetition. */
  quarantineSeconds: number;
}

const MAX_QUARANTINE_MS: Milliseconds = 3_600_000;

/** Time for which a target is avoided after a refusal; doubled at each repetition. */
const BASE_BACKOFF_MS: Milliseconds = 500;
const MAX_BACKOFF_MS: Milliseconds = 30_000;

/** Largest number of jobs whose failures are stored. */
const MAX_REMEMBERED_JOBS = 10_000;

/** Evidence about the health of one target. */
interface Evidence {
  isUnreachable: boolean;
  isLeaving: boolean;
  /** Jobs that failed on it since its last success. */
  failedJobs: Set<string>;
  /** Refusals since its last success. */
  refusals: number;
  avoidedUntil: Instant;
  quarantines: number;
  quarantinedUntil: Instant;
}

/** Tracks the health of a domain's targets. */
export class TargetHealth {
  private readonly evidence = new Map<string, Evidence>();
  /** Targets on which each job failed; a job that fails on all targets must not quarantine them. */
  private readonly failedTargetsByJob = new Map<string, Set<string>>();

  /** `getRules` returns the rules of the current configuration. */
  constructor(private readonly getRules: () => QuarantineRules) {}

  // Commands

  /** Records that a task of the job failed on the target, or that the target lost it. */
  recordFailure(target: string, jobId: string, now: Instant): void {
    const evidence = this.getOrCreateEvidence(target);
    evidence.failedJobs.add(jobId);
    this.rememberJob(jobId, target);
    const isProbationRun =
      evidence.quarantines > 0 && now >= evidence.quarantinedUntil;
    const hasReachedLimit =
      this.computeFailureWeight(evidence) >= this.getRules().quarantineFailures;
    if (
      now >= evidence.quarantinedUntil &&
      (isProbationRun || hasReachedLimit)
    ) {
      this.quarantine(evidence, now);
    }
  }

  /** Records that the target refused a reservation or a start, or did not respond to it. */
  recordRefusal(target: string, now: Instant): void {
    const evidence = this.getOrCreateEvidence(target);
    evidence.refusals += 1;
    const backoffMs = BASE_BACKOFF_MS * 2 ** (evidence.refusals - 1);
    evidence.avoidedUntil = now + Math.min(backoffMs, MAX_BACKOFF_MS);
  }

  /**
   * Records that a gang with a member on the target succeeded. A success during a
   * quarantine does not end it, because the gang started before.
   */
  recordSuccess(target: string, now: Instant): void {
    const evidence = this.getOrCreateEvidence(target);
    evidence.refusals = 0;
    evidence.avoidedUntil = -Infinity;
    evidence.failedJobs.clear();
    if (now >= evidence.quarantinedUntil) {
      evidence.quarantines = 0;
    }
  }

  setUnreachable(target: string, isUnreachable: boolean): void {
    this.getOrCreateEvidence(target).isUnreachable = isUnreachable;
  }

  setLeaving(target: string, isLeaving: boolean): void {
    this.getOrCreateEvidence(target).isLeaving = isLeaving;
  }

  /** Removes a target that is no longer in the inventory. */
  remove(target: string): void {
    this.evidence.delete(target);
  }

  // Queries

  getCondition(target: string, now: Instant): TargetCondition {
    const evidence = this.evidence.get(target);
    if (!evidence) {
      return 'well';
    }
    if (evidence.isLeaving) {
      return 'leaving';
    }
    if (evidence.isUnreachable) {
      return 'unreachable';
    }
    const until = Math.max(evidence.quarantinedUntil, evidence.avoidedUntil);
    return now < until ? 'quarantined' : 'well';
  }

  /**
   * Returns whether the target is on probation: its quarantine is over and no gang
   * has succeeded on it since. It then gets repeatable work only.
   */
  isOnProbation(target: string, now: Instant): boolean {
    const evidence = this.evidence.get(target);
    return (
      evidence !== undefined &&
      evidence.quarantines > 0 &&
      now >= evidence.quarantinedUntil
    );
  }

  private quarantine(evidence: Evidence, now: Instant): void {
    const lengthMs =
      this.getRules().quarantineSeconds * 1000 * 2 ** evidence.quarantines;
    evidence.quarantinedUntil = now + Math.min(lengthMs, MAX_QUARANTINE_MS);
    evidence.quarantines += 1;
    evidence.failedJobs.clear();
  }

  /** Computes the number of failed jobs; a job that failed on n targets counts 1/n on each. */
  private computeFailureWeight(evidence: Evidence): number {
    let weight = 0;
    for (const jobId of evidence.failedJobs) {
      weight += 1 / (this.failedTargetsByJob.get(jobId)?.size ?? 1);
    }
    return weight;
  }

  private rememberJob(jobId: string, target: string): void {
    const targets = this.failedTargetsByJob.get(jobId) ?? new Set();
    targets.add(target);
    this.failedTargetsByJob.set(jobId, targets);
    if (this.failedTargetsByJob.size > MAX_REMEMBERED_JOBS) {
      const oldest = this.failedTargetsByJob.keys().next().value;
      this.failedTargetsByJob.delete(oldest ?? jobId);
    }
  }

  private getOrCreateEvidence(target: string): Evidence {
    let evidence = this.evidence.get(target);
    if (!evidence) {
      evidence = {
        isUnreachable: false,
        isLeaving: false,
        failedJobs: new Set(),
        refusals: 0,
        avoidedUntil: -Infinity,
        quarantines: 0,
        quarantinedUntil: -Infinity,
      };
      this.evidence.set(target, evidence);
    }
    return evidence;
  }
}
