/** Follows a keyed log: loads the newest record of each key, then reads each new record. */
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  type Random,
  describeError,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import {type KeyedLog, type TailPage, sleepUntilRecovery} from './keyed_log.js';
import type {StoredRecord} from './keyed_record.js';

/** Bounds of the backoff after a failed read; short enough to resume within a second after the log is reachable again. */
const RETRY_BASE_MS = 60;
const RETRY_CAP_MS = 500;

/** Time for which callers gather before a read to the end overlaps an earlier one that is still in progress. */
const READ_OVERLAP_DELAY_MS: Milliseconds = 150;

/** Receives what a follower reads. */
export interface FollowerSink {
  /** Called for each record in offset order; a reload may pass on a record again. */
  onRecord(record: StoredRecord): void;
  /** Called after the newest records were loaded; any other key than `keys` was deleted in the meantime. */
  onReload?(keys: ReadonlySet<string>): void;
  /** Returns the delay in milliseconds between a read that returned records and the next read; 0 if the method is absent. */
  readDelay?(): Milliseconds;
  /** Called after a response of the log, when all records of the response have been passed on. */
  onResponse?(now: Instant): void;
}

/** Reads one keyed log until it is closed. */
export class Follower {
  /** Offset of the next record to read; all earlier records have been passed to the sink. */
  nextOffset = 0;
  /** Whether the log has been read to its end at least once. */
  isCaughtUp = false;
  /** Time of the log's last response. */
  lastResponseAt: Instant = -Infinity;
  private hasNewRecords = false;
  /** Whether the next read is delayed so that one read returns several records; otherwise a read is in progress that returns each new record immediately. */
  private isReadDelayed = false;
  /** The read to the end that began last, if it is in progress, and the next one, which all callers share that asked meanwhile. */
  private currentRead?: Promise<boolean>;
  private nextRead?: Promise<boolean>;
  private isClosed = false;
  private waiters: Array<{offset: number; resolve: () => void}> = [];

  /** `pollWait` is the longest time in milliseconds that the log waits for the first new record of a read. */
  constructor(
    private readonly name: string,
    private readonly log: KeyedLog,
    private readonly sink: FollowerSink,
    private readonly pollWait: Milliseconds,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly logger: Logger,
  ) {}

  /** Follows the log until `close` is called; retries failed reads with backoff. */
  async run(): Promise<void> {
    let needsReload = true;
    let failures = 0;
    while (!this.isClosed) {
      try {
        if (needsReload) {
          await this.reload();
        }
        needsReload = !(await this.readTail());
        this.onResponse(failures);
        failures = 0;
        await this.delayNextRead();
      } catch (error) {
        if (failures === 0) {
          this.logger.warn('log-unreachable', {
            log: this.name,
            next: this.nextOffset,
            problem: describeError(error),
          });
        }
        const backoff = computeJitteredBackoff(
          failures,
          RETRY_BASE_MS,
          RETRY_CAP_MS,
          this.random,
        );
        failures++;
        await sleepUntilRecovery(this.log, RETRY_BASE_MS + backoff, this.clock);
      }
    }
  }

  /** Stops reading; a response to a read in progress is discarded. */
  close(): void {
    this.isClosed = true;
  }

  /** Resolves when the record at `offset` has been read, or after `timeout` milliseconds. Returns whether it has been read. */
  async waitForOffset(offset: number, timeout: Milliseconds): Promise<boolean> {
    if (this.nextOffset <= offset) {
      const timer = new AbortController();
      const offsetRead = new Promise<void>(resolve => {
        this.waiters.push({offset, resolve});
      });
      await Promise.race([offsetRead, this.clock.sleep(timeout, timer.signal)]);
      timer.abort();
    }
    return this.nextOffset > offset;
  }

  /** Reads everything that was written before this call. Returns whether that succeeded within `timeout` milliseconds. */
  async readToEnd(timeout: Milliseconds): Promise<boolean> {
    const timer = new AbortController();
    const expired = this.clock.sleep(timeout, timer.signal).then(() => false);
    const hasReachedEnd = await Promise.race([this.readFromNow(), expired]);
    timer.abort();
    return hasReachedEnd;
  }

  /** Reads immediately if the next read is being delayed; resolves after `timeout` milliseconds at the latest. */
  async readPending(timeout: Milliseconds): Promise<void> {
    if (this.isReadDelayed) {
      await this.readToEnd(timeout);
    }
  }

