/** Follows the log: reads entries, folds them, and notifies listeners of the results. */
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

/** Limits, timeouts and retry pauses of the reads. Durations are in milliseconds. */
export interface LogFollowerOptions {
  /** Largest number of entries of one read. Fewer are requested while entries are large. */
  pageLimit: number;
  /**
   * How long the log may delay a response while it has no new record. It is
   * short, since freshness is measured from the time at which a read is sent.
   */
  readWait: Milliseconds;
  /** Timeout of a read. */
  readTimeout: Milliseconds;
  /** Base and upper limit of the backoff after failed reads. */
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

/** Dependencies of a `LogFollower`. */
export interface LogFollowerDependencies {
  log: Log;
  state: LedgerState;
  clock: Clock;
  logger: Logger;
  /** Source of the backoff jitter; `Math.random` by default. */
  random?: Random;
  /** Restores a state when the log no longer retains the entries that this one needs. */
  restorer?: StateRestorer;
  options?: Partial<LogFollowerOptions>;
}

/** Entries that a peer read from the log. */
export interface RelayedEntries {
  entries: readonly LogEntry[];
  /** Offset after the last entry. */
  nextOffset: number;
}

type FoldResultListener = (result: FoldResult) => void;

/** Keeps the state up to date with the log. */
export class LogFollower {
  private readonly options: LogFollowerOptions;
  private readonly listeners = new Set<FoldResultListener>();
  private readonly freshListeners = new Set<() => void>();
  private freshAt: Instant | undefined;
  private readonly stateReplacedListeners = new Set<() => void>();
  /** Settles when the current pause of folding ends. */
  private foldingPause: Promise<unknown> | undefined;
  private latestLogRange: RetainedRange | undefined;
  private readonly pageLimit: AdaptivePageLimit;
  /** Failed reads since the last successful one. */
  private failures = 0;

  constructor(private readonly dependencies: LogFollowerDependencies) {
    this.options = {...DEFAULT_OPTIONS, ...dependencies.options};
    this.pageLimit = new AdaptivePageLimit(this.options.pageLimit);
  }

  get state(): LedgerState {
    return this.dependencies.state;
  }

  /** Whether the state has included the end of the log at least once. */
  get isCaughtUp(): boolean {
    return this.freshAt !== undefined;
  }

  /**
   * Returns the latest time at which the state is known to have included the
   * end of the log: the time at which the read was sent, not that of its
   * response. Undefined until then.
   */
  getFreshAt(): Instant | undefined {
    return this.freshAt;
  }

