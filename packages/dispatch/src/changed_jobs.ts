/**
 * Collects jobs whose progress must be written to the log, and runs what
 * depends on the write.
 */
import {type KeyedRecord, encodeProgress} from '@galenavalve/workload';
import {updateJobOutcome} from './job_lifecycle.js';
import type {Batch} from './record_writer.js';
import type {ActiveJob, ActiveUnit} from './active_job.js';
import type {TargetState} from './target_state.js';

/** Called after progress was written. */
export interface ChangeEvents {
  /** The unit's placement is in the log, so its start commands may be sent. */
  onRecorded(unit: ActiveUnit): void;
  /** The job's outcome is in the log. */
  onEnded(job: ActiveJob): void;
}

/** Jobs that have changed since their progress was last written. */
export class ChangedJobs {
  private readonly changed = new Set<ActiveJob>();

  constructor(
    private readonly listTargets: () => Iterable<TargetState>,
    private readonly events: ChangeEvents,
  ) {}

  /** Marks a job as changed. */
  add(job: ActiveJob): void {
    this.changed.add(job);
  }

  /**
   * Takes changed jobs until their records exceed `maxLength` characters.
   * `wallNow` is in Unix milliseconds. Returns undefined if nothing has
   * changed.
   */
  takeBatch(maxLength: number, wallNow: number): Batch | undefined {
    const ends = [...this.listTargets()]
      .filter(target => target.processedEnd > target.recordedEnd)
      .map(target => ({target, number: target.processedEnd}));
    const {records, jobs} = this.takeRecords(maxLength, wallNow);
    // The ends may belong to jobs that are left for the next batch.
    const hasTakenAll = this.changed.size === 0;
    const starting = jobs.flatMap(job =>
      job.units.filter(({phase}) => phase === 'recording'),
    );
    const runs = starting.map(unit => unit.progress.run);
    const onWritten = () => {
      if (hasTakenAll) {
        ends.forEach(({target, number}) => target.onEndsRecorded(number));
      }
      jobs.forEach(job => this.onWritten(job));
      starting.forEach((unit, index) => {
        const isSameRun = unit.progress.run === runs[index];
        if (unit.phase === 'recording' && isSameRun) {
          this.events.onRecorded(unit);
        }
      });
    };
    if (records.length === 0) {
      onWritten();
      return undefined;
    }
    return {records, onWritten};
  }

  private takeRecords(
    maxLength: number,
    wallNow: number,
  ): {records: KeyedRecord[]; jobs: ActiveJob[]} {
    const records: KeyedRecord[] = [];
    const jobs: ActiveJob[] = [];
    let length = 0;
    for (const job of this.changed) {
      if (length > maxLength) {
        break;
      }
      updateJobOutcome(job, wallNow);
      const record = encodeProgress(job.id, job.progress);
      records.push(record);
      jobs.push(job);
      length += record.value.length;
      this.changed.delete(job);
    }
    return {records, jobs};
  }

  private onWritten(job: ActiveJob): void {
    const isEnded = job.progress.outcome !== 'active';
    if (isEnded && !this.changed.has(job)) {
      this.events.onEnded(job);
    }
  }
}
