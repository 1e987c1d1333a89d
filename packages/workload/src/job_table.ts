/** What the job log says: every instance folds the same records to the same table. */
import {type Logger, describeError} from '@galenavalve/shared';
import type {AcceptedJob} from './accepted_job.js';
import {
  type JobRecord,
  type Leadership,
  type StoredRecord,
  decodeRecord,
} from './keyed_record.js';
import type {StoredProgress} from './stored_progress.js';

/** What callers see of a job. */
export type JobState =
  'queued' | 'running' | 'complete' | 'failed' | 'cancelled';

/** One job of the table. */
export interface JobEntry {
  id: string;
  job: AcceptedJob;
  isCancelled: boolean;
  /** Absent until the dispatcher first wrote it. */
  progress?: StoredProgress;
}

/** The folded state of the job log. */
export class JobTable {
  private readonly entries = new Map<string, JobEntry>();
  private readonly cancelledBefore = new Set<string>();
  private readonly progressBefore = new Map<string, StoredProgress>();
  /** Offset of the newest record applied, by key: pages of a snapshot overlap the tail. */
  private readonly newest = new Map<string, number>();
  private office?: Leadership;

  constructor(private readonly logger: Logger) {}

  /**
   * Applies a record unless a newer one of its key was applied. Returns what
   * it said; nothing for a repeated acceptance, which says nothing new.
   */
  apply(record: StoredRecord): JobRecord | undefined {
    const known = this.newest.get(record.key);
    if (known !== undefined && known >= record.offset) {
      return undefined;
    }
    this.newest.set(record.key, record.offset);
    if (record.value === '') {
      this.newest.delete(record.key);
    }
    const decoded = this.decode(record);
    if (!decoded || this.isRepeated(decoded)) {
      return undefined;
    }
    this.change(decoded);
    return decoded;
  }

  /** The job of that id. */
  find(id: string): JobEntry | undefined {
    return this.entries.get(id);
  }

  /** Every job. */
  listEntries(): IterableIterator<JobEntry> {
    return this.entries.values();
  }

  /** The newest recorded holder of the dispatcher's office. */
  get leadership(): Leadership | undefined {
    return this.office;
  }

  /** Jobs of a queue, without schedules, of which no task has started. */
  countQueuedJobs(queue: string): number {
    let count = 0;
    for (const entry of this.entries.values()) {
      const isWaiting =
        entry.job.queue === queue && getJobState(entry) === 'queued';
      count += isWaiting ? 1 : 0;
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

  private isRepeated(record: JobRecord): boolean {
    return record.kind === 'accepted' && this.entries.has(record.id);
  }

  private change(record: JobRecord): void {
    switch (record.kind) {
      case 'leadership':
        if (!this.office || record.leadership.epoch >= this.office.epoch) {
          this.office = record.leadership;
        }
        return;
      case 'accepted':
        this.accept(record.id, record.job);
        return;
      case 'cancelled':
        this.cancel(record.id);
        return;
      case 'progress':
        this.advance(record.id, record.progress);
        return;
      case 'forgotten':
        this.entries.delete(record.id);
        this.cancelledBefore.delete(record.id);
        this.progressBefore.delete(record.id);
    }
  }

  private accept(id: string, job: AcceptedJob): void {
    this.entries.set(id, {
      id,
      job,
      isCancelled: this.cancelledBefore.delete(id),
      progress: this.progressBefore.get(id),
    });
    this.progressBefore.delete(id);
  }

  /** Pages of a snapshot may list the parts of a job in any order. */
  private cancel(id: string): void {
    const entry = this.entries.get(id);
    if (entry) {
      entry.isCancelled = true;
    } else {
      this.cancelledBefore.add(id);
    }
  }

  private advance(id: string, progress: StoredProgress): void {
    const entry = this.entries.get(id);
    if (entry) {
      entry.progress = progress;
    } else {
      this.progressBefore.set(id, progress);
    }
  }
}

/** What callers are told of a job. */
export function getJobState(entry: JobEntry): JobState {
  const outcome = entry.progress?.outcome ?? 'active';
  if (outcome === 'complete' || outcome === 'failed') {
    return outcome;
  }
  if (entry.isCancelled || outcome === 'cancelled') {
    return 'cancelled';
  }
  return entry.progress?.hasBegun ? 'running' : 'queued';
}
