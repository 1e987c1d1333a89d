/** Jobs whose progress is to be recorded, and what waits for the record. */
import {type KeyedRecord, encodeProgress} from '@galenavalve/workload';
import {updateJobOutcome} from './job_lifecycle.js';
import type {Batch} from './record_writer.js';
import type {ActiveJob, ActiveUnit} from './active_job.js';
import type {TargetState} from './target_state.js';

/** What follows a record. */
export interface ChangeEvents {
  /** A unit's placement is in the log: it may start. */
  onRecorded(unit: ActiveUnit): void;
  /** A job's outcome is in the log. */
  onEnded(job: ActiveJob): void;
}

/** The jobs that changed since they were last written. */
export class ChangedJobs {
  private readonly changed = new Set<ActiveJob>();

  constructor(
    private readonly rooms: () => Iterable<TargetState>,
    private readonly events: ChangeEvents,
  ) {}

  add(job: ActiveJob): void {
    this.changed.add(job);
  }

  /** Takes changed jobs up to `maxLength` characters of records. `wallNow` is in Unix milliseconds. */
  takeBatch(maxLength: number, wallNow: number): Batch | undefined {
    const ends = [...this.rooms()]
      .filter(room => room.processedEnd > room.recordedEnd)
      .map(room => ({room, number: room.processedEnd}));
    const {records, jobs} = this.take(maxLength, wallNow);
    // Ends may belong to jobs that were left for the next batch.
    const isWhole = this.changed.size === 0;
    const starting = jobs.flatMap(job =>
      job.units.filter(({phase}) => phase === 'recording'),
    );
    const runs = starting.map(unit => unit.progress.run);
    const onWritten = () => {
      if (isWhole) {
        ends.forEach(({room, number}) => room.onEndsRecorded(number));
      }
      jobs.forEach(job => this.onWritten(job));
      starting.forEach((unit, index) => {
        const isSame = unit.progress.run === runs[index];
        if (unit.phase === 'recording' && isSame) {
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

  private take(
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
