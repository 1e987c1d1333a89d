/**
 * Evidence of bad targets and bad jobs, kept apart: a target that fails
 * different jobs is quarantined; a job that fails on different targets is
 * ended.
 */
import type {Rules} from '@galenavalve/model';

/** Longest quarantine, in seconds. */
const MAX_QUARANTINE_SECONDS = 3600;

/** What is known against one target. */
interface TargetRecord {
  /** Jobs that failed here since the last success. */
  failedJobs: Set<string>;
  quarantines: number;
  /** Wall-clock milliseconds until which the target gets no work. */
  quarantinedUntil: number;
}

/** Whether work may be placed on a target. */
export type QuarantineState = 'good' | 'on-trial' | 'quarantined';

/** Counts failures by target and by job. */
export class FailureTracker {
  private readonly targets = new Map<string, TargetRecord>();
  private readonly failedTargets = new Map<string, Set<string>>();

  constructor(
    private readonly rules: Pick<
      Rules,
      'quarantineFailures' | 'quarantineSeconds' | 'jobFailures'
    >,
  ) {}

  // Commands

  /** Notes that a task of a job failed on a target. */
  recordFailure(jobId: string, target: string, now: number): void {
    const record = this.recordOf(target);
    const isTrial = this.getQuarantineState(target, now) === 'on-trial';
    record.failedJobs.add(jobId);
    if (isTrial || record.failedJobs.size >= this.rules.quarantineFailures) {
      this.quarantine(record, now);
    }
    this.noteTargetOf(jobId, target);
  }

  /** Notes that a job finished well on a target. */
  recordSuccess(jobId: string, target: string): void {
    this.targets.delete(target);
    this.failedTargets.delete(jobId);
  }

  /** Drops what is known of a job that has ended. */
  forgetJob(jobId: string): void {
    this.failedTargets.delete(jobId);
  }

  // Queries

  /** A target on trial gets repeatable work only. */
  getQuarantineState(target: string, now: number): QuarantineState {
    const record = this.targets.get(target);
    if (!record || record.quarantines === 0) {
      return 'good';
    }
    return now < record.quarantinedUntil ? 'quarantined' : 'on-trial';
  }

  /** When a quarantine ends, in wall-clock milliseconds; undefined when there is none. */
  getQuarantineEnd(target: string): number | undefined {
    const record = this.targets.get(target);
    return record && record.quarantines > 0
      ? record.quarantinedUntil
      : undefined;
  }

  /** Targets that a job failed on. */
  listFailedTargets(jobId: string): string[] {
    return [...(this.failedTargets.get(jobId) ?? [])];
  }

  /** Whether failures on different targets, each good to other jobs, end a job. */
  isJobFailing(jobId: string): boolean {
    const good = this.listFailedTargets(jobId).filter(
      target => !this.isSuspect(target, jobId),
    );
    return good.length >= this.rules.jobFailures;
  }

  /** Whether a target failed another job since its last success. */
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

  private quarantine(record: TargetRecord, now: number): void {
    const seconds = Math.min(
      MAX_QUARANTINE_SECONDS,
      this.rules.quarantineSeconds * 2 ** record.quarantines,
    );
    record.quarantinedUntil = now + seconds * 1000;
    record.quarantines++;
    record.failedJobs.clear();
  }

  private recordOf(target: string): TargetRecord {
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

  private noteTargetOf(jobId: string, target: string): void {
    const targets = this.failedTargets.get(jobId) ?? new Set();
    targets.add(target);
    this.failedTargets.set(jobId, targets);
  }
}
