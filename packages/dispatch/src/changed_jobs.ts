/**
 * Collects jobs whose progress must be written to the log, and runs what
 * depends on the write.
 */
import {type KeyedRecord, encodeProgressRecords} from '@galenavalve/workload';
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

/** Ends that targets have listed, and the changed jobs that must be written before they are acknowledged. */
interface PendingEnds {
  ends: Array<{target: TargetState; number: number}>;
  jobs: Set<ActiveJob>;
}

/** Jobs that have changed since their progress was last written. */
export class ChangedJobs {
  private readonly changed = new Set<ActiveJob>();
  private pendingEnds?: PendingEnds;

  constructor(
    private readonly listTargets: () => Iterable<TargetState>,
    private readonly events: ChangeEvents,
  ) {}

  /** Marks a job as changed. */
  add(job: ActiveJob): void {
    this.changed.add(job);
  }

  /**
   * Takes changed jobs, one at least, until their records would exceed
   * `maxLength` characters. `wallNow` is in Unix milliseconds. Returns undefined
   * if nothing has changed.
   */
  takeBatch(maxLength: number, wallNow: number): Batch | undefined {
    // The ends may belong to jobs that are left for a later batch.
    const pendingEnds = (this.pendingEnds ??= this.collectEnds());
    const {records, jobs} = this.takeRecords(maxLength, wallNow);
    const starting = jobs.flatMap(job =>
      job.units.filter(({phase}) => phase === 'recording'),
    );
    const runs = starting.map(unit => unit.progress.run);
    const onWritten = () => {
      this.onRecorded(jobs, pendingEnds);
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

  private collectEnds(): PendingEnds | undefined {
    const ends = [...this.listTargets()]
      .filter(target => target.processedEnd > target.recordedEnd)
      .map(target => ({target, number: target.processedEnd}));
    return ends.length > 0 ? {ends, jobs: new Set(this.changed)} : undefined;
  }

  private onRecorded(
    jobs: readonly ActiveJob[],
    pendingEnds: PendingEnds | undefined,
  ): void {
    jobs.forEach(job => pendingEnds?.jobs.delete(job));
    if (pendingEnds?.jobs.size === 0) {
      pendingEnds.ends.forEach(({target, number}) =>
        target.onEndsRecorded(number),
      );
      this.pendingEnds = undefined;
    }
  }

  private takeRecords(
    maxLength: number,
    wallNow: number,
  ): {records: KeyedRecord[]; jobs: ActiveJob[]} {
    const records: KeyedRecord[] = [];
    const jobs: ActiveJob[] = [];
    let length = 0;
    for (const job of this.changed) {
      updateJobOutcome(job, wallNow);
      const encoded = encodeProgressRecords(
        job.id,
        job.progress,
        job.recordedParts,
      );
      if (jobs.length > 0 && length + encoded.size > maxLength) {
        break;
      }
      records.push(...encoded.records);
      jobs.push(job);
      job.recordedParts = encoded.partCount;
      length += encoded.size;
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
