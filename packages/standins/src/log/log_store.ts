/** The records of the log stand-in, with a budget of appends and a limited retention. */
import type {AppendReceipt, LogPage} from '@galenavalve/ledger';
import {type Clock, Failure, type Instant} from '@galenavalve/shared';

/** Limits of the log. */
export interface LogStoreOptions {
  /** Appends that the log takes in a second, whatever their size. */
  appendsPerSecond: number;
  /** Number of latest records that are kept. */
  retentionRecords: number;
  clock: Clock;
}

/** An array of records. */
export class LogStore {
  private values: unknown[] = [];
  private oldestOffset = 0;
  private budget: number;
  private refilledAt: Instant;
  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: LogStoreOptions) {
    this.budget = options.appendsPerSecond;
    this.refilledAt = options.clock.now();
  }

  get endOffset(): number {
    return this.oldestOffset + this.values.length;
  }

  /** Appends all values. Throws `append-rejected` when the budget is used up. */
  append(values: readonly unknown[]): AppendReceipt {
    this.spendBudget();
    const firstOffset = this.endOffset;
    this.values.push(...values);
    this.expire();
    this.wakeWaiters();
    return {firstOffset, nextOffset: firstOffset + values.length};
  }

  /** Reads at once. Throws `offset-expired`. */
  read(offset: number, limit: number): LogPage {
    if (offset < this.oldestOffset) {
      throw new Failure('offset-expired', {offset, oldest: this.oldestOffset});
    }
    const first = offset - this.oldestOffset;
    const entries = this.values
      .slice(first, first + limit)
      .map((value, index) => ({offset: offset + index, value}));
    return {
      entries,
      nextOffset: offset + entries.length,
      endOffset: Math.max(this.endOffset, offset),
      oldestOffset: this.oldestOffset,
    };
  }

  /** Resolves when there is a record at `offset`, or after `wait` milliseconds. */
  async waitFor(offset: number, wait: number): Promise<void> {
    if (offset < this.endOffset || wait <= 0) {
      return;
    }
    const stop = new AbortController();
    const wake = () => stop.abort();
    this.waiters.add(wake);
    await this.options.clock.sleep(wait, stop.signal);
    this.waiters.delete(wake);
  }

  private spendBudget(): void {
    const {appendsPerSecond, clock} = this.options;
    const now = clock.now();
    const refill = ((now - this.refilledAt) / 1000) * appendsPerSecond;
    this.budget = Math.min(appendsPerSecond, this.budget + refill);
    this.refilledAt = now;
    if (this.budget < 1) {
      const problem = `the budget of ${appendsPerSecond} appends a second is used up`;
      throw new Failure('append-rejected', {problem});
    }
    this.budget--;
  }

  private expire(): void {
    const excess = this.values.length - this.options.retentionRecords;
    if (excess > 0) {
      this.values = this.values.slice(excess);
      this.oldestOffset += excess;
    }
  }

  private wakeWaiters(): void {
    for (const wake of this.waiters) {
      wake();
    }
  }
}
