/** Jobs whose progress is to be recorded, and what waits for the record. */
import {type KeyedRecord, encodeProgress} from '@galenavalve/workload';
import {settleJob} from './job_runs.js';
import type {Batch} from './record_writer.js';
import type {JobRun, UnitRun} from './runs.js';
import type {TargetRoom} from './target_room.js';

/** What follows a record. */
export interface ChangeEvents {
  /** A unit's placement is in the log: it may start. */
  onRecorded(unit: UnitRun): void;
  /** A job's outcome is in the log. */
  onEnded(job: JobRun): void;
}

/** The jobs that changed since they were last written. */
export class ChangedJobs {
  private readonly changed = new Set<JobRun>();

  constructor(
    private readonly rooms: () => Iterable<TargetRoom>,
    private readonly events: ChangeEvents,
  ) {}

  add(job: JobRun): void {
    this.changed.add(job);
  }

  /** Takes changed jobs up to `maxLength` characters of records. `wallNow` is in Unix milliseconds. */
  gather(maxLength: number, wallNow: number): Batch | undefined {
    const ends = [...this.rooms()]
      .filter(room => room.seenEnd > room.recordedEnd)
      .map(room => ({room, number: room.seenEnd}));
    const {records, jobs} = this.take(maxLength, wallNow);
    // Ends may belong to jobs that were left for the next batch.
    const isWhole = this.changed.size === 0;
    const starting = jobs.flatMap(job =>
      job.units.filter(({phase}) => phase === 'recording'),
    );
    const runs = starting.map(unit => unit.progress.run);
    const onWritten = () => {
      if (isWhole) {
        ends.forEach(({room, number}) => room.onRecorded(number));
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
  ): {records: KeyedRecord[]; jobs: JobRun[]} {
    const records: KeyedRecord[] = [];
    const jobs: JobRun[] = [];
    let length = 0;
    for (const job of this.changed) {
      if (length > maxLength) {
        break;
      }
      settleJob(job, wallNow);
      const record = encodeProgress(job.id, job.progress);
      records.push(record);
      jobs.push(job);
      length += record.value.length;
      this.changed.delete(job);
    }
    return {records, jobs};
  }

  private onWritten(job: JobRun): void {
    const isEnded = job.progress.outcome !== 'active';
    if (isEnded && !this.changed.has(job)) {
      this.events.onEnded(job);
    }
  }
}
