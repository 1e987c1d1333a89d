/** Writes the progress of jobs under one epoch: one append at a time, in order, each until it is known. */
import {
  type Clock,
  type Instant,
  type Logger,
  type Random,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import {
  type KeyedRecord,
  type Leadership,
  encodeLeadership,
} from '@galenavalve/workload';
import type {FencingToken, FencedLog} from './fenced_log.js';
import {LEADER_HEARTBEAT_MS} from './leader_monitor.js';

/** Longest wait for the answer to an append; some hundred times the usual answer. */
const APPEND_TIMEOUT_MS = 1500;

/** Backoff between tries of an append, in milliseconds. */
const RETRY_BASE_MS = 50;
const RETRY_CAP_MS = 500;

/** Records of one append, in characters; the platform limits a call to 2 MiB. */
const MAX_BATCH_CHARS = 1_000_000;

/** What is to be written, and what follows once it is. */
export interface Batch {
  records: KeyedRecord[];
  onWritten: () => void;
}

/** Gathers what is to be written now; undefined when there is nothing. */
export type BatchSource = (maxLength: number) => Batch | undefined;

/** The writer of one term of office. */
export class RecordWriter {
  /** Send time of the last append that was confirmed. */
  lastConfirmedAt: Instant;
  /** The same by the wall clock, which goes on while an instance is suspended. */
  lastConfirmedWallTime: number;
  private sequence = 1;
  private isWriting = false;
  private extra: KeyedRecord[] = [];
  private isOver = false;

  constructor(
    private readonly log: FencedLog,
    private readonly leadership: Leadership,
    private readonly gather: BatchSource,
    private readonly onFenced: () => void,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {
    this.lastConfirmedAt = clock.now();
    this.lastConfirmedWallTime = clock.wallTime();
  }

  /** Writes these records with the next append. */
  add(records: readonly KeyedRecord[]): void {
    this.extra.push(...records);
  }

  /** Writes what is waiting, unless a write is under way: it then goes next. */
  flush(): void {
    if (!this.isWriting && !this.isOver) {
      void this.writeAll();
    }
  }

  /** Writes a sign of life when nothing else was written for a while. */
  writeHeartbeatIfDue(now: Instant): void {
    if (!this.isWriting && now - this.lastConfirmedAt >= LEADER_HEARTBEAT_MS) {
      void this.writeAll(true);
    }
  }

  /** Writes nothing more. */
  close(): void {
    this.isOver = true;
  }

  /** Waits until no write is under way, then writes that the office is free. */
  async resign(): Promise<void> {
    this.isOver = true;
    while (this.isWriting) {
      await this.clock.sleep(10);
    }
    const record = encodeLeadership({...this.leadership, hasResigned: true});
    const fencing = this.nextFencing();
    await this.log.appendFenced(fencing, [record], APPEND_TIMEOUT_MS);
  }

  private async writeAll(withBeat = false): Promise<void> {
    this.isWriting = true;
    try {
      let needsBeat = withBeat;
      while (!this.isOver) {
        const batch = this.gather(MAX_BATCH_CHARS);
        if (!batch && !needsBeat && this.extra.length === 0) {
          return;
        }
        needsBeat = false;
        const records = [...(batch?.records ?? []), ...this.extra];
        this.extra = [];
        const isWritten = await this.write([...records, this.beatRecord()]);
        if (!isWritten) {
          return;
        }
        batch?.onWritten();
      }
    } finally {
      this.isWriting = false;
    }
  }

  private nextFencing(): FencingToken {
    return {epoch: this.leadership.epoch, sequence: this.sequence++};
  }

  private beatRecord(): KeyedRecord {
    const writtenAt = this.clock.wallTime();
    return encodeLeadership({...this.leadership, writtenAt});
  }

  /** Sends one append until it is known to be in the log; false when the office is lost. */
  private async write(records: readonly KeyedRecord[]): Promise<boolean> {
    const fencing = this.nextFencing();
    for (let attempt = 0; !this.isOver; attempt++) {
      const sentAt = this.clock.now();
      const sentWallAt = this.clock.wallTime();
      const result = await this.log.appendFenced(
        fencing,
        records,
        APPEND_TIMEOUT_MS,
      );
      if (result.kind === 'appended') {
        this.lastConfirmedAt = sentAt;
        this.lastConfirmedWallTime = sentWallAt;
        return !this.isOver;
      }
      if (result.kind === 'fenced') {
        this.isOver = true;
        this.onFenced();
        return false;
      }
      this.logger.warn('record-delayed', {
        ...fencing,
        attempt,
        problem: result.kind === 'moved' ? 'the log moved' : result.problem,
      });
      await this.clock.sleep(
        RETRY_BASE_MS +
          computeJitteredBackoff(
            attempt,
            RETRY_BASE_MS,
            RETRY_CAP_MS,
            this.random,
          ),
      );
    }
    return false;
  }
}