  /** Reads once, beginning after this call: a read in progress may return a page that was made before. */
  private readFromNow(): Promise<boolean> {
    if (!this.currentRead) {
      return this.beginRead();
    }
    this.nextRead ??= this.waitFor(this.currentRead).then(() => {
      this.nextRead = undefined;
      return this.beginRead();
    });
    return this.nextRead;
  }

  private beginRead(): Promise<boolean> {
    const read = this.readOnce().finally(() => {
      if (this.currentRead === read) {
        this.currentRead = undefined;
      }
    });
    this.currentRead = read;
    return read;
  }

  /** Waits until a read has ended, or until the next one may overlap it. */
  private async waitFor(read: Promise<boolean>): Promise<void> {
    const timer = new AbortController();
    await Promise.race([
      read,
      this.clock.sleep(READ_OVERLAP_DELAY_MS, timer.signal),
    ]);
    timer.abort();
  }

  /** Reads one page. Returns whether the log ended with it. */
  private async readOnce(): Promise<boolean> {
    try {
      const page = await this.log.readTail(this.nextOffset, 0);
      if (page.kind === 'expired' || this.isClosed) {
        return false;
      }
      this.applyPage(page);
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

  /** Passes the records of a page to the sink. Reads may overlap, so records that were passed on before are skipped. */
  private applyPage(page: Extract<TailPage, {kind: 'records'}>): void {
    for (const record of page.records) {
      if (record.offset >= this.nextOffset) {
        this.passOn(record);
      }
    }
    this.nextOffset = Math.max(this.nextOffset, page.next);
    this.lastResponseAt = this.clock.now();
    this.resolveWaiters();
  }

  /** Passes on a record. A record at which the sink fails is left out, since reading it again would keep the later ones from being read. */
  private passOn(record: StoredRecord): void {
    try {
      this.sink.onRecord(record);
    } catch (error) {
      this.logger.error('record-failed', {
        log: this.name,
        key: record.key,
        offset: record.offset,
        problem: describeError(error),
      });
    }
  }

  private async reload(): Promise<void> {
    const keys = new Set<string>();
    const records: StoredRecord[] = [];
    let next: number | undefined;
    let after: string | undefined;
    do {
      const page = await this.log.readNewest(after);
      // Later pages may lack records that were written after the first page was made.
      next ??= page.end;
      records.push(...page.records);
      after = page.after;
    } while (after !== undefined);
    records.sort((a, b) => a.offset - b.offset);
    for (const record of records) {
      keys.add(record.key);
      this.passOn(record);
    }
    this.sink.onReload?.(keys);
    this.nextOffset = next;
    this.logger.info('log-loaded', {log: this.name, records: keys.size, next});
  }

  /** Reads the next records. Returns false if they have expired. */
  private async readTail(): Promise<boolean> {
    const wait = this.isCaughtUp ? this.pollWait : 0;
    const page = await this.log.readTail(this.nextOffset, wait);
    if (this.isClosed) {
      return true;
    }
    if (page.kind === 'expired') {
      this.logger.warn('log-expired', {log: this.name, next: this.nextOffset});
      return false;
    }
    this.applyPage(page);
    this.isCaughtUp ||= this.nextOffset >= page.end;
    this.hasNewRecords = page.records.length > 0;
    return true;
  }

  /** Delays the next read, so that it returns several records at once, unless a caller waits for an offset. */
  private async delayNextRead(): Promise<void> {
    const delay = this.sink.readDelay?.() ?? 0;
    const hasWaiters = this.waiters.length > 0;
    if (this.hasNewRecords && delay > 0 && this.isCaughtUp && !hasWaiters) {
      this.isReadDelayed = true;
      await this.clock.sleep(delay);
      this.isReadDelayed = false;
    }
  }

  private onResponse(failures: number): void {
    const now = this.clock.now();
    this.lastResponseAt = now;
    if (failures > 0) {
      this.logger.info('log-reached', {log: this.name, failures});
    }
    this.sink.onResponse?.(now);
    this.resolveWaiters();
  }

  private resolveWaiters(): void {
    const satisfied = this.waiters.filter(
      ({offset}) => this.nextOffset > offset,
    );
    this.waiters = this.waiters.filter(({offset}) => this.nextOffset <= offset);
    satisfied.forEach(({resolve}) => resolve());
  }
}
