/**
 * Writes the progress of jobs under one epoch: one append at a time, in order,
 * each repeated until its outcome is known.
 */
import {
  type Clock,
  type Instant,
  type Logger,
  type Random,
  computeJitteredBackoff,
  describeError,
} from '@galenavalve/shared';
import {
  type KeyedRecord,
  type Leadership,
  encodeLeadership,
  sleepUntilRecovery,
} from '@galenavalve/workload';
import type {
  FencedAppendOutcome,
  FencingToken,
  FencedLog,
} from './fenced_log.js';
import {LEADER_HEARTBEAT_MS} from './leader_monitor.js';

/** Timeout of an append; about a hundred times the usual latency. */
const APPEND_TIMEOUT_MS = 1500;

/** Minimum and maximum backoff between attempts of an append. */
const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 500;

/**
 * Maximum size of an append in characters; the platform limits a call to 2 MiB.
 */
const MAX_BATCH_CHARS = 1_000_000;

/** Records to write, and a callback for when they are in the log. */
export interface Batch {
  records: KeyedRecord[];
  /** Called once when the records are in the log. */
  onWritten: () => void;
}

/**
 * Returns the records to write now, about `maxLength` characters; undefined if
 * there are none.
 */
export type BatchSource = (maxLength: number) => Batch | undefined;

/** Send time of an append that was confirmed. */
export interface ConfirmationTime {
  at: Instant;
  /**
   * The same in Unix milliseconds; the wall clock also advances while an
   * instance is suspended.
   */
  wallTime: number;
}

/** Writes records for one leader. */
export class RecordWriter {
  private sequence = 1;
  private isWriting = false;
  private extraRecords: KeyedRecord[] = [];
  private isClosed = false;

  constructor(
    private readonly log: FencedLog,
    private readonly leadership: Leadership,
    /** Send time of the last append that was confirmed; at first that of the claim. */
    public lastConfirmed: ConfirmationTime,
    private readonly takeBatch: BatchSource,
    private readonly onFenced: () => void,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Adds records to the next append. */
  add(records: readonly KeyedRecord[]): void {
    this.extraRecords.push(...records);
  }

  /**
   * Writes pending records. If an append is in progress, they follow with the
   * next one.
   */
  flush(): void {
    if (!this.isWriting && !this.isClosed) {
      void this.writeAll();
    }
  }

  /**
   * Writes a heartbeat if no append was confirmed within the heartbeat
   * interval.
   */
  writeHeartbeatIfDue(now: Instant): void {
    if (!this.isWriting && now - this.lastConfirmed.at >= LEADER_HEARTBEAT_MS) {
      void this.writeAll(true);
    }
  }

  /** Stops writing. */
  close(): void {
    this.isClosed = true;
  }

  /** Waits for the append in progress, then writes that leadership is free. */
  async resign(): Promise<void> {
    this.isClosed = true;
    while (this.isWriting) {
      await this.clock.sleep(10);
    }
    const record = encodeLeadership({...this.leadership, hasResigned: true});
    const fencing = this.createFencingToken();
    await this.log.appendFenced(fencing, [record], APPEND_TIMEOUT_MS);
  }

  private async writeAll(withHeartbeat = false): Promise<void> {
    this.isWriting = true;
    try {
      let needsHeartbeat = withHeartbeat;
      while (!this.isClosed) {
        const batch = this.takeBatch(MAX_BATCH_CHARS);
        if (!batch && !needsHeartbeat && this.extraRecords.length === 0) {
          return;
        }
        needsHeartbeat = false;
        const records = [...(batch?.records ?? []), ...this.extraRecords];
        this.extraRecords = [];
        const isWritten = await this.write([
          ...records,
          this.createHeartbeatRecord(),
        ]);
        if (!isWritten) {
          return;
        }
        batch?.onWritten();
      }
    } finally {
      this.isWriting = false;
    }
  }

  private createFencingToken(): FencingToken {
    return {epoch: this.leadership.epoch, sequence: this.sequence++};
  }

  private createHeartbeatRecord(): KeyedRecord {
    const writtenAt = this.clock.wallTime();
    return encodeLeadership({...this.leadership, writtenAt});
  }

  /**
   * Repeats one append until it is known to be in the log. Returns false if
   * leadership was lost or the writer was closed.
   */
  private async write(records: readonly KeyedRecord[]): Promise<boolean> {
    const fencing = this.createFencingToken();
    for (let attempt = 0; !this.isClosed; attempt++) {
      const sentAt = {
        at: this.clock.now(),
        wallTime: this.clock.wallTime(),
      };
      const result = await this.appendSafely(fencing, records);
      if (result.kind === 'appended') {
        this.lastConfirmed = sentAt;
        return !this.isClosed;
      }
      if (result.kind === 'fenced') {
        this.isClosed = true;
        this.onFenced();
        return false;
      }
      this.logger.warn('record-delayed', {
        ...fencing,
        attempt,
        problem:
          result.kind === 'moved'
            ? 'the log does not end at the requested offset'
            : result.problem,
      });
      const backoff =
        RETRY_BASE_MS +
        computeJitteredBackoff(
          attempt,
          RETRY_BASE_MS,
          RETRY_CAP_MS,
          this.random,
        );
      await sleepUntilRecovery(this.log, backoff, this.clock);
    }
    return false;
  }

  /** Appends once; an unexpected error leaves the outcome unknown. */
  private async appendSafely(
    fencing: FencingToken,
    records: readonly KeyedRecord[],
  ): Promise<FencedAppendOutcome> {
    try {
      return await this.log.appendFenced(fencing, records, APPEND_TIMEOUT_MS);
    } catch (error) {
      return {kind: 'unknown', problem: describeError(error)};
    }
  }
}
