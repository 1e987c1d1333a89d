/** An in-memory log with injectable faults, for tests. */
import {
  type Clock,
  type Instant,
  type Milliseconds,
  Failure,
} from '@galenavalve/shared';
import type {
  AppendReceipt,
  Log,
  LogEntry,
  LogPage,
  ReadOptions,
} from '../log.js';
import {Notifier} from '../notifier.js';

/** Injected faults. Durations are in milliseconds. */
export interface LogFaults {
  /** `refused`: each call fails at once; `silent`: each call gets no response. */
  outage: 'none' | 'refused' | 'silent';
  /** Duration of each append. */
  appendLatency: Milliseconds;
  /** Duration of each read. */
  readLatency: Milliseconds;
  /** Number of next appends that take effect but whose response is lost. */
  lostAnswers: number;
  /** Number of next appends that get no response and take effect `lateBy` after the call. */
  lateAppends: number;
  lateBy: Milliseconds;
  /** Number of next appends that get no response and never take effect. */
  lostAppends: number;
  /** Number of appends that are accepted per second; more are rejected. */
  appendsPerSecond: number;
  /** Number of latest records that are retained. */
  retention: number;
}

const NO_FAULTS: LogFaults = {
  outage: 'none',
  appendLatency: 0,
  readLatency: 0,
  lostAnswers: 0,
  lateAppends: 0,
  lateBy: 0,
  lostAppends: 0,
  appendsPerSecond: Infinity,
  retention: Infinity,
};

/** A log that keeps its records in memory. */
export class MemoryLog implements Log {
  readonly faults: LogFaults;
  /** Number of appends that took effect. */
  appendCount = 0;
  private readonly serializedRecords: string[] = [];
  private readonly appendNotifier = new Notifier();
  private oldestOffset = 0;
  private secondStart: Instant = -Infinity;
  private secondCount = 0;

  constructor(
    private readonly clock: Clock,
    faults: Partial<LogFaults> = {},
  ) {
    this.faults = {...NO_FAULTS, ...faults};
  }

  /** Offset after the last record. */
  get endOffset(): number {
    return this.oldestOffset + this.serializedRecords.length;
  }

  /** Lists every retained record. */
  entries(): LogEntry[] {
    return this.slice(this.oldestOffset, Infinity);
  }

  /** Appends without faults, like another writer. */
  write(...values: unknown[]): AppendReceipt {
    const firstOffset = this.endOffset;
    this.serializedRecords.push(...values.map(value => JSON.stringify(value)));
    this.expire();
    this.appendNotifier.notify();
    return {firstOffset, nextOffset: this.endOffset};
  }

  async append(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt> {
    const {faults} = this;
    if (faults.outage === 'refused') {
      throw new Failure('append-rejected', {problem: 'connection refused'});
    }
    if (faults.outage === 'silent') {
      return this.failUncertain(timeout);
    }
    if (!this.isWithinRateLimit()) {
      throw new Failure('append-rejected', {
        problem: 'append rate limit exceeded',
      });
    }
    if (faults.lostAppends > 0) {
      faults.lostAppends -= 1;
      return this.failUncertain(timeout);
    }
    if (faults.lateAppends > 0) {
      faults.lateAppends -= 1;
      this.appendLate(values);
      return this.failUncertain(timeout);
    }
    return this.appendNow(values, timeout);
  }

  async read(offset: number, options: ReadOptions): Promise<LogPage> {
    if (this.faults.outage === 'refused') {
      throw new Failure('read-failed', {offset, problem: 'connection refused'});
    }
    if (this.faults.outage === 'silent') {
      await this.clock.sleep(options.timeout);
      throw new Failure('read-failed', {offset, problem: 'timeout'});
    }
    await this.pause(this.faults.readLatency);
    if (offset >= this.endOffset && options.wait > 0) {
      await this.appendNotifier.wait(this.clock, options.wait);
    }
    return this.createPage(offset, options.limit);
  }

  private createPage(offset: number, limit: number): LogPage {
    if (offset < this.oldestOffset) {
      throw new Failure('offset-expired', {offset, oldest: this.oldestOffset});
    }
    const entries = this.slice(offset, limit);
    return {
      entries,
      nextOffset: offset + entries.length,
      endOffset: this.endOffset,
      oldestOffset: this.oldestOffset,
    };
  }

  private async appendNow(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt> {
    const {appendLatency} = this.faults;
    const hasResponse = appendLatency <= timeout && !this.consumeLostAnswer();
    await this.pause(Math.min(appendLatency, timeout));
    this.appendCount += 1;
    const receipt = this.write(...values);
    return hasResponse ? receipt : this.failUncertain(timeout - appendLatency);
  }

  /** Tells whether the response of this append is lost, and counts it. */
  private consumeLostAnswer(): boolean {
    if (this.faults.lostAnswers === 0) {
      return false;
    }
    this.faults.lostAnswers -= 1;
    return true;
  }

  private appendLate(values: readonly unknown[]): void {
    const copy = values.map(value => structuredClone(value));
    void this.clock.sleep(this.faults.lateBy).then(() => {
      this.appendCount += 1;
      this.write(...copy);
    });
  }

  private async failUncertain(timeout: Milliseconds): Promise<never> {
    await this.pause(timeout);
    throw new Failure('append-uncertain', {problem: 'timeout'});
  }

  private async pause(duration: Milliseconds): Promise<void> {
    if (duration > 0) {
      await this.clock.sleep(duration);
    }
  }

  /** Counts an append, and tells whether it is within the rate limit. */
  private isWithinRateLimit(): boolean {
    const now = this.clock.now();
    if (now >= this.secondStart + 1000) {
      this.secondStart = now;
      this.secondCount = 0;
    }
    this.secondCount += 1;
    return this.secondCount <= this.faults.appendsPerSecond;
  }

  private expire(): void {
    const excess = this.serializedRecords.length - this.faults.retention;
    if (excess > 0) {
      this.serializedRecords.splice(0, excess);
      this.oldestOffset += excess;
    }
  }

  private slice(offset: number, limit: number): LogEntry[] {
    const start = offset - this.oldestOffset;
    return this.serializedRecords
      .slice(start, start + limit)
      .map((text, i) => ({offset: offset + i, value: JSON.parse(text)}));
  }
}
