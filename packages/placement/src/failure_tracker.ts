/**
 * Tracks failures in order to tell faulty targets from faulty jobs: a target on
 * which different jobs fail is quarantined, and a job that fails on different
 * targets is ended.
 */
import type {Rules} from '@galenavalve/model';

/** Maximum length of a quarantine. */
const MAX_QUARANTINE_SECONDS = 3600;

/** Failure history of one target. */
interface TargetFailures {
  /** Jobs that failed here since the last success or quarantine. */
  failedJobs: Set<string>;
  /** Number of quarantines since the last success. */
  quarantines: number;
  /** Wall-clock milliseconds until which the target gets no work. */
  quarantinedUntil: number;
}

/**
 * Whether work may be placed on a target. `on-trial` is probation: the time after
 * a quarantine until the first run there ends.
 */
export type QuarantineState = 'good' | 'on-trial' | 'quarantined';

/** Tracks failures by target and by job. */
export class FailureTracker {
  private readonly targets = new Map<string, TargetFailures>();
  private readonly failedTargets = new Map<string, Set<string>>();

  constructor(
    private readonly rules: Pick<
      Rules,
      'quarantineFailures' | 'quarantineSeconds' | 'jobFailures'
    >,
  ) {}

  // Commands

  /**
   * Records that a task of a job failed on a target at `now` (wall-clock
   * milliseconds). A failure on probation starts the next quarantine at once;
   * each quarantine is twice as long as the one before.
   */
  recordFailure(jobId: string, target: string, now: number): void {
    const record = this.getRecord(target);
    const isOnProbation = this.getQuarantineState(target, now) === 'on-trial';
    record.failedJobs.add(jobId);
    if (
      isOnProbation ||
      record.failedJobs.size >= this.rules.quarantineFailures
    ) {
      this.quarantine(record, now);
    }
    this.addFailedTarget(jobId, target);
  }

  /** Records that a job succeeded on a target; clears the failures of both. */
  recordSuccess(jobId: string, target: string): void {
    this.targets.delete(target);
    this.failedTargets.delete(jobId);
  }

  /** Removes the failures of a job that has ended. */
  forgetJob(jobId: string): void {
    this.failedTargets.delete(jobId);
  }

  // Queries

  /** Returns the quarantine state of a target; on probation it gets repeatable work only. */
  getQuarantineState(target: string, now: number): QuarantineState {
    const record = this.targets.get(target);
    if (!record || record.quarantines === 0) {
      return 'good';
    }
    return now < record.quarantinedUntil ? 'quarantined' : 'on-trial';
  }

  /**
   * Returns the wall-clock milliseconds at which the last quarantine ends or
   * ended, or undefined if there is none.
   */
  getQuarantineEnd(target: string): number | undefined {
    const record = this.targets.get(target);
    return record && record.quarantines > 0
      ? record.quarantinedUntil
      : undefined;
  }

  /** Lists the targets on which a job failed. */
  listFailedTargets(jobId: string): string[] {
    return [...(this.failedTargets.get(jobId) ?? [])];
  }

  /**
   * Returns whether a job failed on so many targets without failures of other
   * jobs that it has to be ended.
   */
  isJobFailing(jobId: string): boolean {
    const unsuspectedTargets = this.listFailedTargets(jobId).filter(
      target => !this.isSuspect(target, jobId),
    );
    return unsuspectedTargets.length >= this.rules.jobFailures;
  }

  /** Returns whether another job failed on a target since its last success. */
  private isSuspect(target: string, jobId: string): boolean {
    const record = this.targets.get(target);
    if (!record) {
      return false;
    }
    return (
      record.quarantines > 0 ||
      [...record.failedJobs].some(other => other !== jobId)
    );
  }

  private quarantine(record: TargetFailures, now: number): void {
    const seconds = Math.min(
      MAX_QUARANTINE_SECONDS,
      this.rules.quarantineSeconds * 2 ** record.quarantines,
    );
    record.quarantinedUntil = now + seconds * 1000;
    record.quarantines++;
    record.failedJobs.clear();
  }

  private getRecord(target: string): TargetFailures {
    let record = this.targets.get(target);
    if (!record) {
      record = {
        failedJobs: new Set(),
        quarantines: 0,
        quarantinedUntil: 0,
      };
      this.targets.set(target, record);
    }
    return record;
  }

  private addFailedTarget(jobId: string, target: string): void {
    const targets = this.failedTargets.get(jobId) ?? new Set();
    targets.add(target);
    this.failedTargets.set(jobId, targets);
  }
}
