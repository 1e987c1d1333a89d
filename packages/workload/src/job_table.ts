/** State of the job log. Every instance derives the same table from the same records. */
import {type Logger, describeError} from '@galenavalve/shared';
import type {AcceptedJob} from './accepted_job.js';
import {
  EarlyCancellations,
  parseEarlyCancellationKey,
} from './early_cancellation.js';
import {
  type JobRecord,
  type Leadership,
  type StoredRecord,
  decodeRecord,
} from './keyed_record.js';
import {estimateJobBytes} from './job_memory.js';
import {countOpenTasks} from './job_size.js';
import type {StoredProgress} from './stored_progress.js';
import {WorkspaceTotals} from './workspace_totals.js';

/** State of a job as callers see it. */
export type JobState =
  'queued' | 'running' | 'complete' | 'failed' | 'cancelled';

/** One job of the table. */
export interface JobEntry {
  id: string;
  job: AcceptedJob;
  isCancelled: boolean;
  /** Whether a caller was told that the job is complete before its progress said so; it must not run again. */
  isKnownComplete: boolean;
  /** Absent until the leader has written the first progress record. */
  progress?: StoredProgress;
  /** Values of the records that hold the details of `progress`, by index; absent if it was never split. */
  progressParts?: Map<number, string>;
}

/** Table of jobs, derived from the records of the job log. */
export class JobTable {
  private readonly entries = new Map<string, JobEntry>();
  /** Cancellations of jobs that the log did not have at that time. */
  readonly earlyCancellations = new EarlyCancellations();
  /** Jobs whose cancellation was read before their acceptance. */
  private readonly pendingCancellations = new Set<string>();
  /** Jobs whose completion was read before their acceptance. */
  private readonly pendingCompletions = new Set<string>();
  /** Progress that was read before the acceptance of its job, by job. */
  private readonly pendingProgress = new Map<string, StoredProgress>();
  /** Parts of progress that was split, by job, whether or not its acceptance was read. */
  private readonly progressParts = new Map<string, Map<number, string>>();
  /** Offset of the newest applied record of each key; needed because the pages of newest records overlap the tail of the log. */
  private readonly newestOffsets = new Map<string, number>();
  private newestLeadership?: Leadership;
  /** Tasks of the jobs that have not ended, by workspace. */
  private readonly openTasks = new WorkspaceTotals();
  /** Estimated heap of all jobs in bytes, by workspace. */
  private readonly jobBytes = new WorkspaceTotals();

  constructor(private readonly logger: Logger) {}

  /**
   * Applies a record unless one of its key with the same or a higher offset
   * was applied. Returns the decoded record, or undefined if it was not
   * applied. A repeated acceptance is not applied, since it adds nothing.
   */
  apply(record: StoredRecord): JobRecord | undefined {
    const appliedOffset = this.newestOffsets.get(record.key);
    if (appliedOffset !== undefined && appliedOffset >= record.offset) {
      return undefined;
    }
    this.newestOffsets.set(record.key, record.offset);
    if (record.value === '') {
      this.newestOffsets.delete(record.key);
    }
    const decoded = this.decode(record);
    if (!decoded || this.isRepeatedAcceptance(decoded)) {
      return undefined;
    }
    this.applyDecoded(decoded);
    return decoded;
  }

  /** Returns the job with an id, if there is one. */
  find(id: string): JobEntry | undefined {
    return this.entries.get(id);
  }

  /** Lists all jobs. */
  listEntries(): IterableIterator<JobEntry> {
    return this.entries.values();
  }

  /** The leadership with the highest epoch that was read. */
  get leadership(): Leadership | undefined {
    return this.newestLeadership;
  }

  /** Counts the tasks of all jobs that have not ended, or of those of one workspace. */
  countOpenTasks(workspace?: string): number {
    return this.openTasks.get(workspace);
  }

  /** Returns the estimated heap in bytes of all jobs, open or not, or of those of one workspace. */
  countJobBytes(workspace?: string): number {
    return this.jobBytes.get(workspace);
  }

  /** Counts the jobs of a queue of which no task has started; schedules are not considered. */
  countQueuedJobs(queue: string): number {
    let count = 0;
    for (const entry of this.entries.values()) {
      const isQueued =
        entry.job.queue === queue && getJobState(entry) === 'queued';
      count += isQueued ? 1 : 0;
    }
    return count;
  }

  private decode(record: StoredRecord): JobRecord | undefined {
    try {
      return decodeRecord(record);
    } catch (error) {
      this.logger.error('record-unreadable', {
        key: record.key,
        offset: record.offset,
        problem: describeError(error),
      });
      return undefined;
    }
  }

  private isRepeatedAcceptance(record: JobRecord): boolean {
    return record.kind === 'accepted' && this.entries.has(record.id);
  }

