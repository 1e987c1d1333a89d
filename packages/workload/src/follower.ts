/** Follows a keyed log: the newest records first, then each new one. */
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  type Random,
  describeError,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import type {KeyedLog, TailPage} from './keyed_log.js';
import type {StoredRecord} from './keyed_record.js';

/** Backoff after a failed read, in milliseconds: soon enough to be back within a second of the log. */
const RETRY_BASE = 60;
const RETRY_CAP = 500;

/** Takes what a follower reads. */
export interface FollowerSink {
  onRecord(record: StoredRecord): void;
  /** The newest records were read again; keys that are not among `keys` were dropped meanwhile. */
  onReload?(keys: ReadonlySet<string>): void;
  /** How long to wait after records before the next read, in milliseconds; 0 where absent. */
  readDelay?(): Milliseconds;
  /** The log answered; all records up to the end of the answer were taken. */
  onResponse?(now: Instant): void;
}

/** Reads one keyed log for as long as it is not closed. */
export class Follower {
  /** Records before this offset were taken. */
  nextOffset = 0;
  /** Whether the whole log was read once. */
  isCaughtUp = false;
  lastAnswerAt: Instant = -Infinity;
  private hasNews = false;
  /** Records may have come that are gathered with later ones; otherwise a read is under way that brings each at once. */
  private isGathering = false;
  private reading?: Promise<boolean>;
  private isClosed = false;
  private waiters: Array<{offset: number; resolve: () => void}> = [];

  constructor(
    private readonly name: string,
    private readonly log: KeyedLog,
    private readonly sink: FollowerSink,
    private readonly wait: Milliseconds,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Follows until closed. */
  async run(): Promise<void> {
    let needsReload = true;
    let failures = 0;
    while (!this.isClosed) {
      try {
        if (needsReload) {
          await this.reload();
        }
        needsReload = !(await this.readTail());
        this.onAnswer(failures);
        failures = 0;
        await this.gatherNews();
      } catch (error) {
        if (failures === 0) {
          this.logger.warn('log-unreachable', {
            log: this.name,
            next: this.nextOffset,
            problem: describeError(error),
          });
        }
        const pause = computeJitteredBackoff(
          failures,
          RETRY_BASE,
          RETRY_CAP,
          this.random,
        );
        failures++;
        await this.clock.sleep(RETRY_BASE + pause);
      }
    }
  }

  /** Reads nothing more. */
  close(): void {
    this.isClosed = true;
  }

  /** Resolves when the record at `offset` was taken, or after `timeout`. Returns whether it was. */
  async waitForOffset(offset: number, timeout: Milliseconds): Promise<boolean> {
    if (this.nextOffset <= offset) {
      const stop = new AbortController();
      const reached = new Promise<void>(resolve => {
        this.waiters.push({offset, resolve});
      });
      await Promise.race([reached, this.clock.sleep(timeout, stop.signal)]);
      stop.abort();
    }
    return this.nextOffset > offset;
  }

  /** Takes what was written before this call. Returns whether all of it was taken within `timeout`. */
  async readToEnd(timeout: Milliseconds): Promise<boolean> {
    const stop = new AbortController();
    const expired = this.clock.sleep(timeout, stop.signal).then(() => false);
    this.reading ??= this.readNow().finally(() => {
      this.reading = undefined;
    });
    const isCurrent = await Promise.race([this.reading, expired]);
    stop.abort();
    return isCurrent;
  }

  /** Takes at once what is being gathered; resolves after `timeout` at the latest. */
  async readPending(timeout: Milliseconds): Promise<void> {
    if (this.isGathering) {
      await this.readToEnd(timeout);
    }
  }

  private async readNow(): Promise<boolean> {
    try {
      const page = await this.log.readTail(this.nextOffset, 0);
      if (page.kind === 'expired' || this.isClosed) {
        return false;
      }
      this.takePage(page);
      return this.nextOffset >= page.end;
    } catch (error) {
      this.logger.warn('log-unreachable', {
        log: this.name,
        next: this.nextOffset,
        problem: describeError(error),
      });
      return false;
    }
  }

  /** Reads may overlap: each record is taken once. */
  private takePage(page: Extract<TailPage, {kind: 'records'}>): void {
    for (const record of page.records) {
      if (record.offset >= this.nextOffset) {
        this.sink.onRecord(record);
      }
    }
    this.nextOffset = Math.max(this.nextOffset, page.next);
    this.lastAnswerAt = this.clock.now();
    this.wakeWaiters();
  }

  private async reload(): Promise<void> {
    const keys = new Set<string>();
    const records: StoredRecord[] = [];
    let next: number | undefined;
    let after: string | undefined;
    do {
      const page = await this.log.readNewest(after);
      // Later pages may miss what was written after the first.
      next ??= page.end;
      records.push(...page.records);
      after = page.after;
    } while (after !== undefined);
    records.sort((a, b) => a.offset - b.offset);
    for (const record of records) {
      keys.add(record.key);
      this.sink.onRecord(record);
    }
    this.sink.onReload?.(keys);
    this.nextOffset = next;
    this.logger.info('log-loaded', {log: this.name, records: keys.size, next});
  }

  /** Returns false when the records that come next have expired. */
  private async readTail(): Promise<boolean> {
    const wait = this.isCaughtUp ? this.wait : 0;
    const page = await this.log.readTail(this.nextOffset, wait);
    if (this.isClosed) {
      return true;
    }
    if (page.kind === 'expired') {
      this.logger.warn('log-expired', {log: this.name, next: this.nextOffset});
      return false;
    }
    this.takePage(page);
    this.isCaughtUp ||= this.nextOffset >= page.end;
    this.hasNews = page.records.length > 0;
    return true;
  }

  /** Lets several records come together where nobody waits for each. */
  private async gatherNews(): Promise<void> {
    const pause = this.sink.readDelay?.() ?? 0;
    const isAwaited = this.waiters.length > 0;
    if (this.hasNews && pause > 0 && this.isCaughtUp && !isAwaited) {
      this.isGathering = true;
      await this.clock.sleep(pause);
      this.isGathering = false;
    }
  }

  private onAnswer(failures: number): void {
    const now = this.clock.now();
    this.lastAnswerAt = now;
    if (failures > 0) {
      this.logger.info('log-reached', {log: this.name, failures});
    }
    this.sink.onResponse?.(now);
    this.wakeWaiters();
  }

  private wakeWaiters(): void {
    const reached = this.waiters.filter(({offset}) => this.nextOffset > offset);
    this.waiters = this.waiters.filter(({offset}) => this.nextOffset <= offset);
    reached.forEach(({resolve}) => resolve());
  }
}
