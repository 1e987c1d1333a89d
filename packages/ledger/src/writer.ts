/**
 * Group commit: sends the queued records in batches, one append per batch, and
 * finds out from the log whether an uncertain append took effect.
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

/** Limits, timeouts and retry pauses of the appends. Durations are in milliseconds. */
export interface LogWriterOptions extends QueueLimits {
  /** Rate limit of the appends of this instance. */
  appendsPerSecond: number;
  /** Largest number of appends in flight. */
  appendsInFlight: number;
  /** Timeout after which an append counts as uncertain. */
  appendTimeout: Milliseconds;
  /** Base and upper limit of the backoff after failed appends. */
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

/** Longest time that the loop sleeps between two rounds. */
const MAX_SLEEP_MS = 1000;

/** Dependencies of a `LogWriter`. */
export interface LogWriterDependencies {
  log: Log;
  follower: LogFollower;
  clock: Clock;
  random: Random;
  logger: Logger;
  /** Id of the instance, written to each record. */
  instance: string;
  options?: Partial<LogWriterOptions>;
}

/** When to stop waiting for the fold result of a record. */
export interface AppendOptions {
  /** Time at which the append is abandoned; `Infinity` to wait without limit. */
  deadline: Instant;
  /** Abandons the append when it aborts, as the deadline does. */
  signal?: AbortSignal;
}

/** Appends records and reports the results of the local fold. */
export class LogWriter {
  private readonly options: LogWriterOptions;
  private readonly pending: PendingRecords;
  private readonly rateLimiter: AppendRateLimiter;
  private readonly workNotifier = new Notifier();
  private readonly idPrefix: string;
  private readonly wakeLoop = () => this.workNotifier.notify();
  private sequence = 0;
  private inFlight = 0;
  private failures = 0;
  private isStopped = false;

  constructor(private readonly dependencies: LogWriterDependencies) {
    const {instance, random, clock, follower, options} = dependencies;
    this.options = {...DEFAULT_OPTIONS, ...options};
    this.pending = new PendingRecords(this.options);
    this.rateLimiter = new AppendRateLimiter(this.options.appendsPerSecond);
    const salt = Math.floor(random.next() * 2 ** 32).toString(36);
    // Instances restart under the same id, so the wall time and a random salt make
    // record ids unique.
    this.idPrefix = `${instance}-${clock.wallTime().toString(36)}${salt}`;
    follower.onApplied(result => this.onApplied(result));
    follower.onFresh(this.wakeLoop);
    follower.onStateReplaced(() => this.onStateReplaced());
  }

  /** Number of records whose fold result is not known yet. */
  get pendingCount(): number {
    return this.pending.size;
  }

  /**
   * Appends a record. Resolves with the result of the local fold. Throws
   * `overloaded`, `body-too-large`, `stopping` or `log-unavailable` when the
   * record is not in the log and never will be, and `append-uncertain` when its
   * outcome was not known at the deadline.
   */
  append(body: RecordBody, options: AppendOptions): Promise<FoldResult> {
    const record = this.addHeader(body);
    const bytes = Buffer.byteLength(JSON.stringify(record));
    if (this.isStopped) {
      return Promise.reject(new Failure('stopping'));
    }
    const {batchBytes: limitBytes} = this.options;
    // The record fits in no batch. The code is the one for request bodies, though
    // the size is that of the whole record.
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
      this.workNotifier.notify();
      options.signal?.addEventListener('abort', this.wakeLoop, {once: true});
    });
  }

  /** Appends records, in as few appends as possible. */
  appendAll(
    bodies: readonly RecordBody[],
    options: AppendOptions,
  ): Promise<FoldResult[]> {
    return Promise.all(bodies.map(body => this.append(body, options)));
  }

  /** Changes the rate limit of appends, such as when the number of instances changes. */
  setAppendRate(appendsPerSecond: number): void {
    this.rateLimiter.setRate(appendsPerSecond, this.dependencies.clock.now());
  }

  /**
   * Sends queued records until `signal` aborts, then rejects the records that
   * are still pending.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, follower} = this.dependencies;
    while (!signal.aborted) {
      const now = clock.now();
      this.rejectOverdue(now);
      this.pending.requeueUncertain(follower.getFreshAt() ?? -Infinity);
      this.sendNextBatch(now);
      await this.workNotifier.wait(clock, this.computeSleepMs(now), signal);
    }
    this.isStopped = true;
    this.rejectAll();
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

  private sendNextBatch(now: Instant): void {
    const isBusy = this.inFlight >= this.options.appendsInFlight;
    if (isBusy || now < this.rateLimiter.getNextAllowedAt(now)) {
      return;
    }
    const batch = this.pending.dequeueBatch();
    if (batch.length > 0) {
      this.rateLimiter.consume(now);
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
    this.workNotifier.notify();
  }

  private onAppendFailed(
    batch: PendingRecord[],
    error: unknown,
    now: Instant,
  ): void {
    const {backoffBase, backoffCap} = this.options;
    this.failures += 1;
    const pauseMs = computeJitteredBackoff(
      this.failures,
      backoffBase,
      backoffCap,
      this.dependencies.random,
    );
    this.rateLimiter.pause(now + pauseMs);
    if (isFailure(error, 'append-rejected')) {
      this.pending.markRejected(batch);
    } else {
      this.pending.markUncertain(batch, now);
    }
  }

  private rejectOverdue(now: Instant): void {
    for (const item of this.pending.listAll()) {
      if (now >= item.deadline || item.signal?.aborted) {
        this.rejectPending(item);
      }
    }
  }

  private rejectAll(): void {
    for (const item of this.pending.listAll()) {
      this.rejectPending(item);
    }
  }

  private rejectPending(item: PendingRecord): void {
    this.removePending(item);
    const isNotWritten = item.stage === 'queued' && !item.hasUncertainAppend;
    const problem = `the ${item.record.type} record was in stage "${item.stage}" when its append was abandoned`;
    item.reject(
      isNotWritten
        ? new Failure('log-unavailable')
        : new Failure('append-uncertain', {problem}),
    );
  }

  private onApplied(result: FoldResult): void {
    const item = this.pending.get(result.record?.recordId ?? '');
    if (item) {
      this.removePending(item);
      item.resolve(result);
    }
  }

  /**
   * Rejects the records that the new state may already include. Their fold
   * results are not known, and sending them again would return the results of
   * the copies.
   */
  private onStateReplaced(): void {
    for (const item of this.pending.listAll()) {
      if (item.stage !== 'queued' || item.hasUncertainAppend) {
        this.rejectPending(item);
      }
    }
  }

  private removePending(item: PendingRecord): void {
    item.signal?.removeEventListener('abort', this.wakeLoop);
    this.pending.remove(item);
  }

  /** Returns how long the loop may sleep: until the next deadline, or until it may send again. */
  private computeSleepMs(now: Instant): Milliseconds {
    let wakeAt = now + MAX_SLEEP_MS;
    let hasQueued = false;
    for (const item of this.pending.listAll()) {
      wakeAt = Math.min(wakeAt, item.deadline);
      hasQueued ||= item.stage === 'queued';
    }
    const canSend = this.inFlight < this.options.appendsInFlight;
    if (hasQueued && canSend) {
      wakeAt = Math.min(wakeAt, this.rateLimiter.getNextAllowedAt(now));
    }
    return Math.max(0, wakeAt - now);
  }
}
