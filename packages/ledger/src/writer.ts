/**
 * Group commit: batches the records that wait into one append, and learns the
 * fate of an append whose answer was lost.
 */
import {
  type LogRecord,
  type RecordBody,
  RECORD_VERSION,
} from '@galenavalve/model';
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  type Random,
  Failure,
  describeError,
  isFailure,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import type {FoldResult} from './fold_result.js';
import type {LogFollower} from './follower.js';
import type {Log} from './log.js';
import {AppendRateLimiter} from './append_rate_limiter.js';
import type {PendingRecord} from './pending_record.js';
import {type QueueLimits, PendingRecords} from './pending_records.js';
import {Notifier} from './notifier.js';

/** Sizes and times of the appends. */
export interface LogWriterOptions extends QueueLimits {
  /** Appends a second that this instance allows itself. */
  appendsPerSecond: number;
  /** Appends that may be under way at once. */
  appendsInFlight: number;
  /** After how long an append is given up as uncertain. */
  appendTimeout: Milliseconds;
  /** First and longest pause after a failed append. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

const DEFAULT_OPTIONS: LogWriterOptions = {
  batchRecords: 1000,
  batchBytes: 1024 * 1024,
  queueRecords: 20_000,
  queueBytes: 8 * 1024 * 1024,
  appendsPerSecond: 30,
  appendsInFlight: 2,
  appendTimeout: 1000,
  backoffBase: 50,
  backoffCap: 1000,
};

/** Longest sleep of the loop. */
const IDLE_MS = 1000;

/** What a writer needs. */
export interface LogWriterDependencies {
  log: Log;
  follower: LogFollower;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** The instance's id, which stands in each record. */
  instance: string;
  options?: Partial<LogWriterOptions>;
}

/** Until when the caller wants to know the verdict. */
export interface AppendOptions {
  /** `Infinity` for a record that must not be given up. */
  deadline: Instant;
  /** Gives the record up when it aborts, as the deadline does. */
  signal?: AbortSignal;
}

/** Appends records and reports the verdicts that the own fold reached. */
export class LogWriter {
  private readonly options: LogWriterOptions;
  private readonly pending: PendingRecords;
  private readonly budget: AppendRateLimiter;
  private readonly work = new Notifier();
  private readonly idPrefix: string;
  private readonly wake = () => this.work.notify();
  private sequence = 0;
  private inFlight = 0;
  private failures = 0;
  private isStopped = false;

  constructor(private readonly dependencies: LogWriterDependencies) {
    const {instance, random, clock, follower, options} = dependencies;
    this.options = {...DEFAULT_OPTIONS, ...options};
    this.pending = new PendingRecords(this.options);
    this.budget = new AppendRateLimiter(this.options.appendsPerSecond);
    const salt = Math.floor(random.next() * 2 ** 32).toString(36);
    // Instances restart under the same id, so the wall time and salt make ids unique.
    this.idPrefix = `${instance}-${clock.wallTime().toString(36)}${salt}`;
    follower.onApplied(applied => this.onApplied(applied));
    follower.onFresh(this.wake);
    follower.onStateReplaced(() => this.onReplaced());
  }

  /** Records whose verdict is not known yet. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /**
   * Appends a record. Resolves with the verdict of the own fold. Throws
   * `overloaded`, `body-too-large` or `log-unavailable` when the record is certainly not in the
   * log and never will be, and `append-uncertain` when the deadline passed
   * before its fate was known.
   */
  append(body: RecordBody, options: AppendOptions): Promise<FoldResult> {
    const record = this.addHeader(body);
    const bytes = Buffer.byteLength(JSON.stringify(record));
    if (this.isStopped) {
      return Promise.reject(new Failure('stopping'));
    }
    const {batchBytes: limitBytes} = this.options;
    if (bytes > limitBytes) {
      return Promise.reject(new Failure('body-too-large', {limitBytes}));
    }
    if (!this.pending.hasCapacity(bytes)) {
      return Promise.reject(new Failure('overloaded'));
    }
    return new Promise((resolve, reject) => {
      this.pending.add({
        record,
        bytes,
        deadline: options.deadline,
        signal: options.signal,
        stage: 'queued',
        hasUncertainAppend: false,
        uncertainAt: -Infinity,
        resolve,
        reject,
      });
      this.work.notify();
      options.signal?.addEventListener('abort', this.wake, {once: true});
    });
  }