  private applyDecoded(record: JobRecord): void {
    switch (record.kind) {
      case 'leadership':
        if (
          !this.newestLeadership ||
          record.leadership.epoch >= this.newestLeadership.epoch
        ) {
          this.newestLeadership = record.leadership;
        }
        return;
      case 'accepted':
        this.addJob(record.id, record.job);
        return;
      case 'cancelled':
        this.cancelJob(record.id);
        return;
      case 'early-cancellation':
        this.applyEarlyCancellation(record);
        return;
      case 'completed':
        this.completeJob(record.id);
        return;
      case 'progress':
        this.setProgress(record.id, record.progress);
        return;
      case 'progress-part':
        this.setProgressPart(record);
        return;
      case 'deleted':
        this.deleteJob(record.id);
        this.pendingCancellations.delete(record.id);
        this.pendingCompletions.delete(record.id);
        this.pendingProgress.delete(record.id);
        this.progressParts.delete(record.id);
    }
  }

  private addJob(id: string, job: AcceptedJob): void {
    const entry: JobEntry = {
      id,
      job,
      isCancelled:
        this.pendingCancellations.delete(id) ||
        this.earlyCancellations.isCancelled(id, job),
      isKnownComplete: this.pendingCompletions.delete(id),
      progress: this.pendingProgress.get(id),
      progressParts: this.progressParts.get(id),
    };
    this.entries.set(id, entry);
    this.pendingProgress.delete(id);
    this.addJobBytes(entry, 1);
    if (isOpen(entry)) {
      this.addOpenTasks(job, 1);
    } else {
      this.dropPayload(entry);
    }
  }

  private deleteJob(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      this.addJobBytes(entry, -1);
      if (isOpen(entry)) {
        this.addOpenTasks(entry.job, -1);
      }
    }
    this.entries.delete(id);
  }

  private addJobBytes({job}: JobEntry, sign: 1 | -1): void {
    this.jobBytes.add(job.workspace, sign * estimateJobBytes(job.spec));
  }

  /** Drops what nobody needs of a job that has ended. */
  private dropPayload(entry: JobEntry): void {
    this.addJobBytes(entry, -1);
    const {job} = entry;
    entry.job = {...job, spec: {...job.spec, payload: ''}};
    this.addJobBytes(entry, 1);
  }

  private addOpenTasks({workspace, spec}: AcceptedJob, sign: 1 | -1): void {
    this.openTasks.add(workspace, sign * countOpenTasks(spec));
  }

  /** Marks a job as cancelled, or remembers that for its acceptance: the pages of newest records may list the records of a job in any order. */
  private cancelJob(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      entry.isCancelled = true;
    } else {
      this.pendingCancellations.add(id);
    }
  }

  /** Cancels the job that a caller has cancelled, if it is its own, and remembers the cancellation for a later acceptance. */
  private applyEarlyCancellation({
    key,
    value,
  }: Extract<JobRecord, {kind: 'early-cancellation'}>): void {
    if (!value) {
      this.earlyCancellations.delete(key);
      return;
    }
    this.earlyCancellations.set(key, value);
    const id = parseEarlyCancellationKey(key);
    const entry = this.entries.get(id);
    if (entry && this.earlyCancellations.isCancelled(id, entry.job)) {
      entry.isCancelled = true;
    }
  }

  /** Marks a job as complete, or remembers that for its acceptance. */
  private completeJob(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      entry.isKnownComplete = true;
    } else {
      this.pendingCompletions.add(id);
    }
  }

  private setProgressPart({
    id,
    index,
    value,
  }: Extract<JobRecord, {kind: 'progress-part'}>): void {
    const parts = this.progressParts.get(id) ?? new Map<number, string>();
    if (value === undefined) {
      parts.delete(index);
    } else {
      parts.set(index, value);
    }
    if (parts.size > 0) {
      this.progressParts.set(id, parts);
    } else {
      this.progressParts.delete(id);
    }
    const entry = this.entries.get(id);
    if (entry) {
      entry.progressParts = this.progressParts.get(id);
    }
  }

  private setProgress(id: string, progress: StoredProgress): void {
    const entry = this.entries.get(id);
    if (entry) {
      const wasOpen = isOpen(entry);
      entry.progress = progress;
      if (wasOpen && !isOpen(entry)) {
        this.addOpenTasks(entry.job, -1);
        this.dropPayload(entry);
      }
    } else {
      this.pendingProgress.set(id, progress);
    }
  }
}

/** Whether the leader keeps the job's tasks, since its progress says that it has not ended. */
function isOpen({progress}: JobEntry): boolean {
  return (progress?.outcome ?? 'active') === 'active';
}

/** Returns the state of a job as callers see it. */
export function getJobState(entry: JobEntry): JobState {
  if (entry.isKnownComplete) {
    return 'complete';
  }
  const outcome = entry.progress?.outcome ?? 'active';
  if (outcome === 'complete' || outcome === 'failed') {
    return outcome;
  }
  if (entry.isCancelled || outcome === 'cancelled') {
    return 'cancelled';
  }
  return entry.progress?.hasBegun ? 'running' : 'queued';
}
