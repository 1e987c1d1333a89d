/** Follows the log: reads, folds, and tells listeners the verdicts. */
import {
  type Clock,
  type Instant,
  type Logger,
  type Milliseconds,
  type Random,
  describeError,
  isFailure,
  computeJitteredBackoff,
} from '@galenavalve/shared';
import type {FoldResult} from './fold_result.js';
import {applyEntry} from './fold/fold.js';
import type {Log, LogEntry, LogPage} from './log.js';
import {AdaptivePageLimit} from './adaptive_page_limit.js';
import type {StateRestorer} from './snapshot/state_restorer.js';
import type {RetainedRange} from './snapshot/snapshot_policy.js';
import type {LedgerState} from './state.js';

/** Times and sizes of the reads. */
export interface LogFollowerOptions {
  /** Most entries of one read; fewer are asked for while entries are large. */
  pageLimit: number;
  /** How long the log may hold an answer back; short, since freshness counts from the sending. */
  readWait: Milliseconds;
  /** After how long a read is given up. */
  readTimeout: Milliseconds;
  /** First and longest pause after a failed read. */
  backoffBase: Milliseconds;
  backoffCap: Milliseconds;
}

const DEFAULT_OPTIONS: LogFollowerOptions = {
  pageLimit: 500,
  readWait: 400,
  readTimeout: 1500,
  backoffBase: 50,
  backoffCap: 1000,
};

/** What a follower needs. */
export interface LogFollowerDependencies {
  log: Log;
  state: LedgerState;
  clock: Clock;
  logger: Logger;
  /** Spreads retries; the generator of the runtime by default. */
  random?: Random;
  /** Gets a state when the log no longer holds what this one needs. */
  restorer?: StateRestorer;
  options?: Partial<LogFollowerOptions>;
}

/** Entries that a peer read from the log. */
export interface RelayedEntries {
  entries: readonly LogEntry[];
  /** Offset after the last of them. */
  nextOffset: number;
}

type AppliedListener = (applied: FoldResult) => void;

/** Keeps the state up with the log. */
export class LogFollower {
  private readonly options: LogFollowerOptions;
  private readonly listeners = new Set<AppliedListener>();
  private readonly freshListeners = new Set<() => void>();
  private freshAt: Instant | undefined;
  private readonly replacedListeners = new Set<() => void>();
  private held: Promise<unknown> | undefined;
  private keptOffsets: RetainedRange | undefined;
  private readonly pageSize: AdaptivePageLimit;
  private failures = 0;

  constructor(private readonly dependencies: LogFollowerDependencies) {
    this.options = {...DEFAULT_OPTIONS, ...dependencies.options};
    this.pageSize = new AdaptivePageLimit(this.options.pageLimit);
  }

  get state(): LedgerState {
    return this.dependencies.state;
  }

  /** Whether the state has included the end of the log at least once. */
  get isCaughtUp(): boolean {
    return this.freshAt !== undefined;
  }

  /**
   * Latest time at which the state is known to have included the end of the
   * log: the sending of the read that showed it, not its answer.
   */
  getFreshAt(): Instant | undefined {
    return this.freshAt;
  }

