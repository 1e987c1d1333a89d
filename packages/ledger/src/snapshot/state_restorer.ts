/** Restores a state for a process that starts, or whose next record has expired from the log. */
import {type Logger, describeError} from '@galenavalve/shared';
import type {Log} from '../log.js';
import {type LedgerOptions, LedgerState} from '../state.js';
import {decodeState} from './codec.js';
import {
  type LogRange,
  type ScanOptions,
  findSnapshots,
  readLogRange,
} from './log_snapshots.js';
import type {StateSource} from './state_source.js';

const DEFAULT_OPTIONS: ScanOptions = {pageLimit: 500, readTimeout: 3000};

/** Dependencies of a `StateRestorer`. */
export interface StateRestorerDependencies {
  log: Log;
  logger: Logger;
  /** Lists the peers that can currently be called. */
  listSources: () => readonly StateSource[];
  /** Parameters of the fold; must equal those of the running state. */
  ledgerOptions: Partial<LedgerOptions>;
  options?: Partial<ScanOptions>;
}

/**
 * Restores the state with the highest offset among the snapshots in the log and
 * the states of peers.
 */
export class StateRestorer {
  private readonly options: ScanOptions;

  constructor(private readonly dependencies: StateRestorerDependencies) {
    this.options = {...DEFAULT_OPTIONS, ...dependencies.options};
  }

  /**
   * Returns a state from which the log can be followed. It is empty when the log
   * retains its first record and contains no snapshot. Undefined when no state is
   * available yet. Errors of the log and of peers are logged, not thrown.
   */
  async restore(): Promise<LedgerState | undefined> {
    const range = await this.tryReadLogRange();
    const oldestOffset = range?.oldestOffset ?? 0;
    const fromLog = range && (await this.restoreFromLog(range));
    const fromPeer = await this.restoreFromPeer(
      fromLog?.nextOffset ?? oldestOffset,
    );
    const state = fromPeer ?? fromLog;
    if (state) {
      return state;
    }
    const hasFirstRecord = range?.oldestOffset === 0;
    return hasFirstRecord
      ? new LedgerState(this.dependencies.ledgerOptions)
      : undefined;
  }

  private async tryReadLogRange(): Promise<LogRange | undefined> {
    try {
      return await readLogRange(this.dependencies.log, this.options);
    } catch (error) {
      this.logWarning('log-range-unknown', error);
      return undefined;
    }
  }

  private async restoreFromLog(
    range: LogRange,
  ): Promise<LedgerState | undefined> {
    const {log, ledgerOptions, logger} = this.dependencies;
    try {
      for await (const snapshot of findSnapshots(log, range, this.options)) {
        if (snapshot.nextOffset < range.oldestOffset) {
          continue;
        }
        const {snapshotId, nextOffset} = snapshot;
        const state = this.tryDecode(snapshotId, () =>
          decodeState(snapshot, ledgerOptions),
        );
        if (state) {
          logger.info('snapshot-restored', {snapshotId, nextOffset});
          return state;
        }
      }
    } catch (error) {
      this.logWarning('log-scan-failed', error);
    }
    return undefined;
  }

  /** Returns the state of the peer with the highest offset, if that is above `offset`. */
  private async restoreFromPeer(
    offset: number,
  ): Promise<LedgerState | undefined> {
    const sourceOffsets = await Promise.all(
      this.dependencies.listSources().map(source => this.fetchOffset(source)),
    );
    const newerSources = sourceOffsets
      .filter(item => item.nextOffset > offset)
      .sort((a, b) => b.nextOffset - a.nextOffset);
    for (const {source} of newerSources) {
      const state = await this.tryFetchState(source);
      if (state && state.nextOffset > offset) {
        return state;
      }
    }
    return undefined;
  }

  private async fetchOffset(source: StateSource) {
    try {
      return {source, nextOffset: await source.fetchNextOffset()};
    } catch (error) {
      this.logWarning('peer-state-unknown', error, source.name);
      return {source, nextOffset: -1};
    }
  }

  private async tryFetchState(
    source: StateSource,
  ): Promise<LedgerState | undefined> {
    try {
      const snapshot = await source.fetchSnapshot();
      const state = decodeState(snapshot, this.dependencies.ledgerOptions);
      const {nextOffset} = state;
      const peer = source.name;
      this.dependencies.logger.info('peer-state-restored', {peer, nextOffset});
      return state;
    } catch (error) {
      this.logWarning('peer-state-failed', error, source.name);
      return undefined;
    }
  }

  private tryDecode(
    snapshotId: string,
    decode: () => LedgerState,
  ): LedgerState | undefined {
    try {
      return decode();
    } catch (error) {
      this.logWarning('snapshot-skipped', error, snapshotId);
      return undefined;
    }
  }

  private logWarning(event: string, error: unknown, source?: string): void {
    const problem = describeError(error);
    this.dependencies.logger.warn(event, {source, problem});
  }
}
