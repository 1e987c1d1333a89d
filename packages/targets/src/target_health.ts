/** Decides from evidence whether a target can take work. */
import type {Instant, Milliseconds} from '@galenavalve/shared';
import type {TargetCondition} from '@galenavalve/placement';

/** When a target is quarantined, and for how long. */
export interface QuarantineRules {
  /** Failures of different jobs, without a success in between. */
  quarantineFailures: number;
  /** First length in seconds; doubled at each repetition. */
  quarantineSeconds: number;
}

const MAX_QUARANTINE_MS: Milliseconds = 3_600_000;

/** Time for which a target is avoided after a refusal; doubled at each repetition. */
const BASE_BACKOFF_MS: Milliseconds = 500;
const MAX_BACKOFF_MS: Milliseconds = 30_000;

/** Jobs whose failures are remembered. */
const MAX_REMEMBERED_JOBS = 10_000;

/** Evidence on one target. */
interface Evidence {
  isSilent: boolean;
  isLeaving: boolean;
  /** Jobs that failed on it since its last success. */
  failedJobs: Set<string>;
  /** Refusals since its last success. */
  refusals: number;
  avoidedUntil: Instant;
  quarantines: number;
  quarantinedUntil: Instant;
}

/** The health of a domain's targets. */
export class TargetHealth {
  private readonly evidence = new Map<string, Evidence>();
  /** Targets on which a job failed; a job that fails everywhere blames none. */
  private readonly failuresOfJob = new Map<string, Set<string>>();

  /** `rules` gives those in force. */
  constructor(private readonly rules: () => QuarantineRules) {}

  // Commands

  /** A task of the job failed on the target, or the target lost it. */
  noteFailure(target: string, jobId: string, now: Instant): void {
    const evidence = this.of(target);
    evidence.failedJobs.add(jobId);
    this.rememberJob(jobId, target);
    const isProbe =
      evidence.quarantines > 0 && now >= evidence.quarantinedUntil;
    const isEnough = this.weigh(evidence) >= this.rules().quarantineFailures;
    if (now >= evidence.quarantinedUntil && (isProbe || isEnough)) {
      this.quarantine(evidence, now);
    }
  }

  /** The target refused a reservation or a start, or did not answer it. */
  noteRefusal(target: string, now: Instant): void {
    const evidence = this.of(target);
    evidence.refusals += 1;
    const backoff = BASE_BACKOFF_MS * 2 ** (evidence.refusals - 1);
    evidence.avoidedUntil = now + Math.min(backoff, MAX_BACKOFF_MS);
  }

  /** A gang with a member on the target succeeded. One that started before a quarantine does not end it. */
  noteSuccess(target: string, now: Instant): void {
    const evidence = this.of(target);
    evidence.refusals = 0;
    evidence.avoidedUntil = -Infinity;
    evidence.failedJobs.clear();
    if (now >= evidence.quarantinedUntil) {
      evidence.quarantines = 0;
    }
  }

  setUnreachable(target: string, isSilent: boolean): void {
    this.of(target).isSilent = isSilent;
  }

  setLeaving(target: string, isLeaving: boolean): void {
    this.of(target).isLeaving = isLeaving;
  }

  /** The target is no longer in the inventory. */
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
    if (evidence.isSilent) {
      return 'unreachable';
    }
    const until = Math.max(evidence.quarantinedUntil, evidence.avoidedUntil);
    return now < until ? 'quarantined' : 'well';
  }

  /** Whether the target has left a quarantine and has not succeeded since: it gets repeatable work only. */
  isOnProbation(target: string, now: Instant): boolean {
    const evidence = this.evidence.get(target);
    return (
      evidence !== undefined &&
      evidence.quarantines > 0 &&
      now >= evidence.quarantinedUntil
    );
  }

  private quarantine(evidence: Evidence, now: Instant): void {
    const length =
      this.rules().quarantineSeconds * 1000 * 2 ** evidence.quarantines;
    evidence.quarantinedUntil = now + Math.min(length, MAX_QUARANTINE_MS);
    evidence.quarantines += 1;
    evidence.failedJobs.clear();
  }

  /** A job that failed on several targets counts for a part on each. */
  private weigh(evidence: Evidence): number {
    let weight = 0;
    for (const jobId of evidence.failedJobs) {
      weight += 1 / (this.failuresOfJob.get(jobId)?.size ?? 1);
    }
    return weight;
  }

  private rememberJob(jobId: string, target: string): void {
    const targets = this.failuresOfJob.get(jobId) ?? new Set();
    targets.add(target);
    this.failuresOfJob.set(jobId, targets);
    if (this.failuresOfJob.size > MAX_REMEMBERED_JOBS) {
      const oldest = this.failuresOfJob.keys().next().value;
      this.failuresOfJob.delete(oldest ?? jobId);
    }
  }

  private of(target: string): Evidence {
    let evidence = this.evidence.get(target);
    if (!evidence) {
      evidence = {
        isSilent: false,
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
