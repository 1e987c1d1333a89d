/** A log in memory with faults that tests switch on. */
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

/** How the log behaves. */
export interface LogFaults {
  /** `refused`: each call fails at once; `silent`: each call gets no answer. */
  outage: 'none' | 'refused' | 'silent';
  /** Time that each append takes. */
  appendLatency: Milliseconds;
  /** Time that each read takes. */
  readLatency: Milliseconds;
  /** Appends to come that take effect while their answer is lost. */
  lostAnswers: number;
  /** Appends to come that get no answer and take effect `lateBy` afterwards. */
  lateAppends: number;
  lateBy: Milliseconds;
  /** Appends to come that get no answer and never take effect. */
  lostAppends: number;
  /** Appends that are accepted in one second; more are rejected. */
  appendsPerSecond: number;
  /** Number of latest records that are kept. */
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

/** Keeps records in memory. */
export class MemoryLog implements Log {
  readonly faults: LogFaults;
  /** Number of appends that took effect. */
  appendCount = 0;
  private readonly texts: string[] = [];
  private readonly grown = new Notifier();
  private oldest = 0;
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
    return this.oldest + this.texts.length;
  }

  /** Every kept record. */
  entries(): LogEntry[] {
    return this.slice(this.oldest, Infinity);
  }

  /** Appends without faults, as another writer would. */
  write(...values: unknown[]): AppendReceipt {
    const firstOffset = this.endOffset;
    this.texts.push(...values.map(value => JSON.stringify(value)));
    this.expire();
    this.grown.notify();
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
      return this.loseAnswer(timeout);
    }
    if (!this.isWithinBudget()) {
      throw new Failure('append-rejected', {problem: 'too many appends'});
    }
    if (faults.lostAppends > 0) {
      faults.lostAppends -= 1;
      return this.loseAnswer(timeout);
    }
    if (faults.lateAppends > 0) {
      faults.lateAppends -= 1;
      this.appendLate(values);
      return this.loseAnswer(timeout);
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
      await this.grown.wait(this.clock, options.wait);
    }
    return this.createPage(offset, options.limit);
  }

  private createPage(offset: number, limit: number): LogPage {
    if (offset < this.oldest) {
      throw new Failure('offset-expired', {offset, oldest: this.oldest});
    }
    const entries = this.slice(offset, limit);
    return {
      entries,
      nextOffset: offset + entries.length,
      endOffset: this.endOffset,
      oldestOffset: this.oldest,
    };
  }

  private async appendNow(
    values: readonly unknown[],
    timeout: Milliseconds,
  ): Promise<AppendReceipt> {
    const {appendLatency} = this.faults;
    const isAnswered = appendLatency <= timeout && !this.isAnswerLost();
    await this.pause(Math.min(appendLatency, timeout));
    this.appendCount += 1;
    const receipt = this.write(...values);
    return isAnswered ? receipt : this.loseAnswer(timeout - appendLatency);
  }

  private isAnswerLost(): boolean {
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

  private async loseAnswer(timeout: Milliseconds): Promise<never> {
    await this.pause(timeout);
    throw new Failure('append-uncertain', {problem: 'timeout'});
  }

  private async pause(duration: Milliseconds): Promise<void> {
    if (duration > 0) {
      await this.clock.sleep(duration);
    }
  }

  private isWithinBudget(): boolean {
    const now = this.clock.now();
    if (now >= this.secondStart + 1000) {
      this.secondStart = now;
      this.secondCount = 0;
    }
    this.secondCount += 1;
    return this.secondCount <= this.faults.appendsPerSecond;
  }

  private expire(): void {
    const surplus = this.texts.length - this.faults.retention;
    if (surplus > 0) {
      this.texts.splice(0, surplus);
      this.oldest += surplus;
    }
  }

  private slice(offset: number, limit: number): LogEntry[] {
    const start = offset - this.oldest;
    return this.texts
      .slice(start, start + limit)
      .map((text, i) => ({offset: offset + i, value: JSON.parse(text)}));
  }
}