  /** Calls `listener` after each entry; returns a function that ends this. */
  onApplied(listener: AppliedListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Calls `listener` whenever `lastFresh` rises; returns a function that ends this. */
  onFresh(listener: () => void): () => void {
    this.freshListeners.add(listener);
    return () => this.freshListeners.delete(listener);
  }

  /**
   * Calls `listener` when another state took the place of the folded one, so
   * that no verdicts were told for the offsets between; returns a function
   * that ends this.
   */
  onStateReplaced(listener: () => void): () => void {
    this.replacedListeners.add(listener);
    return () => this.replacedListeners.delete(listener);
  }

  /** Offsets that the log held at the latest answer. */
  get logRange(): RetainedRange | undefined {
    return this.keptOffsets;
  }

  /** Folds nothing until `action` has ended. */
  async pauseWhile<T>(action: () => Promise<T>): Promise<T> {
    while (this.held) {
      await this.held;
    }
    const running = Promise.resolve().then(action);
    const ended = running.catch(() => undefined);
    this.held = ended;
    await ended;
    this.held = undefined;
    return running;
  }

  /** Reads until `signal` aborts. A new state starts from the latest snapshot. */
  async run(signal: AbortSignal): Promise<void> {
    if (this.state.nextOffset === 0) {
      await this.restore();
    }
    while (!signal.aborted) {
      try {
        await this.readOnce();
        this.failures = 0;
      } catch (error) {
        await this.backOff(error, signal);
      }
    }
  }

  /** Reads one page and folds it. Throws what the log throws. */
  async readOnce(): Promise<void> {
    const {log, clock} = this.dependencies;
    const sentAt = clock.now();
    const page = await log.read(this.state.nextOffset, {
      limit: this.pageSize.limit,
      wait: this.options.readWait,
      timeout: this.options.readTimeout,
    });
    this.pageSize.observe(page.entries);
    await this.held;
    this.applyPage(page, sentAt);
  }

  /**
   * Folds entries that a peer relays. Ignored while folding is held, and
   * unless they continue the state; returns whether it includes them now.
   */
  applyRelayedEntries({entries, nextOffset}: RelayedEntries): boolean {
    const first = entries[0]?.offset ?? nextOffset;
    if (this.held || first > this.state.nextOffset) {
      return false;
    }
    this.applyEntries(entries);
    this.state.nextOffset = Math.max(this.state.nextOffset, nextOffset);
    return true;
  }

  /**
   * Takes over a peer's word that its state, up to `nextOffset`, included the
   * end of the log at the local time `at`. Ignored if this state is behind.
   */
  applyRelayedFreshness(nextOffset: number, at: Instant): void {
    if (this.state.nextOffset >= nextOffset) {
      this.noteFresh(at);
    }
  }

  /** Resolves to whether the state includes the record at `offset` within `timeout`. */
  async waitForOffset(offset: number, timeout: Milliseconds): Promise<boolean> {
    const isIncluded = () => this.state.nextOffset > offset;
    if (isIncluded()) {
      return true;
    }
    const controller = new AbortController();
    const stop = this.onApplied(() => {
      if (isIncluded()) {
        controller.abort();
      }
    });
    await this.dependencies.clock.sleep(timeout, controller.signal);
    stop();
    return isIncluded();
  }

  private applyPage(page: LogPage, sentAt: Instant): void {
    const {oldestOffset, endOffset} = page;
    this.keptOffsets = {oldestOffset, endOffset};
    this.applyEntries(page.entries);
    this.state.nextOffset = Math.max(this.state.nextOffset, page.nextOffset);
    if (endOffset <= this.state.nextOffset) {
      this.noteFresh(sentAt);
    }
  }

  private applyEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      // Entries that came another way while the read was on its way.
      if (entry.offset < this.state.nextOffset) {
        continue;
      }
      const applied = applyEntry(this.state, entry);
      if (applied.rejection === 'record-invalid') {
        this.dependencies.logger.warn('record-skipped', {
          offset: entry.offset,
          problem: applied.problem?.message,
        });
      }
      this.tell(applied);
    }
  }

  /** Replaces the state by one that is further, if one can be had. */
  private async restore(): Promise<void> {
    const restored = await this.dependencies.restorer?.restore();
    if (restored && restored.nextOffset > this.state.nextOffset) {
      this.state.replaceWith(restored);
      for (const listener of [...this.replacedListeners]) {
        listener();
      }
    }
  }

  private noteFresh(at: Instant): void {
    if (this.freshAt !== undefined && at <= this.freshAt) {
      return;
    }
    this.freshAt = at;
    for (const listener of [...this.freshListeners]) {
      listener();
    }
  }

  private tell(applied: FoldResult): void {
    for (const listener of [...this.listeners]) {
      try {
        listener(applied);
      } catch (error) {
        this.dependencies.logger.error('listener-failed', {
          offset: applied.offset,
          problem: describeError(error),
        });
      }
    }
  }

  private async backOff(error: unknown, signal: AbortSignal): Promise<void> {
    const {clock, logger, random = {next: Math.random}} = this.dependencies;
    const {backoffBase, backoffCap} = this.options;
    this.failures += 1;
    const pause = computeJitteredBackoff(
      this.failures,
      backoffBase,
      backoffCap,
      random,
    );
    logger.warn('log-read-failed', {
      failures: this.failures,
      problem: describeError(error),
    });
    const isEmpty = this.state.nextOffset === 0;
    if (isEmpty || isFailure(error, 'offset-expired')) {
      await this.restore();
    }
    await clock.sleep(pause, signal);
  }
}