  /** Appends records, in as few appends as they fit in. */
  appendAll(
    bodies: readonly RecordBody[],
    options: AppendOptions,
  ): Promise<FoldResult[]> {
    return Promise.all(bodies.map(body => this.append(body, options)));
  }

  /** Changes the rate of appends, such as when the number of instances changes. */
  setAppendRate(appendsPerSecond: number): void {
    this.budget.setRate(appendsPerSecond, this.dependencies.clock.now());
  }

  /** Sends what waits until `signal` aborts; then what still waits is refused. */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, follower} = this.dependencies;
    while (!signal.aborted) {
      const now = clock.now();
      this.refuseOverdue(now);
      this.pending.requeueUncertain(follower.getFreshAt() ?? -Infinity);
      this.send(now);
      await this.work.wait(clock, this.pauseFrom(now), signal);
    }
    this.isStopped = true;
    this.refuseAll();
  }

  private addHeader(body: RecordBody): LogRecord {
    const {clock, instance} = this.dependencies;
    this.sequence += 1;
    return {
      v: RECORD_VERSION,
      recordId: `${this.idPrefix}-${this.sequence}`,
      at: Math.round(clock.wallTime()),
      by: instance,
      ...body,
    };
  }

  private send(now: Instant): void {
    const isBusy = this.inFlight >= this.options.appendsInFlight;
    if (isBusy || now < this.budget.getNextAllowedAt(now)) {
      return;
    }
    const batch = this.pending.dequeueBatch();
    if (batch.length > 0) {
      this.budget.consume(now);
      void this.appendBatch(batch);
    }
  }

  private async appendBatch(batch: PendingRecord[]): Promise<void> {
    const {log, clock, logger} = this.dependencies;
    const records = batch.map(item => item.record);
    this.inFlight += 1;
    try {
      await log.append(records, this.options.appendTimeout);
      this.failures = 0;
      this.pending.markRecorded(batch);
    } catch (error) {
      logger.warn('append-failed', {
        records: batch.length,
        problem: describeError(error),
      });
      this.onAppendFailed(batch, error, clock.now());
    }
    this.inFlight -= 1;
    this.work.notify();
  }

  private onAppendFailed(
    batch: PendingRecord[],
    error: unknown,
    now: Instant,
  ): void {
    const {backoffBase, backoffCap} = this.options;
    this.failures += 1;
    const pause = computeJitteredBackoff(
      this.failures,
      backoffBase,
      backoffCap,
      this.dependencies.random,
    );
    this.budget.pause(now + pause);
    if (isFailure(error, 'append-rejected')) {
      this.pending.markRejected(batch);
    } else {
      this.pending.markUncertain(batch, now);
    }
  }

  private refuseOverdue(now: Instant): void {
    for (const item of this.pending.listAll()) {
      if (now >= item.deadline || item.signal?.aborted) {
        this.refuse(item);
      }
    }
  }

  private refuseAll(): void {
    for (const item of this.pending.listAll()) {
      this.refuse(item);
    }
  }

  private refuse(item: PendingRecord): void {
    this.forget(item);
    const isAbsent = item.stage === 'queued' && !item.hasUncertainAppend;
    const problem = `${item.record.type} record was ${item.stage}`;
    item.reject(
      isAbsent
        ? new Failure('log-unavailable')
        : new Failure('append-uncertain', {problem}),
    );
  }

  private onApplied(applied: FoldResult): void {
    const item = this.pending.get(applied.record?.recordId ?? '');
    if (item) {
      this.forget(item);
      item.resolve(applied);
    }
  }

  /**
   * The new state may include records whose verdicts were not told. Sending
   * them again would show the verdicts on the copies.
   */
  private onReplaced(): void {
    for (const item of this.pending.listAll()) {
      if (item.stage !== 'queued' || item.hasUncertainAppend) {
        this.refuse(item);
      }
    }
  }

  private forget(item: PendingRecord): void {
    item.signal?.removeEventListener('abort', this.wake);
    this.pending.remove(item);
  }

  /** How long the loop may sleep: until a deadline, or until it may send. */
  private pauseFrom(now: Instant): Milliseconds {
    let wakeAt = now + IDLE_MS;
    let isWaiting = false;
    for (const item of this.pending.listAll()) {
      wakeAt = Math.min(wakeAt, item.deadline);
      isWaiting ||= item.stage === 'queued';
    }
    const maySend = this.inFlight < this.options.appendsInFlight;
    if (isWaiting && maySend) {
      wakeAt = Math.min(wakeAt, this.budget.getNextAllowedAt(now));
    }
    return Math.max(0, wakeAt - now);
  }
}