  /** Calls `listener` after each folded entry. Returns a function that removes it. */
  onApplied(listener: FoldResultListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Calls `listener` whenever the time of `getFreshAt` increases. Returns a
   * function that removes it.
   */
  onFresh(listener: () => void): () => void {
    this.freshListeners.add(listener);
    return () => this.freshListeners.delete(listener);
  }

  /**
   * Calls `listener` when a restored state replaced the folded one. The
   * `onApplied` listeners are not called for the offsets that were skipped.
   * Returns a function that removes the listener.
   */
  onStateReplaced(listener: () => void): () => void {
    this.stateReplacedListeners.add(listener);
    return () => this.stateReplacedListeners.delete(listener);
  }

  /** Offsets that the log retained at the latest response; undefined before the first. */
  get logRange(): RetainedRange | undefined {
    return this.latestLogRange;
  }

  /**
   * Pauses folding until `action` has settled, and returns its result. This keeps
   * the state at one offset, for example while it is encoded.
   */
  async pauseWhile<T>(action: () => Promise<T>): Promise<T> {
    while (this.foldingPause) {
      await this.foldingPause;
    }
    const result = Promise.resolve().then(action);
    const settled = result.catch(() => undefined);
    this.foldingPause = settled;
    await settled;
    this.foldingPause = undefined;
    return result;
  }

  /**
   * Reads and folds until `signal` aborts. An empty state is first restored
   * from the latest snapshot.
   */
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

  /** Reads one page and folds it. Rethrows errors of the log. */
  async readOnce(): Promise<void> {
    const {log, clock} = this.dependencies;
    const sentAt = clock.now();
    const page = await log.read(this.state.nextOffset, {
      limit: this.pageLimit.limit,
      wait: this.options.readWait,
      timeout: this.options.readTimeout,
    });
    this.pageLimit.observe(page.entries);
    await this.foldingPause;
    this.applyPage(page, sentAt);
  }

  /**
   * Folds entries that a peer relays. Ignores them while folding is paused, or
   * when entries before them are missing. Returns whether the state includes
   * them.
   */
  applyRelayedEntries({entries, nextOffset}: RelayedEntries): boolean {
    const firstOffset = entries[0]?.offset ?? nextOffset;
    if (this.foldingPause || firstOffset > this.state.nextOffset) {
      return false;
    }
    this.applyEntries(entries);
    this.state.nextOffset = Math.max(this.state.nextOffset, nextOffset);
    return true;
  }

  /**
   * Applies the report of a peer that its state, up to `nextOffset`, included
   * the end of the log at the local time `at`. Ignores it if this state is behind.
   */
  applyRelayedFreshness(nextOffset: number, at: Instant): void {
    if (this.state.nextOffset >= nextOffset) {
      this.markFresh(at);
    }
  }

  /**
   * Waits for at most `timeout` until the state includes the record at
   * `offset`; resolves to whether it does.
   */
  async waitForOffset(offset: number, timeout: Milliseconds): Promise<boolean> {
    const isIncluded = () => this.state.nextOffset > offset;
    if (isIncluded()) {
      return true;
    }
    const controller = new AbortController();
    const removeListener = this.onApplied(() => {
      if (isIncluded()) {
        controller.abort();
      }
    });
    await this.dependencies.clock.sleep(timeout, controller.signal);
    removeListener();
    return isIncluded();
  }

  private applyPage(page: LogPage, sentAt: Instant): void {
    const {oldestOffset, endOffset} = page;
    this.latestLogRange = {oldestOffset, endOffset};
    this.applyEntries(page.entries);
    this.state.nextOffset = Math.max(this.state.nextOffset, page.nextOffset);
    if (endOffset <= this.state.nextOffset) {
      this.markFresh(sentAt);
    }
  }

  private applyEntries(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      // Skips entries that a peer relayed while the read was in flight.
      if (entry.offset < this.state.nextOffset) {
        continue;
      }
      const result = applyEntry(this.state, entry);
      if (result.rejection === 'record-invalid') {
        this.dependencies.logger.warn('record-skipped', {
          offset: entry.offset,
          problem: result.problem?.message,
        });
      }
      this.notifyApplied(result);
    }
  }

  /** Replaces the state with a restored one if that has a higher offset. */
  private async restore(): Promise<void> {
    const restored = await this.dependencies.restorer?.restore();
    if (restored && restored.nextOffset > this.state.nextOffset) {
      this.state.replaceWith(restored);
      for (const listener of [...this.stateReplacedListeners]) {
        listener();
      }
    }
  }

  private markFresh(at: Instant): void {
    if (this.freshAt !== undefined && at <= this.freshAt) {
      return;
    }
    this.freshAt = at;
    for (const listener of [...this.freshListeners]) {
      listener();
    }
  }

  private notifyApplied(result: FoldResult): void {
    for (const listener of [...this.listeners]) {
      try {
        listener(result);
      } catch (error) {
        this.dependencies.logger.error('listener-failed', {
          offset: result.offset,
          problem: describeError(error),
        });
      }
    }
  }

  private async backOff(error: unknown, signal: AbortSignal): Promise<void> {
    const {clock, logger, random = {next: Math.random}} = this.dependencies;
    const {backoffBase, backoffCap} = this.options;
    this.failures += 1;
    const pauseMs = computeJitteredBackoff(
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
    await clock.sleep(pauseMs, signal);
  }
}
